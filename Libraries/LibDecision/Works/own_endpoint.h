#ifndef LIBDECISION_WORKS_OWN_ENDPOINT_H_
#define LIBDECISION_WORKS_OWN_ENDPOINT_H_

#include <cstdint>
#include <optional>

#include "LibDecision/error_kind.h"
#include "LibDecision/event.h"
#include "LibDecision/step.h"

namespace auburnfold {

/// Time without report or answer after which the endpoint is taken as gone.
inline constexpr duration kEndpointSilenceLimit = std::chrono::seconds(5);

/// Time after a leave was announced in which new work is still taken, since
/// callers hear of the leave only then.
inline constexpr duration kLeavingGrace = std::chrono::milliseconds(1500);

/// What a report changed.
enum class report_effect : std::uint8_t {
  kTaken,     ///< The endpoint described itself.
  kReplaced,  ///< Another run of the endpoint did so for the first time.
  kIgnored,   ///< An earlier run, which has been replaced, did so.
};

/// What this node knows about the endpoint beside it.
class own_endpoint {
 public:
  report_effect OnReported(step& now, const endpoint_reported& report);
  /// The endpoint gave a whole answer, so it is alive.
  void OnAnswered(step& now);
  /// Returns whether the endpoint was found silent just now.
  bool OnTimer(step& now);

  /// Why the endpoint takes no new work for `service`; nothing if it does.
  std::optional<error_kind> RefusalFor(instant now,
                                       const service_name& service) const;
  /// The last report taken.
  const std::optional<endpoint_reported>& report() const { return report_; }

 private:
  void WatchSilence(step& now);

  std::optional<endpoint_reported> report_;
  instant last_heard_;
  std::optional<instant> leaving_since_;
  bool is_silent_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORKS_OWN_ENDPOINT_H_
