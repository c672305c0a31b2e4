#ifndef TESTS_SCENARIOS_VIRTUAL_CLUSTER_H_
#define TESTS_SCENARIOS_VIRTUAL_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "LibDecision/node_options.h"
#include "LibDecision/reducer.h"
#include "fake_endpoint.h"
#include "fake_store.h"
#include "run_record.h"
#include "scenario.h"
#include "signal_record.h"

namespace auburnfold::scenarios {

/// Runs one scenario with one seed: real reducers, fake everything else, on
/// virtual time.
class virtual_cluster {
 public:
  virtual_cluster(const scenario& plan,
                  std::uint64_t seed,
                  const node_options& options = {});
  ~virtual_cluster();

  /// Runs to the end and returns the figures.
  std::map<std::string, double> Run();

 private:
  /// A request on its way through the graph, as the fakes know it.
  struct journey {
    std::string root;
    std::size_t traffic = 0;
    std::size_t position = 0;
    std::uint16_t client_attempt = 1;
    std::optional<idempotency_key> key;
    /// When the client, or the endpoint that makes the call, sent it.
    instant sent;
  };
  struct client_request {
    std::string root;
    std::size_t traffic = 0;
    int sends = 0;
    int key_requests = 0;
    /// Sends without an answer so far.
    int unanswered = 0;
    /// Some send was answered with anything but "not run".
    bool may_have_run = false;
    std::optional<idempotency_key> key;
    instant give_up;
  };
  /// Who waits for the answer of a call: a client, or a work of an endpoint.
  struct open_call {
    journey travel;
    std::optional<work_id> parent;
    bool is_key_request = false;
    int attempts = 0;
    std::uint16_t allowance = 0;
  };
  struct open_work {
    std::size_t machine = 0;
    std::size_t origin = 0;
    attempt_id attempt;
    journey travel;
    instant deadline;
    /// The forwarding node has given it up.
    bool is_abandoned = false;
    /// What the endpoint's answer says about the endpoint.
    endpoint_signals signals;
  };
  struct connection {
    connection_id id;
    bool is_busy = false;
    bool is_silent = false;
  };
  struct open_attempt {
    call_id call;
    std::size_t target = 0;
    std::optional<work_id> work;
    connection_id connection;
  };
  /// What an answer said about the endpoint at `machine`.
  struct relayed_signals {
    std::size_t machine = 0;
    endpoint_signals signals;
  };
  struct machine {
    std::size_t index = 0;
    std::string service;
    std::string domain;
    std::optional<node_state> node;
    std::unique_ptr<fake_endpoint> endpoint;
    std::uint64_t run = 1;
    /// The endpoint's own run, which may outlive that of its node.
    std::uint64_t endpoint_run = 1;
    std::optional<instant> leaving_since;
    /// What the endpoint's answers say about it.
    endpoint_signals signals;
    bool is_alive = false;
    bool is_frozen = false;
    std::vector<event_content> held_back;
    std::uint64_t wake_ticket = 0;
    std::unordered_map<call_id, open_call> calls;
    std::unordered_map<attempt_id, open_attempt> attempts;
    /// Answers that arrived and may still be relayed.
    std::unordered_map<attempt_id, std::string> bodies;
    std::unordered_map<attempt_id, relayed_signals> signals_by_attempt;
    std::map<std::size_t, std::vector<connection>> connections;
    std::map<std::string, std::string> remembered;
  };
  /// A question about attempts, as its sender knows it.
  struct open_query {
    std::size_t origin = 0;
    std::uint64_t origin_run = 0;
    attempt_query_id query;
  };
  struct scheduled {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator>(const scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  void After(duration delay, std::function<void()> action);
  void Happen(machine& to, event_content content);

  void StartMachine(machine& which);
  void KillMachine(machine& which);
  /// Loses the node and all it knows; its endpoint goes on.
  void KillNode(machine& which);
  void ReplaceEndpoint(machine& which);
  void SetSignals(machine& which, const endpoint_signals& signals);
  void TellMembersAndRows(machine& to);
  endpoint_reported ReportOf(const machine& which) const;
  void ReportEndpoint(std::size_t index, std::uint64_t run);
  void Apply(const fault_line& fault);
  bool IsTarget(const machine& which, const std::string& target) const;
  bool IsCut(const machine& from, const machine& to) const;
  duration DelayBetween(const machine& from, const machine& to);

  void ScheduleArrival(duration at);
  void SendFromClient(client_request request);
  void ResendIfImpatient(const client_request& sent);
  void ResendFromClient(const client_request& request, duration retry_after);
  void AnswerClient(const journey& travel,
                    const std::string& body,
                    const refuse_call* refusal);
  bool CallDeeper(machine& from, work_id work);
  void FinishWork(machine& at, work_id work, bool is_useful);
  void EndAttempt(work_id work, const outcome& result, std::string body);
  void AnswerQuery(attempt_query_id received,
                   std::optional<std::vector<attempt_report>> reports);
  connection& TakeConnection(machine& from, std::size_t target);
  void FreeConnection(machine& from, const open_attempt& used, bool is_closed);

  void Do(machine& from, const send_attempt& made);
  void Do(machine& from, const cancel_attempt& made);
  void Do(machine& from, const relay_answer& made);
  void Do(machine& from, const refuse_call& made);
  void Do(machine& from, const execute_work& made);
  void Do(machine& from, const cancel_work& made);
  void Do(machine& from, const relay_work_answer& made);
  void Do(machine& from, const refuse_work& made);
  void Do(machine& from, const answer_with_key& made);
  void Do(machine& from, const cache_answer& made);
  void Do(machine& from, const replay_answer& made);
  void Do(machine& from, const evict_answer& made);
  void Do(machine& from, const close_connection& made);
  void Do(machine& from, const close_idle_connection& made);
  void Do(machine& from, const query_attempts& made);
  void Do(machine& from, const send_attempt_reports& made);
  void Do(machine& from, const send_message& made);
  void Do(machine& from, const call_store& made);
  void Do(machine& from, const wake_at& made);
  void Do(machine& from, const increment_counter& made);
  void Do(machine& from, const stop_process& made);
  /// What the fakes have no use for.
  template <class other>
  void Do(machine&, const other&) {}

  const scenario& plan_;
  const node_options options_;
  std::mt19937_64 random_;
  instant now_{};
  std::uint64_t next_order_ = 0;
  std::uint64_t next_id_ = 1;
  std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>>
      schedule_;
  std::vector<std::unique_ptr<machine>> machines_;
  std::unordered_map<work_id, open_work> works_;
  std::map<attempt_query_id, open_query> queries_;
  std::unordered_map<std::string, client_request> clients_;
  std::map<std::string, std::string> finished_bodies_;
  std::set<std::string> cut_domains_;
  fake_store store_;
  run_record record_;
  signal_record signal_record_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace auburnfold::scenarios

#endif  // TESTS_SCENARIOS_VIRTUAL_CLUSTER_H_
