#ifndef STANDINS_DEEPER_CALLS_H_
#define STANDINS_DEEPER_CALLS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibDecision/instant.h"
#include "auburnfold-load/answer_body.h"
#include "auburnfold-load/http_pool.h"

namespace auburnfold {

/// A service that an endpoint calls for each of its own requests.
struct deeper_call {
  std::string service;
  std::string request_class;
};

inline constexpr std::size_t kMostDeeperCalls = 16;

/// Reads `SERVICE/CLASS,SERVICE/CLASS`; nothing if it is malformed or longer
/// than `kMostDeeperCalls`.
std::optional<std::vector<deeper_call>> ParseDeeperCalls(std::string_view text);

/// How the deeper calls of one request ended.
struct deeper_end {
  bool is_complete = true;
  /// The first failure's reason and `Retry-After`, if it gave one.
  std::string reason;
  std::string retry_after;
  /// The failure was not a refusal for overload.
  bool is_broken = false;
  body_verdict verdict = body_verdict::kWhole;
};

/// The deeper calls of one request, in turn or side by side, through the call
/// port of the endpoint's own node.
class deeper_run : public std::enable_shared_from_this<deeper_run> {
 public:
  using on_end = std::function<void(const deeper_end&)>;

  deeper_run(http_pool& node,
             const std::vector<deeper_call>& calls,
             http_request parent,
             std::chrono::steady_clock::time_point deadline)
      : node_(node),
        calls_(calls),
        parent_(std::move(parent)),
        deadline_(deadline) {}

  /// `done` is called once, unless the run is cancelled.
  void Start(bool in_parallel, on_end done);
  /// Gives up what is open.
  void Cancel();

 private:
  http_request RequestFor(const deeper_call& call,
                          std::chrono::milliseconds left) const;
  void Send(std::size_t index);
  void OnAnswer(const http_request& sent, const exchange_result& result);
  void End(const deeper_end& end);

  http_pool& node_;
  const std::vector<deeper_call>& calls_;
  http_request parent_;
  std::chrono::steady_clock::time_point deadline_;
  on_end done_;
  std::vector<http_pool::token> open_;
  std::size_t next_ = 0;
  std::size_t answered_ = 0;
};

}  // namespace auburnfold

#endif  // STANDINS_DEEPER_CALLS_H_
