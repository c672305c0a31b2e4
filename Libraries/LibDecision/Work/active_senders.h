#ifndef LIBDECISION_WORK_ACTIVE_SENDERS_H_
#define LIBDECISION_WORK_ACTIVE_SENDERS_H_

#include <cstddef>
#include <unordered_map>

#include "LibDecision/ids.h"
#include "LibDecision/instant.h"

namespace auburnfold {

/// The nodes that have sent requests for the local endpoint recently.
class active_senders {
 public:
  void OnArrived(instant now, node_id from);
  /// Number of nodes that sent a request in the last few seconds; at least 1.
  std::size_t Count(instant now) const;

 private:
  std::unordered_map<node_id, instant> last_arrival_;
  instant next_removal_{};
};

}  // namespace auburnfold

#endif  // LIBDECISION_WORK_ACTIVE_SENDERS_H_
