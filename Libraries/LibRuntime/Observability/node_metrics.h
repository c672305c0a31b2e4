#ifndef LIBRUNTIME_OBSERVABILITY_NODE_METRICS_H_
#define LIBRUNTIME_OBSERVABILITY_NODE_METRICS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "LibDecision/Routes/unread_field.h"
#include "LibDecision/counter.h"
#include "LibDecision/error_kind.h"
#include "LibDecision/ids.h"

namespace auburnfold {

/// The runtime's counters, in addition to those of LibDecision.
enum class runtime_counter : std::uint8_t {
  kMessagesLost,      ///< Control messages that nng did not accept.
  kMessagesReceived,  ///< Control messages received.
  kMessagesRejected,  ///< Control messages that could not be decoded.
  kBytesSent,         ///< Bytes of control messages sent.
  kBytesReceived,     ///< Bytes of control messages received.
  kConnectionsAccepted,
  kAcceptFailures,      ///< Connections that could not be accepted.
  kAnswersUndelivered,  ///< Answers whose connection was closed before the
                        ///< peer had received them.
  kCallsPipelined,      ///< Calls read while earlier ones were unanswered.
  kEffectsFailed,       ///< Effects, and requests that are not yet known to the
                        ///< reducer, that ended with an exception.
};

inline constexpr std::size_t kRuntimeCounterCount =
    static_cast<std::size_t>(runtime_counter::kEffectsFailed) + 1;

/// The metrics that a node exports at `/metrics`.
class node_metrics {
 public:
  using elapsed = std::chrono::steady_clock::duration;

  /// Classes and tenants beyond the first `label_limit` of each share the label
  /// value `other`.
  explicit node_metrics(std::size_t label_limit);
  ~node_metrics();
  node_metrics(const node_metrics&) = delete;
  node_metrics& operator=(const node_metrics&) = delete;

  void Count(counter which, std::uint64_t amount);
  void Count(runtime_counter which, std::uint64_t amount = 1);
  void CountError(error_kind kind);
  /// Counts a part of a decoded configuration that is not understood.
  void CountUnreadField(config_field field);
  void ObserveCall(const class_name& request_class,
                   const tenant_name& tenant,
                   elapsed latency);
  void ObserveWork(const class_name& request_class, elapsed latency);
  void ObserveQueueWait(const class_name& request_class, elapsed waited);
  void ObserveLoopDelay(elapsed delay);
  /// A call was read while `unanswered_before` earlier requests on its
  /// connection were unanswered.
  void ObservePipelining(std::size_t unanswered_before);

  /// All metrics in the Prometheus text format. The arguments are the values of
  /// the gauges.
  std::string ToPrometheusText(std::size_t open_calls,
                               std::size_t open_work_items);

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace auburnfold

#endif  // LIBRUNTIME_OBSERVABILITY_NODE_METRICS_H_
