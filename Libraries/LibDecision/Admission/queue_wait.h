#ifndef LIBDECISION_ADMISSION_QUEUE_WAIT_H_
#define LIBDECISION_ADMISSION_QUEUE_WAIT_H_

#include <cstdint>

#include "LibDecision/Pressure/rank.h"
#include "LibDecision/instant.h"
#include "LibDecision/request_metadata.h"
#include "LibDecision/table_row.h"

namespace auburnfold {

/// Maximum time that a request waits for capacity at the endpoint.
///
/// Load pattern: a burst fills a service that many trees call several times in
/// a row. A child call that is refused there loses all that ran for its root
/// request, although the wait would have ended within its deadline.
duration MaxQueueWait(const request_metadata& metadata,
                      const row_settings& settings,
                      bool is_capacity_planned);

/// Weight of a request in the queue, relative to others of its priority.
std::uint32_t QueueWeight(const request_metadata& metadata,
                          const row_settings& settings,
                          bool is_capacity_planned);

/// Rank that orders requests of one priority, class and tenant in the queue.
rank QueueRank(const request_metadata& metadata,
               rank request_rank,
               bool is_capacity_planned);

}  // namespace auburnfold

#endif  // LIBDECISION_ADMISSION_QUEUE_WAIT_H_
