#include "LibRuntime/Requests/request_digest.h"

#include <algorithm>
#include <cstdint>

#include "LibDecision/hash.h"

namespace auburnfold {

namespace {

// The length separates the parts: without it, bytes could move from one part to
// the next and leave the digest unchanged.
std::uint64_t AddPart(std::uint64_t digest, std::string_view part) {
  return StableHash(part, MixBits(digest ^ part.size()));
}

}  // namespace

request_digest DigestOf(const http_request& request,
                        std::string_view identity) {
  std::uint64_t digest = 0;
  digest = AddPart(digest, request.method_string());
  digest = AddPart(digest, request.target());
  digest = AddPart(digest, identity);
  digest = AddPart(digest, request.body());
  return request_digest(std::max<std::uint64_t>(digest, 1));
}

}  // namespace auburnfold
