#ifndef AUBURNFOLD_LOAD_ANSWER_BODY_H_
#define AUBURNFOLD_LOAD_ANSWER_BODY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace auburnfold {

/// What a caller finds out about the body of an answer.
enum class body_verdict : std::uint8_t {
  kWhole,
  kForeign,  ///< Made for another request.
  kPartial,  ///< Cut off or damaged.
};

/// A body of about `padding_bytes` that names the request it answers, the
/// checksum of the request's own body, and a checksum of itself.
std::string MakeAnswerBody(std::string_view request_id,
                           std::string_view request_body,
                           std::size_t padding_bytes);

/// Checks that `body` was made by `MakeAnswerBody` for this request and is
/// all there.
body_verdict CheckAnswerBody(std::string_view body,
                             std::string_view request_id,
                             std::string_view request_body);

}  // namespace auburnfold

#endif  // AUBURNFOLD_LOAD_ANSWER_BODY_H_
