#ifndef LIBDECISION_CALLS_PIPELINED_CALLS_H_
#define LIBDECISION_CALLS_PIPELINED_CALLS_H_

#include "LibDecision/Calls/outgoing_calls.h"
#include "LibDecision/Routes/route_table.h"
#include "LibDecision/Table/policy_table.h"
#include "LibDecision/event.h"
#include "LibDecision/event_context.h"

namespace auburnfold {

/// Decides which calls may run beside earlier calls of the same connection.
class pipelined_calls {
 public:
  pipelined_calls(const policy_table& policies,
                  const route_table& routes,
                  const outgoing_calls& calls)
      : policies_(policies), routes_(routes), calls_(calls) {}

  /// Defers `arrived` if it must wait for the calls before it. Returns whether
  /// it did. Else room is reserved for its answer, which may have to wait.
  bool Defer(event_context& context, const call_arrived& arrived) const;

 private:
  /// False also if it is not known.
  bool IsIdempotent(const call_arrived& arrived, const route* found) const;
  const route* RouteOf(const call_arrived& arrived) const;

  const policy_table& policies_;
  const route_table& routes_;
  const outgoing_calls& calls_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CALLS_PIPELINED_CALLS_H_
