#ifndef AUBURNFOLD_LOAD_LOAD_PLAN_H_
#define AUBURNFOLD_LOAD_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "auburnfold-load/http_address.h"

namespace auburnfold {

/// What clients do when a send fails.
struct client_retries {
  /// Sends of one request, the first included; 1 to 16.
  std::uint32_t tries = 1;
  std::chrono::milliseconds backoff{50};
  /// Ignores `Retry-After`, and sends again even if the first send may have
  /// run.
  bool is_hard = false;
  /// Resends say so in `Auburnfold-Attempt`.
  bool is_marked = true;
};

/// One class of calls that the clients make.
struct load_class {
  std::string name;
  std::string service;
  std::string request_class;
  std::vector<std::string> tenants;
  std::chrono::milliseconds timeout{1000};
  /// Share of each phase's rate.
  double share = 1.0;
  std::uint32_t body_bytes = 100;
  bool is_idempotent = true;
  /// Asks for an idempotency key first.
  bool uses_key = false;
};

enum class load_path : std::uint8_t { kNode, kDirect };

/// A stretch of time with one rate of calls.
struct load_phase {
  std::string name;
  std::chrono::milliseconds length{1000};
  /// Calls each second over all classes, sent by schedule.
  double rate = 0.0;
  /// If above 0, so many callers call in turn and `rate` is unused.
  std::uint32_t callers = 0;
  load_path path = load_path::kNode;
  /// Recovery is counted from its end.
  bool is_surge = false;
};

/// All that a run of the load tool does.
struct load_plan {
  std::uint64_t seed = 1;
  std::vector<http_address> nodes;
  /// Endpoints for phases whose path is direct.
  std::vector<http_address> direct;
  client_retries retries;
  std::vector<load_class> classes;
  std::vector<load_phase> phases;
};

/// A plan that cannot be used; what() has file, key, reason and range.
class plan_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Reads JSON with comments. Throws plan_error. `file` is for messages.
load_plan ParseLoadPlan(std::string_view text, const std::string& file);

/// Throws plan_error if a phase has no server to call.
void CheckServers(const load_plan& plan);

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_LOAD_PLAN_H_
