#include "LibDecision/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace auburnfold {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

}  // namespace auburnfold
