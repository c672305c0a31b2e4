#ifndef LIBDECISION_REQUEST_FACTS_H_
#define LIBDECISION_REQUEST_FACTS_H_

#include <cstdint>
#include <optional>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// What the home of a request is asked to do.
enum class request_purpose : std::uint8_t {
  kRun,
  kIssueKey,  ///< Make an idempotency key that names the home.
};

/// What travels with a request from hop to hop.
struct request_facts {
  request_id root;
  service_name service;
  class_name request_class;
  tenant_name tenant;
  /// This request's own id, where it differs from the root's.
  request_id own_id;
  /// Time until the answer is useless, counted from the event's instant.
  duration time_left{};
  /// Time until the answer is worth less; zero if nobody says.
  duration objective{};
  /// Retries that this call and everything below it may still spend.
  std::uint16_t allowance = 0;
  /// 1 for the client's first send, higher for its own resends.
  std::uint16_t client_attempt = 1;
  /// An earlier attempt at it, or at what it was made for, may have run: all
  /// that it causes comes on top of what callers asked for.
  bool is_repeat = false;
  /// Calls of the same work that brought a useful answer before this one began.
  std::uint16_t answered_siblings = 0;
  /// Hops from the entry; 0 at the entry itself.
  std::uint16_t depth = 0;
  /// Priority of the root request, 0 lowest to 7 highest; unset at the entry,
  /// where the table's row decides it.
  std::optional<std::uint8_t> priority;
  std::optional<idempotency_key> key;
  request_purpose purpose = request_purpose::kRun;
};

}  // namespace auburnfold

#endif  // LIBDECISION_REQUEST_FACTS_H_
