#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "LibDecision/Registry/member_codec.h"
#include "LibDecision/Work/report_acknowledgements.h"
#include "LibDecision/reducer.h"

// Guards against a restarted node that took a late heartbeat for the first word
// of an endpoint whose leave its earlier run had acknowledged (DRAIN).

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr char kRoutesPrefix[] = "routes";

/// Runs of one node, and what they leave in the key-value store.
class a_node_and_its_endpoint : public testing::Test {
 protected:
  a_node_and_its_endpoint() { Start(); }

  /// A new run of the node, which knows nothing.
  void Start() {
    state_ = node_state({.discovery = discovery_mode::kRegistry,
                         .settings = settings_source::kRoutes,
                         .route_key = kRoutesPrefix,
                         .leaving_grace = 300ms});
    calls_.clear();
    ++run_;
    Happen(node_started{.node = node_id(1),
                        .run = incarnation(run_),
                        .address = {.host = "10.0.0.1", .peer_port = 80},
                        .domain = domain_name("d1"),
                        .service = service_name("gate")});
  }

  effects Happen(event_content content) {
    effects made = Reduce(state_, {now_, ++entropy_, std::move(content)});
    for (const effect& each : made) {
      if (const auto* call = std::get_if<call_store>(&each)) {
        calls_.push_back(*call);
      }
      if (const auto* acknowledged = std::get_if<acknowledge_report>(&each)) {
        acknowledged_.push_back(acknowledged->report);
      }
      if (const auto* refused = std::get_if<refuse_report>(&each)) {
        refused_.push_back(refused->report);
      }
    }
    return made;
  }

  void Pass(duration time) {
    for (const instant end = now_ + time; now_ < end;) {
      now_ += 10ms;
      Happen(time_passed{});
    }
  }

  /// Answers all calls of the node, as long as they lead to others.
  void AnswerStore() {
    while (!calls_.empty()) {
      const call_store call = std::move(calls_.front());
      calls_.erase(calls_.begin());
      if (!std::holds_alternative<store_watch>(call.request)) {
        Happen(store_answered{call.call, ResultOf(call.request)});
      }
    }
  }

  store_result ResultOf(const store_request& request) {
    store_result result{
        .revision = revision_, .lease = store_lease(7), .time_to_live = 9s};
    if (const auto* write = std::get_if<store_compare_and_swap>(&request)) {
      revision_ = store_revision(revision_.value() + 1);
      result.revision = revision_;
      entry_ = store_entry{write->key, write->value, revision_};
    }
    if (std::holds_alternative<store_end_lease>(request)) {
      entry_.reset();
    }
    const auto* list = std::get_if<store_list>(&request);
    if (list != nullptr && list->prefix == kRegistryPrefix && entry_) {
      result.entries.push_back(*entry_);
    }
    return result;
  }

  static endpoint_reported Report(std::uint64_t sequence,
                                  endpoint_state state = endpoint_state::kReady,
                                  std::uint64_t born = 100) {
    return {.service = service_name("gate"),
            .state = state,
            .run = incarnation(born),
            .slots = 18,
            .name = endpoint_name("i-2"),
            .sequence = sequence};
  }

  /// The response of the endpoint to a health probe, which names no run.
  static endpoint_reported ProbeResult() {
    endpoint_reported result = Report(0);
    result.run = incarnation();
    result.is_probe_result = true;
    return result;
  }

  static endpoint_reported Farewell() {
    endpoint_reported farewell = Report(0, endpoint_state::kGone);
    farewell.report = report_id(1);
    return farewell;
  }

  /// Whether a request of another node is handed to the endpoint.
  bool IsServed() {
    request_metadata metadata;
    metadata.service = service_name("gate");
    metadata.request_class = class_name("read");
    metadata.own_id = request_id("r" + std::to_string(++last_work_));
    metadata.time_left = 3s;
    const work_id work(last_work_);
    const effects made =
        Happen(work_arrived{.work = work,
                            .from = node_id(2),
                            .metadata = metadata,
                            .expected_run = incarnation(run_)});
    const bool is_started =
        std::any_of(made.begin(), made.end(), [](const effect& each) {
          return std::holds_alternative<execute_work>(each);
        });
    if (is_started) {
      Happen(work_sent{work, connection_id(1)});
      Happen(work_finished{work, {}});
    }
    return is_started;
  }

  /// A planned stop of the node, to its end.
  void Stop() {
    Happen(stop_requested{});
    Pass(26s);
    AnswerStore();
  }

  std::optional<member_record> StoredRecord() const {
    return entry_ ? DecodeMember(entry_->key, entry_->value) : std::nullopt;
  }

  /// An endpoint that has served for a while has told that it leaves.
  void Leave(const endpoint_reported& farewell) {
    AnswerStore();
    Happen(Report(7));
    AnswerStore();
    Pass(100ms);
    Happen(farewell);
    AnswerStore();
    Pass(500ms);
  }

