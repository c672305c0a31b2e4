#ifndef LIBDECISION_REDUCER_H_
#define LIBDECISION_REDUCER_H_

#include <memory>

#include "LibDecision/effect.h"
#include "LibDecision/event.h"
#include "LibDecision/node_options.h"

namespace auburnfold {

/// The complete state of a node. It starts out empty; its first event must be
/// `node_started`.
class node_state {
 public:
  explicit node_state(const node_options& options = {});
  ~node_state();
  node_state(node_state&&) noexcept;
  node_state& operator=(node_state&&) noexcept;

 private:
  friend effects Reduce(node_state& state, const event& input);
  struct impl;
  std::unique_ptr<impl> impl_;
};

/// Updates `state` for one event and returns the effects that the embedder must
/// carry out. Deterministic: the same state and event always give the same
/// effects. `event::now` must not decrease from one event to the next.
effects Reduce(node_state& state, const event& input);

}  // namespace auburnfold

#endif  // LIBDECISION_REDUCER_H_
