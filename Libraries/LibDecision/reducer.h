#ifndef LIBDECISION_REDUCER_H_
#define LIBDECISION_REDUCER_H_

#include <memory>

#include "LibDecision/effect.h"
#include "LibDecision/event.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// All that one node knows. Made empty; `node_started` must be its first
/// event.
class node_state {
 public:
  explicit node_state(const node_options& options = {});
  ~node_state();
  node_state(node_state&&) noexcept;
  node_state& operator=(node_state&&) noexcept;

 private:
  friend effects Reduce(node_state& state, const event& happened);
  struct parts;
  std::unique_ptr<parts> parts_;
};

/// Brings `state` from before the event to after it and returns what must be
/// done. The same state and event always give the same effects. `now` must
/// not go backwards from one event to the next.
effects Reduce(node_state& state, const event& happened);

}  // namespace auburnfold

#endif  // LIBDECISION_REDUCER_H_