  node_state state_;
  instant now_{1s};
  std::uint64_t entropy_ = 0;
  std::uint64_t run_ = 0;
  std::uint64_t last_work_ = 0;
  std::vector<call_store> calls_;
  std::vector<report_id> acknowledged_;
  std::vector<report_id> refused_;
  store_revision revision_{10};
  /// What the store holds under the node's key.
  std::optional<store_entry> entry_;
};

class a_leave : public a_node_and_its_endpoint {};

TEST_F(a_leave, IsAcknowledgedOnceItIsStored) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  Happen(Farewell());
  EXPECT_TRUE(acknowledged_.empty());
  AnswerStore();
  EXPECT_EQ(acknowledged_, std::vector{report_id(1)});
  ASSERT_TRUE(StoredRecord() && StoredRecord()->leave);
  EXPECT_EQ(StoredRecord()->leave->endpoint,
            (endpoint_run{endpoint_name("i-2"), incarnation(100)}));
  EXPECT_TRUE(StoredRecord()->leave->is_final);
}

TEST_F(a_leave, IsAcknowledgedWithinASecondIfTheStoreIsAway) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  Happen(Farewell());
  Pass(kMaxAcknowledgementDelay - 10ms);
  EXPECT_TRUE(acknowledged_.empty());
  Pass(20ms);
  EXPECT_EQ(acknowledged_, std::vector{report_id(1)});
}

TEST_F(a_leave, IsAcknowledgedAtOnceIfItIsRepeated) {
  Leave(Report(8, endpoint_state::kLeaving));
  endpoint_reported repeated = Report(9, endpoint_state::kLeaving);
  repeated.report = report_id(2);
  Happen(repeated);
  EXPECT_EQ(acknowledged_, std::vector{report_id(2)});
  EXPECT_TRUE(calls_.empty()) << "a write for each report";
}

TEST_F(a_leave, DelaysNoOtherAcknowledgement) {
  endpoint_reported ready = Report(7);
  ready.report = report_id(2);
  Happen(ready);
  EXPECT_EQ(acknowledged_, std::vector{report_id(2)});
}

class a_restarted_node : public a_node_and_its_endpoint {};

TEST_F(a_restarted_node, KeepsALeaveThatItsEarlierRunAcknowledged) {
  Leave(Farewell());
  Start();
  AnswerStore();
  Pass(2s);
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
  AnswerStore();
  EXPECT_EQ(StoredRecord()->run, incarnation(run_));
  EXPECT_EQ(StoredRecord()->state, member_state::kLeaving);
  EXPECT_TRUE(StoredRecord()->leave) << "for the run after this one";
}

TEST_F(a_restarted_node, KeepsALeaveIfTheLateReportComesBeforeTheListing) {
  Leave(Farewell());
  Start();
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
  AnswerStore();
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node, KeepsALeaveForAsLongAsItIsNotTakenBack) {
  Leave(Report(9, endpoint_state::kLeaving));
  Start();
  AnswerStore();
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
  Happen(Report(10));
  EXPECT_TRUE(IsServed());
}

// Guards against a farewell that was acknowledged and ignored (DRAIN): the node
// knew the endpoint from a health probe only, which names no run.
TEST_F(a_restarted_node, KeepsALeaveThatFollowsAHealthProbe) {
  AnswerStore();
  Happen(ProbeResult());
  EXPECT_TRUE(IsServed());
  Happen(Farewell());
  AnswerStore();
  EXPECT_EQ(acknowledged_, std::vector{report_id(1)});
  Pass(500ms);
  EXPECT_FALSE(IsServed());
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
  Start();
  AnswerStore();
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
}

// Guards against a leave that was forgotten by a planned stop (DRAIN): the
// record that names it was taken out of the registry.
TEST_F(a_restarted_node, KeepsALeaveOverAPlannedStop) {
  Leave(Farewell());
  Stop();
  Start();
  AnswerStore();
  Happen(ProbeResult());
  EXPECT_FALSE(IsServed());
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node, KeepsALeaveThatComesDuringAPlannedStop) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  Happen(stop_requested{});
  Happen(Farewell());
  AnswerStore();
  Stop();
  Start();
  AnswerStore();
  Happen(ProbeResult());
  EXPECT_FALSE(IsServed());
}

// Guards against a farewell that was acknowledged and forgotten (DRAIN): the
// node had finished its work and taken its record out of the registry, and
// waited for late requests.
TEST_F(a_restarted_node, KeepsALeaveThatComesAtTheEndOfAPlannedStop) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  Stop();
  ASSERT_FALSE(StoredRecord());
  Happen(Farewell());
  EXPECT_TRUE(acknowledged_.empty());
  AnswerStore();
  EXPECT_EQ(acknowledged_, std::vector{report_id(1)});
  Start();
  AnswerStore();
  Happen(ProbeResult());
  EXPECT_FALSE(IsServed());
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node, HasRefusedALeaveThatCouldNotBeStoredBeforeItsStop) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  Happen(stop_requested{});
  Happen(Farewell());
  Pass(kMaxAcknowledgementDelay - 10ms);
  EXPECT_TRUE(refused_.empty());
  Pass(20ms);
  EXPECT_TRUE(acknowledged_.empty());
  EXPECT_EQ(refused_, std::vector{report_id(1)});
  EXPECT_FALSE(IsServed()) << "callers need not wait for the store";
}

