#ifndef LIBRUNTIME_CONTROL_ATTEMPT_QUERY_CODEC_H_
#define LIBRUNTIME_CONTROL_ATTEMPT_QUERY_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/attempt_report.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// A node's question about attempts that it has sent to another node.
struct attempt_query {
  node_id from;
  incarnation from_run;
  /// The incarnation of the receiver that the attempts were sent to.
  incarnation expected_run;
  std::vector<attempt_id> attempts;

  friend bool operator==(const attempt_query&, const attempt_query&) = default;
};

std::string EncodeAttemptQuery(const attempt_query& query);
std::string EncodeAttemptReports(const std::vector<attempt_report>& reports);

/// Unset if `text` is malformed.
std::optional<attempt_query> DecodeAttemptQuery(std::string_view text);
std::optional<std::vector<attempt_report>> DecodeAttemptReports(
    std::string_view text);

}  // namespace auburnfold

#endif  // LIBRUNTIME_CONTROL_ATTEMPT_QUERY_CODEC_H_
