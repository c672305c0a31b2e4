#include "LibDecision/Retries/retry_allowances.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/Retries/retry_budget.h"
#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

// One root request on its way through a random tree of real nodes. Node `i`
// serves service `i`, whose work calls service `i + 1` any number of times.
class a_call_tree {
 public:
  a_call_tree(std::uint64_t seed, retry_mode retries)
      : random_(seed),
        depth_(1 + Below(18)),
        most_children_(depth_ > 6 ? 2 : 4),
        loss_percent_(Below(60)) {
    allowance_ = static_cast<std::uint16_t>(Below(5));
    for (std::size_t i = 0; i <= depth_; ++i) {
      nodes_.emplace_back(node_options{.retries = retries});
    }
    for (std::size_t i = 0; i <= depth_; ++i) {
      Begin(i);
    }
  }

  std::uint16_t allowance() const { return allowance_; }

  /// Sends the request, and once more as the client's resend, and returns the
  /// retries of all nodes together.
  std::uint64_t RetriesInTree() {
    for (const std::uint16_t client_attempt : {1, 2}) {
      call_arrived root{.call = call_id(next_id_++), .metadata = Facts(0)};
      root.metadata.client_attempt = client_attempt;
      Happen(0, root);
      while (!pending_.empty()) {
        std::swap(pending_[Below(pending_.size())], pending_.back());
        const std::function<void()> next = std::move(pending_.back());
        pending_.pop_back();
        next();
      }
    }
    return retries_;
  }

 private:
  /// Unbounded retries would make a tree of depth 18 endless.
  static constexpr std::size_t kMostWorks = 1000;

  struct open_work {
    std::size_t node = 0;
    std::size_t origin = 0;
    attempt_id attempt;
    std::uint64_t open_calls = 0;
  };

  std::uint64_t Below(std::uint64_t bound) { return random_() % bound; }
  bool IsLost() { return Below(100) < loss_percent_; }

  static std::string ServiceOf(std::size_t node) {
    return "s" + std::to_string(node);
  }

  static request_metadata Facts(std::size_t service) {
    request_metadata metadata;
    metadata.root = request_id("root");
    metadata.service = service_name(ServiceOf(service));
    metadata.request_class = class_name("lookup");
    metadata.time_left = 1s;
    return metadata;
  }

  void Begin(std::size_t index) {
    Happen(index,
           node_started{.node = node_id(index + 1), .run = incarnation(1)});
    Happen(index, endpoint_reported{.service = service_name(ServiceOf(index)),
                                    .run = incarnation(1)});
    member_update members;
    row_update rows;
    for (std::size_t i = 0; i <= depth_; ++i) {
      members.records.push_back({.node = node_id(i + 1),
                                 .run = incarnation(1),
                                 .version = 1,
                                 .service = service_name(ServiceOf(i))});
      rows.rows.push_back(
          {.service = service_name(ServiceOf(i)),
           .request_class = class_name("lookup"),
           .version = row_version(1),
           .settings = {.retry_allowance = allowance_, .is_idempotent = true}});
    }
    Happen(index, message_received{{.from = node_id(99), .content = members}});
    Happen(index, message_received{{.from = node_id(99), .content = rows}});
  }

  void Happen(std::size_t node, event_content content) {
    for (const effect& made :
         Reduce(nodes_[node], {instant{}, random_(), std::move(content)})) {
      if (const auto* send = std::get_if<send_attempt>(&made)) {
        pending_.emplace_back(
            [this, node, sent = *send] { OnSend(node, sent); });
      } else if (const auto* run = std::get_if<execute_work>(&made)) {
        pending_.emplace_back([this, work = run->work] { OnRun(work); });
      } else if (const auto* relay = std::get_if<relay_work_answer>(&made)) {
        Answer(relay->work, {.peer = relay->metadata});
      } else if (const auto* refuse = std::get_if<refuse_work>(&made)) {
        Answer(refuse->work, {.error = refuse->kind,
                              .execution = refuse->execution,
                              .peer = refuse->metadata});
      } else if (const auto* whole = std::get_if<relay_answer>(&made)) {
        OnCallEnded(node, whole->call);
      } else if (const auto* error = std::get_if<refuse_call>(&made)) {
        OnCallEnded(node, error->call);
      }
    }
  }