TEST_F(a_restarted_node, PublishesNoReportThatComesAtTheEndOfAPlannedStop) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  Stop();
  Happen(Report(8));
  AnswerStore();
  EXPECT_FALSE(StoredRecord());
}

// Guards against a leave that was forgotten (DRAIN): the record lost it when
// nothing was heard of the endpoint for a while.
TEST_F(a_restarted_node, KeepsALeaveAfterItsEndpointWasSilent) {
  Leave(Farewell());
  Pass(6s);
  AnswerStore();
  Start();
  AnswerStore();
  Happen(ProbeResult());
  EXPECT_FALSE(IsServed());
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
}

// Guards against a farewell that was acknowledged and ignored (DRAIN): no
// report of its endpoint came before, and the node knew the one that was there
// before.
TEST_F(a_restarted_node, KeepsTheLeaveOfAnEndpointThatNeverReported) {
  Leave(Farewell());
  endpoint_reported late = Report(1, endpoint_state::kReady, 200);
  late.name = endpoint_name("i-3");
  endpoint_reported farewell = late;
  farewell.state = endpoint_state::kGone;
  farewell.sequence = 2;
  Happen(farewell);
  Pass(500ms);
  Happen(late);
  EXPECT_FALSE(IsServed());
  AnswerStore();
  Start();
  AnswerStore();
  Happen(late);
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node, HasWithdrawnItsRecordIfItsEndpointStays) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  ASSERT_TRUE(StoredRecord());
  Stop();
  EXPECT_FALSE(StoredRecord());
}

TEST_F(a_restarted_node, IgnoresTheFarewellOfAnEarlierEndpoint) {
  AnswerStore();
  Happen(ProbeResult());
  Happen(Report(7));
  endpoint_reported other = Report(9, endpoint_state::kGone, 50);
  other.name = endpoint_name("i-1");
  Happen(other);
  Pass(500ms);
  EXPECT_TRUE(IsServed());
}

TEST_F(a_restarted_node, KeepsALeaveThatAnotherNodeShows) {
  Leave(Farewell());
  const member_record left = *StoredRecord();
  Start();
  Happen(view_received{{.members = {left}}});
  Happen(Report(8));
  Pass(2s);
  Happen(Report(9));
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node, KeepsALeaveThatASenderNotesBeforeTheFirstReport) {
  Start();
  AnswerStore();
  work_arrived noted{.work = work_id(500), .from = node_id(2)};
  noted.metadata.service = service_name("gate");
  noted.metadata.time_left = 1s;
  noted.metadata.notice = endpoint_notice{.endpoint = endpoint_name("i-2"),
                                          .run = incarnation(100),
                                          .is_leaving = true};
  Happen(noted);
  Happen(Report(8));
  Pass(1s);
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node, ServesTheNextRunOfTheEndpointAtOnce) {
  Leave(Farewell());
  Start();
  AnswerStore();
  Happen(Report(1, endpoint_state::kReady, 200));
  EXPECT_TRUE(IsServed());
}

TEST_F(a_restarted_node, ServesASoundEndpointAtOnce) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  Start();
  AnswerStore();
  Happen(Report(8));
  EXPECT_TRUE(IsServed());
}

TEST_F(a_restarted_node, ServesASoundEndpointThatReportsBeforeTheListing) {
  AnswerStore();
  Happen(Report(7));
  AnswerStore();
  Start();
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
  AnswerStore();
  EXPECT_TRUE(IsServed());
}

/// Nothing tells what the earlier run has acknowledged.
class a_restarted_node_without_the_store : public a_node_and_its_endpoint {
 protected:
  a_restarted_node_without_the_store() {
    Leave(Farewell());
    Start();
  }
};

TEST_F(a_restarted_node_without_the_store, TakesNoLateReportForASoundOne) {
  Pass(2s);
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
  Pass(2s);
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node_without_the_store, TakesNoneThatWereHeldUpTogether) {
  Happen(Report(7));
  Pass(50ms);
  Happen(Report(8));
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node_without_the_store, TakesNoHealthProbeForSound) {
  Happen(ProbeResult());
  EXPECT_FALSE(IsServed());
}

TEST_F(a_restarted_node_without_the_store, ServesAnEndpointThatReportsOn) {
  Happen(Report(8));
  Pass(1500ms);
  Happen(Report(9));
  EXPECT_TRUE(IsServed());
}

TEST_F(a_restarted_node_without_the_store, ServesAnEndpointThatJustStarted) {
  Happen(Report(1, endpoint_state::kReady, 200));
  EXPECT_TRUE(IsServed());
}

}  // namespace
}  // namespace auburnfold
