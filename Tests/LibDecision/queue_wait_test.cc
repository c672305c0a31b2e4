#include "LibDecision/Admission/queue_wait.h"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/Admission/admission_controller.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

request_metadata Request(std::uint16_t depth) {
  request_metadata metadata;
  metadata.depth = depth;
  metadata.objective = 300ms;
  metadata.time_left = 700ms;
  return metadata;
}

TEST(AChildCallThatWaits, MayUseHalfOfItsTimeLeftIfCapacityIsPlanned) {
  EXPECT_EQ(MaxQueueWait(Request(2), {}, true), 350ms);
  EXPECT_EQ(MaxQueueWait(Request(2), {}, false), 150ms);
}

TEST(AChildCallThatWaits, StartsBeforeRootCallsIfCapacityIsPlanned) {
  EXPECT_GT(QueueWeight(Request(2), {}, true),
            QueueWeight(Request(0), {}, true));
  EXPECT_EQ(QueueWeight(Request(2), {}, false),
            QueueWeight(Request(0), {}, false));
}

TEST(AChildCallThatWaits, GoesFirstIfEarlierCallsOfItsTreeWereAnswered) {
  request_metadata later = Request(2);
  later.answered_siblings = 1;
  const rank low = RankOf(5, request_id("a"));
  const rank high = RankOf(6, request_id("a"));
  EXPECT_GT(QueueRank(later, low, true), QueueRank(Request(2), low, true));
  EXPECT_LT(QueueRank(later, low, true), QueueRank(Request(2), high, true));
  EXPECT_EQ(QueueRank(later, low, false), low);
}

TEST(ARootCallThatWaits, IsRefusedSoonInEitherCase) {
  EXPECT_EQ(MaxQueueWait(Request(0), {}, true),
            MaxQueueWait(Request(0), {}, false));
}

// Replays a burst at a service that each tree calls four times in a row, while
// other callers send it long root calls of their own.
class a_burst_at_a_shared_service {
 public:
  a_burst_at_a_shared_service(std::uint64_t seed, bool is_capacity_planned)
      : random_(seed) {
    admission_.set_plans(is_capacity_planned);
    admission_.OnEndpointReported(Context(),
                                  {.run = incarnation(1), .slots = kSlots});
  }

  void Play() {
    for (int i = 0; i < 3000; ++i) {
      now_ += 1ms;
      EndCalls();
      const bool is_burst = i >= 1000 && i < 1600;
      if (Happens(is_burst ? 0.17 : 0.07)) {
        const std::uint8_t priority = Happens(0.3) ? 7 : 5;
        trees_[++next_tree_] = {now_, priority};
        Call(next_tree_, 3);
      }
      if (Happens(0.02)) {
        trees_[++next_tree_] = {now_, 5, kCallsPerTree - 1};
        Call(next_tree_, 0);
      }
    }
  }

  std::size_t finished() const { return finished_; }
  std::size_t executed() const { return executed_; }
  std::size_t lost() const { return lost_; }

 private:
  static constexpr std::uint32_t kSlots = 35;
  static constexpr int kCallsPerTree = 4;

  struct tree {
    instant started;
    std::uint8_t priority = 0;
    int answered_calls = 0;
  };

  bool Happens(double chance) {
    return std::bernoulli_distribution(chance)(random_);
  }
  event_context& Context() {
    context_.emplace(now_, ++entropy_, timers_);
    return *context_;
  }

  void Call(std::uint64_t tree_id, std::uint16_t depth) {
    const tree& caller = trees_.at(tree_id);
    const work_id work(++next_work_);
    callers_[work] = {tree_id, depth};
    request_metadata metadata;
    metadata.root = request_id(std::to_string(tree_id));
    metadata.request_class = class_name(depth > 0 ? "step" : "status");
    metadata.priority = caller.priority;
    metadata.depth = depth;
    metadata.answered_siblings =
        static_cast<std::uint16_t>(depth > 0 ? caller.answered_calls : 0);
    metadata.objective = depth > 0 ? 300ms : 1200ms;
    metadata.time_left = depth > 0 ? 700ms : 2500ms;
    Apply(admission_.Offer(Context(), work, metadata, {}));
  }

  void Apply(const std::vector<admission_decision>& decisions) {
    for (const admission_decision& decision : decisions) {
      const auto [tree_id, depth] = callers_.at(decision.work);
      if (!decision.refusal) {
        const auto mean = depth > 0 ? 60ms : 400ms;
        const auto spread = std::uniform_real_distribution(0.5, 1.5)(random_);
        running_.emplace(
            now_ + std::chrono::duration_cast<duration>(mean * spread),
            decision.work);
      } else if (const auto failed = trees_.extract(tree_id); depth > 0) {
        lost_ += static_cast<std::size_t>(failed.mapped().answered_calls);
      }
    }
  }

  void EndCalls() {
    while (!running_.empty() && running_.begin()->first <= now_) {
      const work_id work = running_.begin()->second;
      running_.erase(running_.begin());
      const auto [tree_id, depth] = callers_.at(work);
      Apply(admission_.OnFinished(Context(), work, {}));
      executed_ += depth > 0 ? 1 : 0;
      if (++trees_.at(tree_id).answered_calls < kCallsPerTree) {
        Call(tree_id, depth);
      } else {
        ++finished_;
      }
    }
    while (timers_.PopDue(now_)) {
      Apply(admission_.OnTimer(Context(), 0));
    }
  }

  std::mt19937_64 random_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  timer_service timers_;
  std::optional<event_context> context_;
  admission_controller admission_{limit_mode::kAnnounced};
  std::map<std::uint64_t, tree> trees_;
  std::map<work_id, std::pair<std::uint64_t, std::uint16_t>> callers_;
  std::multimap<instant, work_id> running_;
  std::uint64_t next_tree_ = 0;
  std::uint64_t next_work_ = 0;
  std::size_t finished_ = 0;
  std::size_t executed_ = 0;
  /// Executed calls of trees that failed at a later call.
  std::size_t lost_ = 0;
};

TEST(ABurstAtASharedService, WastesLittleOfWhatRanIfCapacityIsPlanned) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    a_burst_at_a_shared_service unplanned(seed, false);
    unplanned.Play();
    a_burst_at_a_shared_service planned(seed, true);
    planned.Play();
    EXPECT_LT(planned.lost() * 100, planned.executed()) << seed;
    EXPECT_GT(planned.finished(), unplanned.finished()) << seed;
  }
}

}  // namespace
}  // namespace auburnfold
