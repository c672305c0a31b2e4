#include "LibDecision/Quotas/tenant_quotas.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace auburnfold {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const tenant_name kTenant("tenant");

/// Nodes with quotas of one tenant, whose reports take 2 ms each way.
class quota_fleet_fake {
 public:
  quota_fleet_fake(std::size_t count, double rate, double burst)
      : limit_{request_rate(rate), burst} {
    for (std::size_t i = 0; i < count; ++i) {
      nodes_.push_back(std::make_unique<node>());
    }
    for (std::size_t i = 0; i < count; ++i) {
      Start(i);
    }
  }

  /// Starts node `i` as a new process that knows all members.
  void Start(std::size_t i) {
    node& started = *nodes_[i];
    started.members = std::make_unique<member_list>();
    started.timers = {};
    started.is_alive = true;
    started.quotas = std::make_unique<tenant_quotas>(*started.members);
    for (std::size_t j = 0; j < nodes_.size(); ++j) {
      if (nodes_[j]->is_alive || nodes_[j]->members == nullptr) {
        Tell(i, j, member_state::kReady);
      }
    }
    event_context context(now_, 1, started.timers);
    started.quotas->Start(context, node_id(i + 1));
    Configure(i);
  }
  void KnowFleet(std::size_t i) { nodes_[i]->quotas->OnFleetKnown(); }
  void Configure(std::size_t i) {
    event_context context(now_, 1, nodes_[i]->timers);
    nodes_[i]->quotas->Apply(
        context,
        {{.name = kTenant, .keys = {}, .priority = {}, .quota = limit_}});
    Finish(i, context);
  }
  void SetLimit(double rate, double burst) {
    limit_ = {request_rate(rate), burst};
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Configure(i);
    }
  }

  /// Node `i` learns that `j` is in `state`.
  void Tell(std::size_t i, std::size_t j, member_state state) {
    nodes_[i]->members->Replace({.node = node_id(j + 1),
                                 .run = incarnation(1),
                                 .state = state,
                                 .address = {.host = std::to_string(j)}});
  }
  void TellAll(std::size_t j, member_state state) {
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      Tell(i, j, state);
    }
  }
  void Kill(std::size_t i) { nodes_[i]->is_alive = false; }
  /// Reports pass only between nodes of the same part.
  void SetPart(std::size_t i, int part) { nodes_[i]->part = part; }
  /// One report in `n` is lost, with or without its answer.
  void LoseOneIn(std::size_t n) { lost_one_in_ = n; }

  std::size_t Owner() {
    quota_owner_choice choice(*nodes_[0]->members);
    return choice.OwnerOf(now_, kTenant)->node.value() - 1;
  }
  std::size_t Other(std::size_t i) const { return (i + 1) % nodes_.size(); }

  /// Sends `rate` requests per second for `length`, to the node that `place`
  /// names each time.
  void Load(double rate,
            duration length,
            const std::function<std::size_t()>& place) {
    const instant end = now_ + length;
    std::exponential_distribution<double> gap(rate);
    instant next = now_;
    while (true) {
      next += std::chrono::duration_cast<duration>(
          std::chrono::duration<double>(gap(random_)));
      AdvanceTo(std::min(next, end));
      if (next >= end) {
        return;
      }
      const std::size_t i = place();
      if (nodes_[i]->is_alive) {
        Request(i);
      }
    }
  }
  void Load(double rate, duration length) {
    Load(rate, length, [this] { return Pick(nodes_.size()); });
  }
  std::size_t Pick(std::size_t count) { return random_() % count; }

  void Request(std::size_t i) {
    ++offered;
    event_context context(now_, random_(), nodes_[i]->timers);
    const auto decision = nodes_[i]->quotas->Admit(context, call_id(++calls_),
                                                   kTenant, milliseconds(800));
    Count(decision == quota_decision::kAdmitted,
          decision == quota_decision::kRefused);
    Finish(i, context);
  }

  /// The most requests that were admitted within any five seconds.
  std::size_t MostInWindow() const {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < admitted_at.size(); ++i) {
      while (admitted_at[i] - admitted_at[first] >= seconds(5)) {
        ++first;
      }
      most = std::max(most, i - first + 1);
    }
    return most;
  }
  /// How many are allowed there.
  std::size_t WindowLimit() const {
    return static_cast<std::size_t>(
        (limit_.rate.value() * 5 + limit_.burst) * 1.1 + 20);
  }
  double ServedShare() const {
    return static_cast<double>(admitted_at.size()) /
           static_cast<double>(std::max(offered, 1UL));
  }
  /// Forgets what was counted so far, once no request waits any more.
  void Reset() {
    Settle();
    admitted_at.clear();
    offered = refused = messages = 0;
  }
  /// Waits until no request waits any more.
  void Settle() { AdvanceTo(now_ + milliseconds(200)); }

  std::vector<instant> admitted_at;
  std::size_t offered = 0;
  std::size_t refused = 0;
  std::size_t messages = 0;

 private:
  struct node {
    std::unique_ptr<member_list> members;
    std::unique_ptr<tenant_quotas> quotas;
    timer_service timers;
    bool is_alive = true;
    int part = 0;
  };
  static constexpr duration kLinkDelay = milliseconds(2);
  static constexpr duration kTimeout = milliseconds(100);

  void Count(bool is_admitted, bool is_refused) {
    if (is_admitted) {
      admitted_at.push_back(now_);
    }
    refused += is_refused ? 1 : 0;
  }

  void AdvanceTo(instant end) {
    while (true) {
      const instant delivery =
          mail_.empty() ? instant::max() : mail_.begin()->first;
      instant timer = instant::max();
      std::size_t due = 0;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto next = nodes_[i]->timers.next_due();
        if (nodes_[i]->is_alive && next && *next < timer) {
          timer = *next;
          due = i;
        }
      }
      if (std::min(delivery, timer) > end) {
        now_ = end;
        return;
      }
      now_ = std::max(now_, std::min(delivery, timer));
      if (delivery <= timer) {
        const auto deliver = std::move(mail_.begin()->second);
        mail_.erase(mail_.begin());
        deliver();
      } else {
        event_context context(now_, random_(), nodes_[due]->timers);
        const auto expired = nodes_[due]->timers.PopDue(now_);
        nodes_[due]->quotas->OnTimer(context, *expired);
        Finish(due, context);
      }
    }
  }

  void Finish(std::size_t i, event_context& context) {
    for (const quota_verdict& verdict : nodes_[i]->quotas->TakeVerdicts()) {
      Count(verdict.is_admitted, !verdict.is_admitted);
    }
    for (const effect& emitted : context.TakeEffects()) {
      if (const auto* report = std::get_if<report_quota_usage>(&emitted)) {
        Send(i, *report);
      } else if (const auto* sent = std::get_if<send_quota_grants>(&emitted)) {
        answers_[sent->call.value()](sent->grants);
        answers_.erase(sent->call.value());
      }
    }
  }

  void Send(std::size_t from, const report_quota_usage& report) {
    ++messages;
    const std::size_t to = std::stoul(report.to.host);
    const bool is_lost = lost_one_in_ > 0 && random_() % lost_one_in_ == 0;
    const bool is_answer_lost =
        lost_one_in_ > 0 && random_() % lost_one_in_ == 0;
    const auto is_open = [this, from, to] {
      return nodes_[to]->is_alive && nodes_[from]->is_alive &&
             nodes_[from]->part == nodes_[to]->part;
    };
    const auto answered = std::make_shared<bool>(false);
    const auto finish = [this, from, call = report.call, answered](
                            std::optional<std::vector<quota_grant>> grants) {
      if (!std::exchange(*answered, true) && nodes_[from]->is_alive) {
        event_context context(now_, random_(), nodes_[from]->timers);
        nodes_[from]->quotas->OnGranted(context, {call, std::move(grants)});
        Finish(from, context);
      }
    };
    mail_.emplace(now_ + kTimeout, [finish] { finish(std::nullopt); });
    if (is_lost) {
      return;
    }
    const auto deliver = [=, this, usage = report.usage] {
      if (!is_open()) {
        return;
      }
      const quota_call_id call(++received_);
      answers_[call.value()] = [=,
                                this](const std::vector<quota_grant>& grants) {
        mail_.emplace(now_ + kLinkDelay, [=] {
          if (is_open() && !is_answer_lost) {
            finish(grants);
          }
        });
      };
      event_context context(now_, random_(), nodes_[to]->timers);
      nodes_[to]->quotas->OnReported(context, {call, node_id(from + 1), usage});
      Finish(to, context);
    };
    mail_.emplace(now_ + kLinkDelay, deliver);
  }

  tenant_quota limit_;
  instant now_{seconds(100)};
  std::vector<std::unique_ptr<node>> nodes_;
  std::multimap<instant, std::function<void()>> mail_;
  std::map<std::uint64_t, std::function<void(std::vector<quota_grant>)>>
      answers_;
  std::uint64_t calls_ = 0;
  std::uint64_t received_ = 0;
  std::size_t lost_one_in_ = 0;
  std::mt19937_64 random_{7};
};

