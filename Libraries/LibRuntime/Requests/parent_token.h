#ifndef LIBRUNTIME_REQUESTS_PARENT_TOKEN_H_
#define LIBRUNTIME_REQUESTS_PARENT_TOKEN_H_

#include <optional>
#include <string>
#include <string_view>

#include "LibDecision/ids.h"

namespace auburnfold {

/// The content of the `Auburnfold-Parent` header: identifies work of one run
/// of one node.
struct parent_token {
  node_id node;
  incarnation run;
  work_id work;

  std::string Format() const;
  /// Nothing if `text` does not have the format of `Format`.
  static std::optional<parent_token> Parse(std::string_view text);
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_REQUESTS_PARENT_TOKEN_H_
