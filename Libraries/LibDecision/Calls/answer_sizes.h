#ifndef LIBDECISION_CALLS_ANSWER_SIZES_H_
#define LIBDECISION_CALLS_ANSWER_SIZES_H_

#include <cstdint>
#include <unordered_map>

#include "LibDecision/ids.h"

namespace auburnfold {

/// Maximum size of an answer's body in bytes.
inline constexpr std::uint64_t kMaxAnswerBytes = std::uint64_t{1024} * 1024;

/// Learns the size of the answers to requests of each class.
class answer_sizes {
 public:
  /// Records the size of an answer's body in bytes.
  void OnAnswer(const class_name& request_class, std::uint64_t body_bytes);

  /// A size in bytes that few answers of the class exceed; the maximum if none
  /// was seen.
  std::uint64_t ExpectedSize(const class_name& request_class) const;

 private:
  std::unordered_map<class_name, std::uint64_t> peaks_;
};

}  // namespace auburnfold

#endif  // LIBDECISION_CALLS_ANSWER_SIZES_H_
