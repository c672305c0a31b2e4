#ifndef TESTS_SCENARIOS_RUN_RECORD_H_
#define TESTS_SCENARIOS_RUN_RECORD_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "LibDecision/error_kind.h"
#include "scenario.h"

namespace auburnfold::scenarios {

/// What the fakes saw, kept apart from the nodes' own state.
class run_record {
 public:
  explicit run_record(const scenario& plan) : plan_(plan) {}

  /// A root request was wanted for the first time.
  void OnDemand(const std::string& root, std::size_t traffic, duration at);
  /// A client sent it, once more or for the first time.
  void OnClientSend(const std::string& root);
  /// `operation` began at an endpoint, for the client's send `send`. All sends
  /// with a key are one operation.
  void OnRun(const std::string& operation,
             const std::string& send,
             bool is_idempotent);
  /// An endpoint was given new work long after it said that it leaves.
  void OnRunWhileLeaving() { ++runs_while_leaving_; }
  /// A call was answered a second time.
  void OnDoubleAnswer() { ++double_answers_; }
  /// A planned stop ended.
  void OnStopped(std::uint64_t aborted_requests) {
    stop_cuts_ += aborted_requests;
  }
  /// A node sent an attempt of a call that already had one.
  void OnRetry(const std::string& root, std::uint16_t allowance);
  /// A client got a whole answer with `body`, expected to be `root`.
  void OnWhole(const std::string& root, const std::string& body, duration at);
  /// A client was told that `send` ended with `execution`.
  void OnRefused(const std::string& send,
                 error_kind kind,
                 execution_state execution);

  /// Every figure by name, computed over the run so far.
  std::map<std::string, double> Figures() const;

 private:
  struct root_record {
    std::size_t traffic = 0;
    duration wanted{};
    duration answered = duration::min();
    std::uint32_t sends = 0;
  };
  double GoodputShare() const;
  double SuccessShare(std::size_t traffic) const;
  double RecoverySeconds() const;
  double DemandAt(duration at) const;
  double CapacityAt(duration at) const;
  bool IsUseful(const root_record& root) const;

  const scenario& plan_;
  std::unordered_map<std::string, root_record> roots_;
  std::unordered_map<std::string, std::uint32_t> runs_;
  std::unordered_map<std::string, std::uint32_t> retries_;
  std::unordered_set<std::string> sends_run_;
  std::vector<std::string> told_not_run_;
  std::map<std::string, std::uint64_t> errors_;
  std::uint64_t double_runs_ = 0;
  std::uint64_t attempt_violations_ = 0;
  std::uint64_t foreign_answers_ = 0;
  std::uint64_t double_answers_ = 0;
  std::uint64_t runs_while_leaving_ = 0;
  std::uint64_t stop_cuts_ = 0;
};

}  // namespace auburnfold::scenarios

#endif  // TESTS_SCENARIOS_RUN_RECORD_H_
