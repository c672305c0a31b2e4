#include "LibRuntime/failed_effect.h"

#include <variant>

namespace auburnfold {

namespace {

struct event_maker {
  std::optional<event_content> operator()(const send_attempt& sent) const {
    return attempt_finished{sent.attempt,
                            {.error = error_kind::kInternal,
                             .execution = execution_state::kNotExecuted}};
  }

  std::optional<event_content> operator()(const execute_work& command) const {
    return work_finished{command.work,
                         {.error = error_kind::kInternal,
                          .execution = execution_state::kUnknown}};
  }

  // A write may have been sent.
  std::optional<event_content> operator()(const call_store& call) const {
    return store_answered{call.call, {.status = store_status::kUnknown}};
  }

  std::optional<event_content> operator()(const decode_routes& decode) const {
    return routes_decoded{std::nullopt, decode.value, decode.reading};
  }

  std::optional<event_content> operator()(
      const report_quota_usage& report) const {
    return quota_granted{report.call, std::nullopt};
  }

  std::optional<event_content> operator()(const query_attempts& query) const {
    return attempt_reports_received{query.query, std::nullopt};
  }

  template <class other_effect>
  std::optional<event_content> operator()(const other_effect&) const {
    return std::nullopt;
  }
};

}  // namespace

std::optional<event_content> EventInPlaceOf(const effect& failed) {
  return std::visit(event_maker(), failed);
}

}  // namespace auburnfold
