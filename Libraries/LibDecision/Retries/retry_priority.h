#ifndef LIBDECISION_RETRIES_RETRY_PRIORITY_H_
#define LIBDECISION_RETRIES_RETRY_PRIORITY_H_

#include <cstdint>

#include "LibDecision/request_metadata.h"

namespace auburnfold {

/// How much a retry is worth, in ascending order. Part of the retry budget is
/// reserved for the higher values.
enum class retry_priority : std::uint8_t {
  kLowPriority,  ///< Low request priority: refused early under overload.
  kFirstCall,    ///< First child call of its parent: nothing is lost yet.
  kLaterCall,    ///< Later child call: the answers to its parent's earlier
                 ///< calls are lost if it fails.
  kRootCall,     ///< Root call: this one success completes it.
};

/// Classifies a retry of the request that `metadata` describes.
retry_priority RetryPriorityOf(const request_metadata& metadata);

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_PRIORITY_H_
