#ifndef TESTS_SCENARIOS_FAKE_STORE_H_
#define TESTS_SCENARIOS_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "LibDecision/store_call.h"

namespace auburnfold::scenarios {

/// The platform's key-value service, in memory.
class fake_store {
 public:
  using answer = std::function<void(store_result)>;

  /// Answers at once, but for a watch, which waits for a change.
  void Call(const store_request& request, const answer& reply);

  void set_down(bool is_down) { is_down_ = is_down; }
  /// The next `count` writes take effect but their answers are lost.
  void LoseAnswers(int count) { answers_to_lose_ = count; }
  void Snapshot() { saved_ = entries_; }
  /// Goes back to the snapshot, as after a restore from a backup.
  void Restore() { entries_ = saved_; }

  std::uint64_t call_count() const { return calls_; }
  const std::map<std::string, store_entry>& entries() const { return entries_; }

 private:
  struct pending_watch {
    store_watch wanted;
    answer reply;
  };

  store_result Read(const std::string& prefix, bool is_exact) const;
  store_result Write(const store_compare_and_swap& write);
  void WakeWatches();

  std::map<std::string, store_entry> entries_;
  std::map<std::string, store_entry> saved_;
  std::vector<pending_watch> watches_;
  std::uint64_t revision_ = 0;
  std::uint64_t calls_ = 0;
  int answers_to_lose_ = 0;
  bool is_down_ = false;
};

}  // namespace auburnfold::scenarios

#endif  // TESTS_SCENARIOS_FAKE_STORE_H_
