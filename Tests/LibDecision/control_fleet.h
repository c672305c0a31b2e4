#ifndef TESTS_LIBDECISION_CONTROL_FLEET_H_
#define TESTS_LIBDECISION_CONTROL_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "LibDecision/Membership/membership.h"
#include "LibDecision/Table/policy_table.h"
#include "LibDecision/Timers/timer_service.h"
#include "fake_store.h"

namespace auburnfold {

/// Membership and table of many nodes on virtual time, with a store that
/// fails, and a network that can be cut.
class control_fleet {
 public:
  /// Decides whether a message from one node to another is lost.
  using cut = std::function<bool(std::size_t from, std::size_t to)>;

  control_fleet(std::uint64_t seed, std::size_t node_count);

  void Start(std::size_t index, const std::vector<std::size_t>& seeds = {});
  void StartAll();
  /// Ends a process without a word.
  void Kill(std::size_t index);
  /// Ends a process in order.
  void Stop(std::size_t index);
  void Pause(std::size_t index);
  void Resume(std::size_t index);
  void set_cut(cut made) { cut_ = std::move(made); }
  /// A clock that runs behind gives a new process a lower incarnation.
  void set_next_run(std::uint64_t run) { next_run_ = run; }
  void set_store_delay(duration delay) { store_delay_ = delay; }

  void RunFor(duration length);
  /// Runs until `is_done` or until `longest` has passed; returns how long.
  duration RunUntil(const std::function<bool()>& is_done, duration longest);

  void Edit(std::size_t index, const edit_row& edit);
  /// The answer to the last edit with this change id, if there is one.
  std::optional<admin_result> AnswerTo(const std::string& change) const;
  bool has_open_edits() const { return !open_edits_.empty(); }

  const membership& members(std::size_t index) const;
  const policy_table& rows(std::size_t index) const;
  std::size_t size() const { return nodes_.size(); }
  bool is_running(std::size_t index) const;
  /// Nodes that `index` counts as ready endpoints.
  std::size_t ReadyCount(std::size_t index) const;
  /// Whether every running node counts `count` ready endpoints.
  bool AllSeeReady(std::size_t count) const;
  /// Whether every running node holds the same rows.
  bool AllHoldVersion(const service_name& service,
                      const class_name& request_class,
                      std::uint64_t version) const;
  std::uint64_t bytes_sent() const { return bytes_sent_; }
  std::uint64_t CountOf(counter which) const;
  /// Rows that went to a lower version on any running node.
  std::uint64_t older_states() const { return older_states_; }

  scenarios::fake_store store;

 private:
  struct node {
    timer_service timers;
    std::unique_ptr<policy_table> rows;
    std::unique_ptr<membership> members;
    std::uint64_t generation = 0;
    bool is_running = false;
    bool is_paused = false;
    std::optional<instant> wake;
    std::vector<std::function<void()>> held;
    std::map<std::string, std::uint64_t> versions;
  };
  struct due {
    instant when;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const due& other) const {
      return std::tie(other.when, other.order) < std::tie(when, order);
    }
  };

  using action = std::function<void(event_context&, node&)>;

  void At(instant when, std::function<void()> run);
  void Later(std::size_t index, duration delay, const action& act);
  void Act(std::size_t index, const action& act);
  void Perform(std::size_t index, const effect& made);
  void Deliver(std::size_t from, const send_message& sent);
  void CallStore(std::size_t index, const call_store& wanted);
  void WatchVersions(node& each);
  std::uint64_t Random();

  std::vector<std::unique_ptr<node>> nodes_;
  std::priority_queue<due> queue_;
  std::map<std::uint64_t, std::string> open_edits_;
  std::map<std::string, admin_result> answers_;
  std::map<counter, std::uint64_t> counts_;
  cut cut_;
  instant now_{std::chrono::seconds(1)};
  duration store_delay_ = std::chrono::milliseconds(2);
  std::uint64_t entropy_;
  std::uint64_t order_ = 0;
  std::uint64_t admin_calls_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t older_states_ = 0;
  std::uint64_t next_run_ = 100;
};

/// The address of the node `index`; its control port tells the index.
node_address AddressOf(std::size_t index);

/// An edit of `listings/lookup` that expects `expected`.
edit_row EditOfLookup(std::uint64_t expected, const std::string& change);

}  // namespace auburnfold

#endif  // TESTS_LIBDECISION_CONTROL_FLEET_H_
