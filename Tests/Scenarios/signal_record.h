#ifndef TESTS_SCENARIOS_SIGNAL_RECORD_H_
#define TESTS_SCENARIOS_SIGNAL_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "LibDecision/endpoint_signals.h"
#include "LibDecision/instant.h"

namespace auburnfold::scenarios {

/// Checks what endpoints receive from nodes that have relayed an answer which
/// named a rate limit, or said that the endpoint leaves. Machines are given by
/// their index.
class signal_record {
 public:
  /// The answers of the endpoint at `machine` carry `signals` from now on.
  void OnSignalsChanged(std::size_t machine,
                        const endpoint_signals& signals,
                        instant now);
  /// The node at `origin` relayed an answer with `signals` from `machine`.
  void OnRelayed(std::size_t origin,
                 std::size_t machine,
                 const endpoint_signals& signals,
                 instant now);
  /// The node at `machine` lost what it knew.
  void OnNodeRestarted(std::size_t machine);
  /// The endpoint at `machine` began a request that the client sent at `sent`
  /// to the node at `origin`.
  void OnRun(std::size_t machine,
             std::size_t origin,
             instant sent,
             instant now);

  /// Requests above the rate that an endpoint had named.
  std::uint64_t runs_over_rate() const { return runs_over_rate_; }
  /// Requests sent too late to an endpoint that had said that it leaves.
  std::uint64_t runs_after_leave() const { return runs_after_leave_; }

 private:
  using route = std::pair<std::size_t, std::size_t>;

  struct named_rate {
    instant since;
    double per_second = 0;
  };
  struct arrival {
    instant at;
    std::size_t origin = 0;
  };
  struct endpoint_record {
    std::optional<instant> named_since;
    std::vector<named_rate> rates;
    std::deque<arrival> arrivals;
  };

  bool IsOverRate(std::size_t machine,
                  const endpoint_record& endpoint,
                  instant now) const;
  static double AllowedArrivals(const endpoint_record& endpoint, instant now);

  std::map<std::size_t, endpoint_record> endpoints_;
  /// When a node first relayed an answer that named a rate limit, by origin and
  /// machine of the endpoint.
  std::map<route, instant> told_rate_at_;
  std::map<route, instant> told_leave_at_;
  std::uint64_t runs_over_rate_ = 0;
  std::uint64_t runs_after_leave_ = 0;
};

}  // namespace auburnfold::scenarios

#endif  // TESTS_SCENARIOS_SIGNAL_RECORD_H_
