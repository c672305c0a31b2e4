#ifndef LIBDECISION_ATTEMPT_REPORT_H_
#define LIBDECISION_ATTEMPT_REPORT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// An attempt, identified over all nodes and their runs.
struct attempt_key {
  node_id sender;
  incarnation sender_run;
  attempt_id attempt;

  friend auto operator<=>(const attempt_key&, const attempt_key&) = default;
};

/// What the receiver of an attempt knows about it.
enum class attempt_state : std::uint8_t {
  /// It may have arrived: the receiver has restarted since, or has forgotten.
  kUnknown,
  /// It never arrived, and the receiver refuses it as not executed if it still
  /// does.
  kNeverArrived,
  /// It waits or runs.
  kAtWork,
  /// The receiver has sent its answer or refusal.
  kAnswered,
};

/// The name of `state` in log lines and messages.
std::string_view NameOf(attempt_state state);

/// What the receiver of an attempt tells its sender about it.
struct attempt_report {
  attempt_id attempt;
  attempt_state state = attempt_state::kUnknown;
  /// Time since the answer was sent; zero unless the state is `kAnswered`.
  duration answered_ago{};
  /// The sender is still writing the request, or has read a part of the
  /// answer. Known to the sender only.
  bool is_in_transfer = false;

  friend bool operator==(const attempt_report&,
                         const attempt_report&) = default;
};

}  // namespace auburnfold

template <>
struct std::hash<auburnfold::attempt_key> {
  std::size_t operator()(const auburnfold::attempt_key& key) const {
    constexpr std::size_t kFactor = 0x9E3779B97F4A7C15;
    std::size_t sum = key.sender.value();
    sum = sum * kFactor + key.sender_run.value();
    return sum * kFactor + key.attempt.value();
  }
};

#endif  // LIBDECISION_ATTEMPT_REPORT_H_
