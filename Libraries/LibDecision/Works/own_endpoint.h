#ifndef LIBDECISION_WORKS_OWN_ENDPOINT_H_
#define LIBDECISION_WORKS_OWN_ENDPOINT_H_

#include <cstdint>
#include <optional>

#include "LibDecision/error_kind.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// Time without report or answer after which the endpoint is taken as gone.
inline constexpr duration kEndpointSilenceLimit = std::chrono::seconds(5);

/// What a report changed.
enum class report_effect : std::uint8_t {
  kTaken,     ///< The endpoint described itself.
  kChanged,   ///< The same, and it is in another state or of another service.
  kReplaced,  ///< Another run of the endpoint did so for the first time.
  kIgnored,   ///< An earlier run, which has been replaced, did so, or an
              ///< earlier report of this run arrived late.
};

/// What this node knows about the endpoint beside it.
class own_endpoint {
 public:
  /// New work is still taken for `leaving_grace` after a leave was announced,
  /// since callers hear of it only then.
  explicit own_endpoint(duration leaving_grace = kLeavingGracePeriod)
      : leaving_grace_(leaving_grace) {}

  report_effect OnReported(event_context& context,
                           const endpoint_reported& report);
  /// The endpoint did not accept a connection, or another one answered in its
  /// place: nothing is sent to it for a short time.
  void OnUnreachable(event_context& context);
  /// The endpoint gave a whole answer, so it is alive.
  void OnAnswered(event_context& context);
  /// Returns whether the endpoint was found silent just now.
  bool OnTimer(event_context& context);

  /// Why the endpoint takes no new work for `service`; nothing if it does.
  std::optional<error_kind> RefusalFor(instant now,
                                       const service_name& service) const;
  /// As the endpoint names itself; empty if it does not.
  endpoint_name name() const {
    return report_ ? report_->name : endpoint_name();
  }
  /// The last report taken.
  const std::optional<endpoint_reported>& report() const { return report_; }

 private:
  bool IsFirstOfAskedOne(const endpoint_reported& report) const;
  report_effect OnFarewell(event_context& context,
                           const endpoint_reported& report);
  void WatchSilence(event_context& context);

  std::optional<endpoint_reported> report_;
  instant last_heard_;
  std::optional<instant> leaving_since_;
  duration leaving_grace_;
  /// The run that has said farewell.
  std::optional<incarnation> gone_run_;
  instant unreachable_until_{};
  bool is_silent_ = false;
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORKS_OWN_ENDPOINT_H_
