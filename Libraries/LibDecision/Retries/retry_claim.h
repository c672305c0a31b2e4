#ifndef LIBDECISION_RETRIES_RETRY_CLAIM_H_
#define LIBDECISION_RETRIES_RETRY_CLAIM_H_

#include <cstdint>

#include "LibDecision/request_metadata.h"

namespace auburnfold {

/// What a retry is good for, the lowest first.
enum class retry_claim : std::uint8_t {
  kUnimportant,  ///< A class that is refused early on.
  kFirstCall,    ///< The first call of important work: nothing is lost yet.
  kLaterCall,    ///< Earlier calls of its work were answered, and are lost with
                 ///< it.
  kSingle,       ///< An important request that needs this one success.
};

/// What a retry of the request with these facts is good for.
retry_claim ClaimOf(const request_metadata& metadata);

}  // namespace auburnfold

#endif  // LIBDECISION_RETRIES_RETRY_CLAIM_H_