  void OnSend(std::size_t from, const send_attempt& sent) {
    if (++attempts_[{from, sent.call}] > 1) {
      ++retries_;
    }
    const std::size_t target = sent.node.value() - 1;
    if (IsLost()) {
      return Happen(from, attempt_finished{sent.attempt, Lost()});
    }
    const work_id work(next_id_++);
    works_[work] = {target, from, sent.attempt};
    Happen(target, work_arrived{.work = work,
                                .from = node_id(from + 1),
                                .metadata = sent.metadata,
                                .expected_run = sent.expected_run});
  }

  void OnRun(work_id work) {
    const std::size_t node = works_.at(work).node;
    const bool is_leaf = node == depth_ || works_.size() > kMostWorks;
    const std::uint64_t children = is_leaf ? 0 : 1 + Below(most_children_);
    works_.at(work).open_calls = children;
    if (children == 0) {
      return Finish(work);
    }
    for (std::uint64_t i = 0; i < children; ++i) {
      const call_id call(next_id_++);
      parents_[{node, call}] = work;
      pending_.emplace_back([this, node, call, work] {
        Happen(node, call_arrived{.call = call,
                                  .parent = work,
                                  .has_parent = true,
                                  .metadata = Facts(node + 1)});
      });
    }
  }

  void OnCallEnded(std::size_t node, call_id call) {
    const auto parent = parents_.find({node, call});
    if (parent != parents_.end() &&
        --works_.at(parent->second).open_calls == 0) {
      const work_id work = parent->second;
      pending_.emplace_back([this, work] { Finish(work); });
    }
  }

  void Finish(work_id work) {
    Happen(works_.at(work).node,
           work_finished{work, IsLost() ? Lost() : outcome{}});
  }

  void Answer(work_id work, const outcome& result) {
    const open_work& open = works_.at(work);
    const outcome arrived = IsLost() ? Lost() : result;
    pending_.emplace_back(
        [this, origin = open.origin, attempt = open.attempt, arrived] {
          Happen(origin, attempt_finished{attempt, arrived});
        });
  }

  static outcome Lost() {
    return {error_kind::kAnswerLost, execution_state::kUnknown};
  }

  std::mt19937_64 random_;
  std::size_t depth_;
  std::uint64_t most_children_;
  std::uint64_t loss_percent_;
  std::uint16_t allowance_ = 0;
  std::vector<node_state> nodes_;
  std::vector<std::function<void()>> pending_;
  std::map<work_id, open_work> works_;
  std::map<std::pair<std::size_t, call_id>, work_id> parents_;
  std::map<std::pair<std::size_t, call_id>, int> attempts_;
  std::uint64_t next_id_ = 1;
  std::uint64_t retries_ = 0;
};

int ViolationsIn(int trees, retry_mode retries) {
  int violations = 0;
  for (int seed = 1; seed <= trees; ++seed) {
    a_call_tree tree(static_cast<std::uint64_t>(seed), retries);
    violations += tree.RetriesInTree() > tree.allowance() ? 1 : 0;
  }
  return violations;
}

TEST(AnAllowance, BoundsTheRetriesOfAnyTreeOfCalls) {
  EXPECT_EQ(ViolationsIn(300, retry_mode::kAllowance), 0);
}

TEST(AnAllowance, IsWhatBoundsThem) {
  EXPECT_GT(ViolationsIn(30, retry_mode::kThreeAttempts), 15);
}

TEST(AnAccount, CountsWhatALostAnswerCarriedAsSpent) {
  retry_allowances accounts;
  accounts.Open(work_id(1), 4);
  EXPECT_EQ(accounts.Grant(work_id(1)), 2);
  EXPECT_EQ(accounts.Close(work_id(1)), 2);
  accounts.Return(work_id(1), 2);
  EXPECT_EQ(accounts.Close(work_id(1)), 0);
}

TEST(ARetryShare, AllowsOneRetryForTenAttemptsInTheLongRun) {
  retry_budget share;
  int retries = 0;
  for (int i = 0; i < 10000; ++i) {
    share.OnFirstAttempt();
    retries += share.TrySpend() ? 1 : 0;
  }
  EXPECT_GE(retries, 1000);
  EXPECT_LE(retries, 1010);
}

}  // namespace
}  // namespace auburnfold