void Report(const quota_fleet_fake& fleet) {
  testing::Test::RecordProperty("most_in_window",
                                static_cast<int>(fleet.MostInWindow()));
  testing::Test::RecordProperty("window_limit",
                                static_cast<int>(fleet.WindowLimit()));
  testing::Test::RecordProperty("served_permille",
                                static_cast<int>(fleet.ServedShare() * 1000));
  testing::Test::RecordProperty("messages", static_cast<int>(fleet.messages));
}

/// The number of nodes. The tenant has a large part of the load.
class quotas_of_a_fleet : public testing::TestWithParam<std::size_t> {
 protected:
  static constexpr double kUsual = 60;
  quota_fleet_fake fleet{GetParam(), kUsual * 1.6, kUsual * 1.6};

  void SetUp() override {
    fleet.Load(kUsual, seconds(10));
    fleet.Reset();
  }
  void TearDown() override { Report(fleet); }
};

INSTANTIATE_TEST_SUITE_P(sizes, quotas_of_a_fleet, testing::Values(1, 16, 89));

TEST_P(quotas_of_a_fleet, RefuseNothingOfTheUsualLoad) {
  fleet.Load(kUsual, seconds(20));
  EXPECT_GE(fleet.ServedShare(), 0.97);
}

TEST_P(quotas_of_a_fleet, FollowClientsThatMoveBetweenNodes) {
  for (std::size_t i = 0; i < 10; ++i) {
    const std::size_t busy = fleet.Pick(GetParam());
    fleet.Load(kUsual * 1.4, seconds(2), [&] {
      return fleet.Pick(10) > 0 ? busy : fleet.Pick(GetParam());
    });
  }
  EXPECT_GE(fleet.ServedShare(), 0.97);
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

TEST_P(quotas_of_a_fleet, HoldATenantThatSendsManyTimesItsUsual) {
  fleet.Load(kUsual * 7.5, seconds(6));
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
  // Its due is the rate over six seconds, and the burst.
  EXPECT_GE(static_cast<double>(fleet.admitted_at.size()),
            0.97 * kUsual * 1.6 * 7);
  fleet.Settle();
  EXPECT_EQ(fleet.admitted_at.size() + fleet.refused, fleet.offered);
}

TEST_P(quotas_of_a_fleet, HoldATenantWhoseExcessStaysAtOneNode) {
  fleet.Load(kUsual * 7.5, seconds(12),
             [&] { return fleet.Pick(10) > 0 ? 0 : fleet.Pick(GetParam()); });
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
  EXPECT_GE(static_cast<double>(fleet.admitted_at.size()),
            0.97 * kUsual * 1.6 * 13);
}

TEST_P(quotas_of_a_fleet, BindALowerLimitWithinOneWindow) {
  fleet.Load(kUsual, seconds(3));
  fleet.SetLimit(kUsual / 4, kUsual / 4);
  fleet.Load(kUsual, seconds(5));
  fleet.Reset();
  fleet.Load(kUsual, seconds(10));
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

TEST_P(quotas_of_a_fleet, EndWithTheLimit) {
  fleet.SetLimit(1, 1);
  fleet.Load(kUsual, seconds(5));
  fleet.Reset();
  fleet.SetLimit(0, 0);
  fleet.Load(kUsual, seconds(5));
  EXPECT_EQ(fleet.ServedShare(), 1);
}

// Reports that are lost are sent again as debt.
TEST_P(quotas_of_a_fleet, HoldWhileReportsAreLost) {
  fleet.LoseOneIn(10);
  fleet.Load(kUsual * 7.5, seconds(12));
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

TEST_P(quotas_of_a_fleet, HoldWhileAllNodesStartAgainAtOnce) {
  fleet.Load(kUsual * 7.5, seconds(6));
  for (std::size_t i = 0; i < GetParam(); ++i) {
    fleet.Start(i);
  }
  fleet.Load(kUsual * 7.5, seconds(10));
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

// The registry still lists the earlier runs of all nodes.
TEST_P(quotas_of_a_fleet, ServeTheUsualLoadSoonAfterAllNodesStartAgain) {
  fleet.Load(kUsual * 7.5, seconds(6));
  for (std::size_t i = 0; i < GetParam(); ++i) {
    fleet.Start(i);
    fleet.KnowFleet(i);
  }
  fleet.Reset();
  fleet.Load(kUsual, seconds(1));
  EXPECT_GE(fleet.ServedShare(), 0.25);
  fleet.Load(kUsual, seconds(1));
  fleet.Reset();
  fleet.Load(kUsual, seconds(5));
  EXPECT_GE(fleet.ServedShare(), 0.97);
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

class quotas_under_failure : public quotas_of_a_fleet {};

INSTANTIATE_TEST_SUITE_P(sizes, quotas_under_failure, testing::Values(16, 89));

// Two seconds pass until the other nodes know that the owner is dead.
TEST_P(quotas_under_failure, SurviveTheEndOfTheOwner) {
  const std::size_t owner = fleet.Owner();
  const auto place = [&] { return fleet.Pick(GetParam()); };
  fleet.Load(kUsual * 7.5, seconds(3), place);
  fleet.Kill(owner);
  fleet.Load(kUsual * 7.5, seconds(2), place);
  fleet.TellAll(owner, member_state::kGone);
  fleet.Load(kUsual * 7.5, seconds(10), place);
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
  fleet.Load(kUsual, seconds(3));
  fleet.Reset();
  fleet.Load(kUsual, seconds(10));
  EXPECT_GE(fleet.ServedShare(), 0.97);
}

TEST_P(quotas_under_failure, HoldWhileANodeIsCutOff) {
  fleet.SetPart(fleet.Other(fleet.Owner()), 1);
  fleet.Load(kUsual * 7.5, seconds(12));
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

TEST_P(quotas_under_failure, HoldWhileTheOwnerIsCutOff) {
  fleet.SetPart(fleet.Owner(), 1);
  fleet.Load(kUsual * 7.5, seconds(12));
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

// The parts serve the tenant before and after they are cut off from each other.
TEST_P(quotas_under_failure, HoldWhileAThirdOfTheNodesIsCutOff) {
  fleet.Load(kUsual * 7.5, seconds(5));
  for (std::size_t i = 0; i < GetParam() / 3; ++i) {
    fleet.SetPart(i, 1);
  }
  fleet.Load(kUsual * 7.5, seconds(12));
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

// A third of the nodes does not learn for three seconds that the owner has
// left.
TEST_P(quotas_under_failure, HoldWhileTwoNodesBelieveThatTheyOwnAQuota) {
  fleet.Load(kUsual * 7.5, seconds(5));
  const std::size_t owner = fleet.Owner();
  for (std::size_t i = GetParam() / 3; i < GetParam(); ++i) {
    if (i != owner) {
      fleet.Tell(i, owner, member_state::kGone);
    }
  }
  fleet.Load(kUsual * 7.5, seconds(3));
  fleet.TellAll(owner, member_state::kGone);
  fleet.Load(kUsual * 7.5, seconds(5));
  EXPECT_LE(fleet.MostInWindow(), fleet.WindowLimit());
}

TEST(an_equal_part_of_a_quota, AddsUpToTheRateInFleetsOfAnySize) {
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> phase;
  for (const std::size_t count : {16UL, 89UL, 7'831UL}) {
    const tenant_quota limit{request_rate(40), 40};
    std::vector<quota_floor> parts;
    for (std::size_t i = 0; i < count; ++i) {
      parts.emplace_back(instant(), limit, count, phase(random));
    }
    std::size_t admitted = 0;
    for (instant now; now < instant(seconds(5)); now += milliseconds(10)) {
      for (quota_floor& part : parts) {
        admitted += part.TryTake(now) ? 1 : 0;
      }
    }
    EXPECT_GE(admitted, 40 * 5 * 0.9) << count;
    EXPECT_LE(admitted, 40 * 5 * 1.1 + 20) << count;
  }
}

TEST(an_equal_part_of_a_quota, IsNotSavedUpByIdleNodes) {
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> phase;
  const tenant_quota limit{request_rate(40), 40};
  std::size_t admitted = 0;
  for (std::size_t i = 0; i < 7'831; ++i) {
    quota_floor part(instant(), limit, 7'831, phase(random));
    admitted += part.TryTake(instant(seconds(1'000))) ? 1 : 0;
  }
  EXPECT_LE(admitted, 40 * 1.1 + 20);
}

// The owner of a quota hears at most this often from a fleet of which every
// node has requests of the tenant all the time.
TEST(reports_of_a_quota, AreBounded) {
  for (const std::size_t count : {16UL, 89UL, 7'831UL}) {
    quota_pool pool(instant(), {request_rate(100), 100}, instant());
    quota_grant grant;
    for (std::size_t i = 0; i < count; ++i) {
      grant = pool.Take(instant(seconds(1)), node_id(i),
                        {.tenant = kTenant, .requested = 100}, {1, count});
    }
    const double interval =
        std::chrono::duration<double>(grant.report_after).count();
    const double reports = static_cast<double>(count) / interval;
    EXPECT_LE(reports, std::max<double>(400, count)) << count;
  }
}

}  // namespace
}  // namespace auburnfold
