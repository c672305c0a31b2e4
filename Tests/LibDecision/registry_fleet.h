#ifndef TESTS_LIBDECISION_REGISTRY_FLEET_H_
#define TESTS_LIBDECISION_REGISTRY_FLEET_H_

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

#include "LibDecision/hash.h"
#include "LibDecision/reducer.h"
#include "leased_store.h"

namespace auburnfold {

/// What became of all requests with one digest.
struct request_record {
  /// When endpoints began to run it, and when they ended under it.
  std::vector<instant> runs;
  std::vector<instant> crashes;
  /// Refusals that name this as the reason.
  std::uint64_t quarantined = 0;
  /// Runs later than `calm_after` after it has crashed the third endpoint.
  std::size_t RunsAfterThirdCrash(duration calm_after) const;
};

/// Nodes on virtual time, with a store that fails and endpoints that crash.
/// Clients send requests to every node and retry once. Records which version
/// each node routes by, and what becomes of the requests.
class registry_fleet {
 public:
  static constexpr std::uint64_t kHotDigest = 7;

  registry_fleet(std::size_t node_count,
                 std::uint64_t seed,
                 duration api_key_validity = {});

  leased_store& store() { return store_; }
  /// The operator changes the routes; the store acknowledges the change.
  void Change(std::uint64_t version) { Change(version, {}); }
  /// The same, to a version with a tenant that has these API keys.
  void Change(std::uint64_t version, const std::vector<std::string>& keys);
  /// Starts a new run of the node.
  void Restart(std::size_t index);
  /// The store, or connections to it, are disturbed now. Nodes count as calm
  /// once `kCalmAfter` has passed since the last such moment.
  void Disturb() { disturbed_at_ = now_; }
  void Pass(duration time);
  /// The node reaches no store from now on.
  void CutFromStore(std::size_t index) { nodes_[index]->is_cut = true; }
  /// The node reaches neither the store nor other nodes from now on.
  void CutOff(std::size_t index) {
    CutFromStore(index);
    nodes_[index]->is_alone = true;
  }
  void Reconnect(std::size_t index) {
    nodes_[index]->is_cut = nodes_[index]->is_alone = false;
  }
  /// Each request of clients presents one of these API keys.
  void set_client_keys(std::vector<std::string> keys) {
    client_keys_ = std::move(keys);
  }
  /// When a node got a request with this API key and sent it on, last.
  instant LastAcceptedAt(const std::string& key) { return accepted_at_[key]; }
  /// Requests that were refused since API keys may have been removed.
  std::uint64_t outdated_count() const { return outdated_count_; }
  /// Calls of all nodes to the store.
  std::uint64_t store_call_count() const { return store_call_count_; }
  instant now() const { return now_; }
  /// Requests of clients; none if false.
  void set_has_traffic(bool has_traffic) { has_traffic_ = has_traffic; }
  /// Each node gets a request this often.
  void set_traffic_interval(duration interval) { interval_ = interval; }
  /// One in this many requests of clients is equal to `kHotDigest`; 0 for none.
  void set_hot_share(std::uint64_t one_in) { hot_one_in_ = one_in; }

  /// From now on, this request crashes each endpoint that begins to run it, and
  /// some node gets it this often.
  void AddCulprit(request_digest digest, duration interval);
  /// One in this many crashes looks like lost answers, since the endpoint
  /// closes its connections before it stops listening; 0 for none.
  void set_hidden_share(std::uint64_t one_in) { hidden_one_in_ = one_in; }
  /// Crashes the endpoint of a node for another reason.
  void CrashEndpoint(std::size_t index);
  /// One request of a client.
  void Send(std::size_t index, request_digest digest);
  const request_record& RecordOf(request_digest digest) {
    return records_[digest];
  }
  /// Innocent requests, and how many of them got an answer, or were refused as
  /// if they crashed endpoints.
  std::uint64_t innocent_requests() const { return innocents_.sent; }
  std::uint64_t innocents_served() const { return innocents_.served; }
  std::uint64_t innocents_quarantined() const { return innocents_.quarantined; }

  std::uint64_t VersionOf(std::size_t index) const;
  /// The routes in the view that the node gives to others.
  std::string RoutesInViewOf(std::size_t index);
  /// How long after the moment at which it was due a calm node began to route
  /// by the newest version, over all nodes and changes; zero if none was late.
  duration longest_delay() const { return longest_delay_; }

 private:
  struct client_request {
    request_digest digest;
    bool is_retry = false;
    instant arrived_at{};
    std::string key;
  };
  struct tally {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t quarantined = 0;
  };
  struct node {
    std::size_t index = 0;
    std::uint64_t run = 0;
    std::unique_ptr<node_state> state;
    instant started_at{};
    std::uint64_t version = 0;
    std::uint64_t wake_ticket = 0;
    bool is_cut = false;
    bool is_alone = false;
    bool is_endpoint_up = true;
    std::uint64_t endpoint_run = 1;
    /// What runs at the endpoint.
    std::map<work_id, request_digest> executing;
    std::map<call_id, client_request> calls;
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
    std::size_t at = 0;
    std::uint64_t from_run = 0;
    attempt_id attempt;
    request_digest digest;
  };
  struct acknowledged {
    std::uint64_t version = 0;
    instant at;
  };

  void After(duration delay, std::function<void()> action);
  void Happen(node& to, event_content content);
  void SendRequests();
  void SendCulprit(request_digest digest, duration interval);
  void Send(node& entry, client_request request);
  void FinishRun(node& at, work_id work);
  void Report(node& which);
  std::uint64_t Random() { return MixBits(++entropy_); }
  bool IsCulprit(request_digest digest) const {
    return culprits_.contains(digest);
  }
  void ReportEndpoints();
  /// Records calm nodes that do not route by a version that is due.
  void Judge();

  void Do(node& from, const call_store& made);
  void Do(node& from, const wake_at& made);
  void Do(node& from, const decode_routes& made);
  void Do(node& from, const log_decision& made);
  void Do(node& from, const send_attempt& made);
  void Do(node& from, const execute_work& made);
  void Do(node& from, const cancel_work& made);
  void Do(node& from, const relay_answer& made);
  void Do(node& from, const refuse_call& made);
  void Do(node& from, const relay_work_answer& made);
  void Do(node& from, const refuse_work& made);
  void Do(node& from, const request_view& made);
  template <class other>
  void Do(node&, const other&) {}
  void EndAttempt(work_id work, const outcome& result);
  peer_view ViewOf(const node& which);

  leased_store store_;
  std::uint64_t entropy_;
  instant now_{};
  instant disturbed_at_{};
  bool has_traffic_ = true;
  duration interval_ = std::chrono::milliseconds(25);
  duration api_key_validity_;
  std::vector<std::string> client_keys_;
  std::map<std::string, instant> accepted_at_;
  std::uint64_t outdated_count_ = 0;
  std::uint64_t store_call_count_ = 0;
  std::uint64_t hot_one_in_ = 0;
  std::uint64_t hidden_one_in_ = 0;
  std::set<request_digest> culprits_;
  std::map<request_digest, request_record> records_;
  tally innocents_;
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

#endif  // TESTS_LIBDECISION_REGISTRY_FLEET_H_
