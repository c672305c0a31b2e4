#ifndef TESTS_LIBDECISION_ROUTE_FLEET_H_
#define TESTS_LIBDECISION_ROUTE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/reducer.h"
#include "route_store.h"

namespace auburnfold {

/// Nodes on virtual time that follow the routes in a store that fails, and send
/// each other requests. Records which version each of them routes by.
class route_fleet {
 public:
  route_fleet(std::size_t node_count, std::uint64_t seed);

  route_store& store() { return store_; }
  /// The operator changes the routes; the store acknowledges the change.
  void Change(std::uint64_t version);
  /// Starts a new run of the node.
  void Restart(std::size_t index);
  /// The store, or connections to it, are disturbed now. Nodes count as calm
  /// once `kCalmAfter` has passed since the last such moment.
  void Disturb() { disturbed_at_ = now_; }
  void Pass(duration time);
  /// The node reaches no store from now on.
  void CutFromStore(std::size_t index) { nodes_[index]->is_cut = true; }
  /// Requests between nodes; none if false.
  void set_has_traffic(bool has_traffic) { has_traffic_ = has_traffic; }

  std::uint64_t VersionOf(std::size_t index) const;
  /// The routes in the view that the node gives to others.
  std::string RoutesInViewOf(std::size_t index);
  /// How long after the moment at which it was due a calm node began to route
  /// by the newest version, over all nodes and changes; zero if none was late.
  duration longest_delay() const { return longest_delay_; }

 private:
  struct node {
    std::size_t index = 0;
    std::uint64_t run = 0;
    std::unique_ptr<node_state> state;
    instant started_at{};
    std::uint64_t version = 0;
    std::uint64_t wake_ticket = 0;
    bool is_cut = false;
    /// Store calls that were not answered yet.
    std::set<store_call_id> store_calls;
  };
  struct scheduled {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct open_work {
    std::size_t from = 0;
    std::uint64_t from_run = 0;
    attempt_id attempt;
  };
  struct acknowledged {
    std::uint64_t version = 0;
    instant at;
  };

  void After(duration delay, std::function<void()> action);
  void Happen(node& to, event_content content);
  void SendRequests();
  void ReportEndpoints();
  /// Records calm nodes that do not route by a version that is due.
  void Judge();

  void Do(node& from, const call_store& made);
  void Do(node& from, const wake_at& made);
  void Do(node& from, const decode_routes& made);
  void Do(node& from, const log_decision& made);
  void Do(node& from, const send_attempt& made);
  void Do(node& from, const execute_work& made);
  void Do(node& from, const relay_work_answer& made);
  void Do(node& from, const refuse_work& made);
  void Do(node& from, const request_view& made);
  template <class other>
  void Do(node&, const other&) {}
  void EndAttempt(work_id work, const outcome& result);
  peer_view ViewOf(const node& which);

  route_store store_;
  std::uint64_t entropy_;
  instant now_{};
  instant disturbed_at_{};
  bool has_traffic_ = true;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_order_ = 0;
  std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>>
      schedule_;
  std::vector<std::unique_ptr<node>> nodes_;
  std::map<work_id, open_work> works_;
  std::vector<acknowledged> changes_;
  duration longest_delay_{};
};

}  // namespace auburnfold

#endif  // TESTS_LIBDECISION_ROUTE_FLEET_H_
