#ifndef TESTS_LIBDECISION_TRUTH_EXPLORER_H_
#define TESTS_LIBDECISION_TRUTH_EXPLORER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "LibDecision/reducer.h"

namespace auburnfold {

/// A mechanism that the explorer's fakes take away, so that the checks can be
/// seen to fail.
enum class taken_away : std::uint8_t {
  kNothing,
  kKeys,         ///< Keys are lost on the way to their home.
  kSent,         ///< Nodes are not told before bytes are written.
  kWithdrawals,  ///< A node that denies an attempt still handles it later.
  kLastCancel,   ///< Bytes are written although the node gave the work up.
};

/// What broke in one exploration.
struct truth_report {
  int double_runs = 0;
  int false_not_run = 0;
  int double_answers = 0;
  int missing_answers = 0;
  int foreign_answers = 0;
  int calls = 0;
  int runs = 0;
  int replays = 0;
  int denials = 0;

  truth_report& operator+=(const truth_report& other);
};

/// Drives two nodes, each beside a fake endpoint, through events in an order
/// that a seed chooses, with losses, cancellations, pauses, replaced nodes and
/// endpoints. Keeps its own record of what ran and what was answered.
class truth_explorer {
 public:
  truth_explorer(std::uint64_t seed, taken_away missing);

  truth_report Run();

 private:
  struct call_record {
    std::size_t entry = 0;
    std::string operation;
    int answers = 0;
    bool is_abandoned = false;
    bool is_told_not_run = false;
    bool has_run = false;
  };
  struct flight {
    std::size_t from = 0;
    std::uint64_t from_run = 0;
    attempt_id attempt;
    call_id call;
    bool is_cancelled = false;
  };
  struct work_record {
    std::size_t at = 0;
    std::size_t flight = 0;
    int answers = 0;
    bool is_cancelled = false;
    std::string body;
  };
  struct open_query {
    std::size_t from = 0;
    std::uint64_t from_run = 0;
    attempt_query_id query;
  };
  struct peer_node {
    std::optional<node_state> state;
    std::uint64_t run = 1;
    std::uint64_t endpoint_run = 1;
    std::map<idempotency_key, std::string> remembered;
    std::map<attempt_id, std::string> bodies;
  };

  bool Chance(int percent) { return random_() % 100 < std::uint64_t(percent); }
  /// Performs `action` at some later moment of the explorer's choice.
  void Later(std::function<void()> action);
  void Start(std::size_t index);
  void Happen(std::size_t index, event_content content);
  void Disturb();
  void SendCall(const std::string& operation, bool asks_for_key);
  void Deliver(std::size_t index,
               std::uint64_t run,
               attempt_id attempt,
               const outcome& result,
               const std::string& body);
  void AnswerWork(work_id work, const outcome& result, const std::string& body);
  void RunAtEndpoint(std::size_t at, work_id work);

  void Do(std::size_t at, const send_attempt& made);
  void Do(std::size_t at, const cancel_attempt& made);
  void Do(std::size_t at, const relay_answer& made);
  void Do(std::size_t at, const refuse_call& made);
  void Do(std::size_t at, const execute_work& made);
  void Do(std::size_t at, const cancel_work& made);
  void Do(std::size_t at, const relay_work_answer& made);
  void Do(std::size_t at, const refuse_work& made);
  void Do(std::size_t at, const answer_with_key& made);
  void Do(std::size_t at, const cache_answer& made);
  void Do(std::size_t at, const replay_answer& made);
  void Do(std::size_t at, const evict_answer& made);
  void Do(std::size_t at, const query_attempts& made);
  void Do(std::size_t at, const send_attempt_reports& made);
  void Do(std::size_t at, const stop_process& made);
  template <class other>
  void Do(std::size_t, const other&) {}

  std::mt19937_64 random_;
  const taken_away missing_;
  instant now_{};
  std::uint64_t next_id_ = 1;
  std::vector<std::function<void()>> pending_;
  std::vector<peer_node> nodes_;
  std::vector<flight> flights_;
  std::map<call_id, call_record> calls_;
  std::map<work_id, work_record> works_;
  std::map<attempt_query_id, open_query> queries_;
  std::map<std::string, idempotency_key> keys_;
  std::map<std::string, int> runs_;
  truth_report report_;
};

}  // namespace auburnfold

#endif  // TESTS_LIBDECISION_TRUTH_EXPLORER_H_
