#ifndef STANDINS_ENDPOINT_SETTINGS_H_
#define STANDINS_ENDPOINT_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "StandIns/deeper_calls.h"
#include "StandIns/endpoint_model.h"
#include "auburnfold-load/http_address.h"

namespace auburnfold {

/// What a stand-in endpoint is told on its command line.
struct endpoint_settings {
  std::string service;
  http_address address;
  /// The call port of the node beside it; unset if it runs alone.
  std::optional<http_address> node;
  endpoint_model_settings model;
  std::uint32_t connection_limit = 0;
  std::uint32_t answer_bytes = 0;
  std::vector<deeper_call> deeper;
  bool calls_in_parallel = false;
  /// After SIGTERM, leaving is announced for this long before the stop.
  std::chrono::milliseconds leave_time{};
  /// After that, work in flight may take this long before it is cut.
  std::chrono::milliseconds stop_limit{};
};

}  // namespace auburnfold

#endif  // STANDINS_ENDPOINT_SETTINGS_H_
