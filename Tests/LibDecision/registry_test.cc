#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "LibDecision/Registry/member_codec.h"
#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

/// One node with a registry, and the key-value service as the test plays it.
class a_node : public testing::Test {
 protected:
  a_node()
      : node_({.discovery = discovery_mode::kRegistry,
               .settings = settings_source::kRoutes,
               .route_key = "routes"}) {
    Happen(node_started{.node = node_id(1),
                        .run = incarnation(5),
                        .address = {.host = "10.0.0.1", .peer_port = 80},
                        .domain = domain_name("d1")});
  }

  effects Happen(event_content content) {
    now_ += 1ms;
    effects made = Reduce(node_, {now_, ++entropy_, std::move(content)});
    for (const effect& each : made) {
      if (const auto* call = std::get_if<call_store>(&each)) {
        calls_.push_back(*call);
      }
      if (const auto* decode = std::get_if<decode_routes>(&each)) {
        decoded_ = decode->value;
      }
    }
    return made;
  }

  effects Pass(duration time) {
    effects all;
    for (const instant end = now_ + time; now_ < end; now_ += 20ms) {
      for (effect& each : Happen(time_passed{})) {
        all.push_back(std::move(each));
      }
    }
    return all;
  }

  /// The oldest call of this kind that was not answered.
  template <class request>
  std::optional<request> Next(std::string_view about = {}) {
    for (auto each = calls_.begin(); each != calls_.end(); ++each) {
      const auto* wanted = std::get_if<request>(&each->request);
      if (wanted != nullptr && IsAbout(*wanted, about)) {
        const request found = *wanted;
        answering_ = each->call;
        calls_.erase(each);
        return found;
      }
    }
    return std::nullopt;
  }

  template <class request>
  static bool IsAbout(const request& asked, std::string_view about) {
    if constexpr (requires { asked.prefix; }) {
      return about.empty() || asked.prefix == about;
    }
    return true;
  }

  effects Answer(store_result result) {
    return Happen(store_answered{answering_, std::move(result)});
  }

  void AnswerLists(std::vector<store_entry> members = {}) {
    ASSERT_TRUE(Next<store_list>(kRegistryPrefix));
    Answer({.entries = std::move(members), .revision = store_revision(10)});
    ASSERT_TRUE(Next<store_list>("routes"));
    Answer({.revision = store_revision(10)});
  }

  void ReportEndpoint(endpoint_state state = endpoint_state::kReady) {
    Happen(endpoint_reported{.service = service_name("lots"),
                             .state = state,
                             .run = incarnation(3),
                             .slots = 18});
  }

  void Register() {
    ASSERT_TRUE(Next<store_grant_lease>());
    Answer({.lease = store_lease(77), .time_to_live = 9s});
    const auto write = Next<store_compare_and_swap>();
    ASSERT_TRUE(write);
    EXPECT_EQ(write->lease, store_lease(77));
    Answer({.entries = {{write->key, write->value, store_revision(11)}},
            .revision = store_revision(11)});
  }

  static member_record Other() {
    return {.node = node_id(2),
            .run = incarnation(4),
            .address = {.host = "10.0.0.2", .peer_port = 80},
            .domain = domain_name("d2"),
            .service = service_name("lots"),
            .slots = 18};
  }

  static store_entry EntryOf(const member_record& record,
                             std::uint64_t revision) {
    return {MemberKey(record.node), EncodeMember(record),
            store_revision(revision)};
  }

  /// The state in which the node holds another one.
  std::optional<member_state> StateOf(node_id node) {
    const effects made =
        Happen(admin_requested{admin_call_id(1), read_members{}});
    for (const effect& each : made) {
      const auto* answer = std::get_if<answer_admin>(&each);
      if (answer == nullptr) {
        continue;
      }
      for (const member_record& record : answer->result.members) {
        if (record.node == node) {
          return record.state;
        }
      }
    }
    return std::nullopt;
  }

  node_state node_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  std::vector<call_store> calls_;
  store_call_id answering_;
  std::string decoded_;
};

// The store was away and came back from an older copy of its data.
class a_store_that_has_lost_writes : public a_node {
 protected:
  a_store_that_has_lost_writes() {
    AnswerLists({EntryOf(Other(), 7)});
    ReportEndpoint();
    Register();
    SeeEra(1);
  }

  /// An answer without changes, in this era.
  void SeeEra(std::uint64_t era) {
    ReportEndpoint();
    Pass(4s);
    ASSERT_TRUE(Next<store_renew_lease>());
    Answer({.time_to_live = 9s, .era = store_era(era)});
  }
};

TEST_F(a_store_that_has_lost_writes, GetsTheRecordAgainUnderANewLease) {
  SeeEra(2);
  ASSERT_TRUE(Next<store_grant_lease>());
  Answer({.lease = store_lease(78), .time_to_live = 9s, .era = store_era(2)});
  const auto write = Next<store_compare_and_swap>();
  ASSERT_TRUE(write);
  EXPECT_EQ(write->lease, store_lease(78));
  EXPECT_EQ(write->expected, store_revision());
}

TEST_F(a_store_that_has_lost_writes, IsListedAgainAtOnce) {
  SeeEra(2);
  EXPECT_TRUE(Next<store_list>(kRegistryPrefix));
  EXPECT_TRUE(Next<store_list>("routes"));
}

TEST_F(a_store_that_has_lost_writes, DoesNotMakeALeavingEndpointReadyAgain) {
  member_record leaving = Other();
  leaving.version = 1;
  leaving.state = member_state::kLeaving;
  SeeEra(2);
  ASSERT_TRUE(Next<store_list>(kRegistryPrefix));
  Answer({.entries = {EntryOf(leaving, 9)},
          .revision = store_revision(9),
          .era = store_era(2)});
  EXPECT_EQ(StateOf(node_id(2)), member_state::kLeaving);
  ASSERT_TRUE(Next<store_grant_lease>());
  Answer({.lease = store_lease(78), .time_to_live = 9s, .era = store_era(3)});
  ASSERT_TRUE(Next<store_list>(kRegistryPrefix));
  Answer({.entries = {EntryOf(Other(), 7)},
          .revision = store_revision(7),
          .era = store_era(3)});
  EXPECT_EQ(StateOf(node_id(2)), member_state::kLeaving);
}

TEST_F(a_store_that_has_lost_writes, IsNotListedAgainInTheSameEra) {
  SeeEra(1);
  EXPECT_FALSE(Next<store_list>(kRegistryPrefix));
  EXPECT_FALSE(Next<store_grant_lease>());
}

TEST_F(a_store_that_has_lost_writes, IsNotBelievedInAnswersFromBefore) {
  SeeEra(2);
  ASSERT_TRUE(Next<store_list>(kRegistryPrefix));
  member_record new_one = Other();
  new_one.node = node_id(3);
  Answer({.entries = {EntryOf(new_one, 12)},
          .revision = store_revision(12),
          .era = store_era(1)});
  EXPECT_FALSE(StateOf(node_id(3)));
}

class its_own_record : public a_node {};

TEST_F(its_own_record, IsWrittenUnderALeaseOnceItsEndpointIsKnown) {
  AnswerLists();
  EXPECT_FALSE(Next<store_grant_lease>());
  ReportEndpoint();
  Register();
}

TEST_F(its_own_record, IsRenewedAndNotWrittenAgain) {
  AnswerLists();
  ReportEndpoint();
  Register();
  Pass(4s);
  EXPECT_TRUE(Next<store_renew_lease>());
  EXPECT_FALSE(Next<store_compare_and_swap>());
}

TEST_F(its_own_record, SaysAtOnceThatTheEndpointLeaves) {
  AnswerLists();
  ReportEndpoint();
  Register();
  ReportEndpoint(endpoint_state::kLeaving);
  const auto write = Next<store_compare_and_swap>();
  ASSERT_TRUE(write);
  EXPECT_EQ(write->expected, store_revision(11));
  EXPECT_EQ(DecodeMember(write->key, write->value)->state,
            member_state::kLeaving);
}

// A deregistration names neither run nor sequence, and was taken for the result
// of a health probe, which is not published.
TEST_F(its_own_record, SaysAtOnceThatTheEndpointDeregisters) {
  AnswerLists();
  ReportEndpoint();
  Register();
  Happen(endpoint_reported{.service = service_name("lots"),
                           .state = endpoint_state::kGone});
  const auto write = Next<store_compare_and_swap>();
  ASSERT_TRUE(write);
  EXPECT_EQ(DecodeMember(write->key, write->value)->state,
            member_state::kLeaving);
}

TEST_F(its_own_record, IsWrittenAgainUnderANewLeaseIfTheLeaseHasEnded) {
  AnswerLists();
  ReportEndpoint();
  Register();
  Pass(4s);
  ASSERT_TRUE(Next<store_renew_lease>());
  Answer({.status = store_status::kLeaseExpired});
  Register();
}

TEST_F(its_own_record, IsWrittenAgainIfAWatchShowsThatItHasGone) {
  AnswerLists();
  ReportEndpoint();
  Register();
  ASSERT_TRUE(Next<store_watch>(kRegistryPrefix));
  Answer({.entries = {{.key = MemberKey(node_id(1)),
                       .revision = store_revision(12),
                       .is_removed = true}},
          .revision = store_revision(12)});
  EXPECT_TRUE(Next<store_compare_and_swap>());
}

TEST_F(its_own_record, OverwritesThatOfAnEarlierRunAfterAConflict) {
  AnswerLists();
  ReportEndpoint();
  ASSERT_TRUE(Next<store_grant_lease>());
  Answer({.lease = store_lease(77), .time_to_live = 9s});
  ASSERT_TRUE(Next<store_compare_and_swap>());
  Answer({.status = store_status::kConflict,
          .entries = {{MemberKey(node_id(1)), "old", store_revision(9)}}});
  const auto again = Next<store_compare_and_swap>();
  ASSERT_TRUE(again);
  EXPECT_EQ(again->expected, store_revision(9));
}

TEST_F(its_own_record, ComesBackWithinTwoSecondsOfTheServicesReturn) {
  AnswerLists();
  ReportEndpoint();
  Register();
  Pass(4s);
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(Next<store_renew_lease>());
    Answer({.status = store_status::kUnavailable});
    ReportEndpoint();
    Pass(1s);
  }
  ASSERT_TRUE(Next<store_renew_lease>());
  Answer({.status = store_status::kLeaseExpired});
  Register();
}

class another_node : public a_node {};

TEST_F(another_node, IsKnownFromTheFirstListing) {
  AnswerLists({EntryOf(Other(), 9)});
  EXPECT_EQ(StateOf(node_id(2)), member_state::kReady);
}

// Replays the start of 75 nodes whose endpoints report within a second and a
// half: what each node does for each of them grows with their square.
TEST_F(another_node, IsSeenTogetherWithOthersThatStartAtTheSameTime) {
  AnswerLists();
  constexpr std::uint64_t kNodes = 75;
  std::uint64_t told = 0;
  int watches = 0;
  for (std::uint64_t known = 1; known <= kNodes; ++known) {
    Pass(20ms);
    if (!Next<store_watch>(kRegistryPrefix)) {
      continue;
    }
    ++watches;
    store_result seen{.revision = store_revision(100 + known)};
    for (; told < known; ++told) {
      member_record other = Other();
      other.node = node_id(100 + told);
      seen.entries.push_back(EntryOf(other, 100 + told));
    }
    Answer(seen);
  }
  EXPECT_GE(watches, 2);
  EXPECT_LE(watches, 5);
  EXPECT_EQ(StateOf(node_id(100)), member_state::kReady);
}

TEST_F(another_node, ThatSaidThatItLeavesIsGoneWithItsRecord) {
  member_record leaving = Other();
  leaving.state = member_state::kLeaving;
  AnswerLists({EntryOf(leaving, 9)});
  ASSERT_TRUE(Next<store_watch>(kRegistryPrefix));
  Answer({.entries = {{.key = MemberKey(node_id(2)),
                       .revision = store_revision(12),
                       .is_removed = true}},
          .revision = store_revision(12)});
  EXPECT_EQ(StateOf(node_id(2)), member_state::kGone);
}

TEST_F(another_node, WhoseRecordLapsesIsGoneOnlyAfterItHadTimeToReturn) {
  AnswerLists({EntryOf(Other(), 9)});
  ASSERT_TRUE(Next<store_watch>(kRegistryPrefix));
  Answer({.entries = {{.key = MemberKey(node_id(2)),
                       .revision = store_revision(12),
                       .is_removed = true}},
          .revision = store_revision(12)});
  Pass(2s);
  EXPECT_EQ(StateOf(node_id(2)), member_state::kReady);
  Pass(4s);
  EXPECT_EQ(StateOf(node_id(2)), member_state::kGone);
}

TEST_F(another_node, StaysWhileTheServiceIsAway) {
  AnswerLists({EntryOf(Other(), 9)});
  for (int i = 0; i < 20; ++i) {
    if (Next<store_watch>(kRegistryPrefix) ||
        Next<store_list>(kRegistryPrefix)) {
      Answer({.status = store_status::kUnavailable});
    }
    Pass(1s);
  }
  EXPECT_EQ(StateOf(node_id(2)), member_state::kReady);
}

TEST_F(another_node, IsLearnedFromThePeerThatSendsWorkWhileTheServiceIsAway) {
  const effects made = Happen(
      work_arrived{.work = work_id(1),
                   .from = node_id(2),
                   .from_address = {.host = "10.0.0.2", .peer_port = 80}});
  bool is_asked = false;
  for (const effect& each : made) {
    is_asked = is_asked || std::holds_alternative<request_view>(each);
  }
  EXPECT_TRUE(is_asked);
  Happen(view_received{{.routes = "told", .members = {Other()}}});
  EXPECT_EQ(decoded_, "told");
  EXPECT_EQ(StateOf(node_id(2)), member_state::kReady);
}

class the_watch : public a_node {};

TEST_F(the_watch, IsFollowedByAListingIfItsHistoryIsGone) {
  AnswerLists();
  ASSERT_TRUE(Next<store_watch>("routes"));
  Answer({.status = store_status::kHistoryGone});
  EXPECT_TRUE(Next<store_list>("routes"));
}

TEST_F(the_watch, IsFollowedByAListingIfItFails) {
  AnswerLists();
  ASSERT_TRUE(Next<store_watch>("routes"));
  Answer({.status = store_status::kUnavailable});
  Pass(1s);
  EXPECT_FALSE(Next<store_watch>("routes"));
  EXPECT_TRUE(Next<store_list>("routes"));
}

TEST_F(the_watch, ThatHeardNothingBeginsWhereItBegan) {
  AnswerLists();
  ASSERT_TRUE(Next<store_watch>("routes"));
  Answer({.revision = store_revision(50)});
  EXPECT_EQ(Next<store_watch>("routes")->after, store_revision(10));
}

class a_record : public testing::Test {};

TEST_F(a_record, IsReadAsItWasWritten) {
  member_record record{.node = node_id(7),
                       .run = incarnation(8),
                       .version = 9,
                       .state = member_state::kLeaving,
                       .address = {.host = "10.0.0.7", .peer_port = 81},
                       .domain = domain_name("d"),
                       .service = service_name("s"),
                       .slots = 12};
  EXPECT_EQ(DecodeMember(MemberKey(record.node), EncodeMember(record)), record);
}

TEST_F(a_record, MayNameRoutesWithAndWithoutALeave) {
  member_record record{
      .node = node_id(7),
      .address = {.host = "10.0.0.7", .peer_port = 81},
      .routes = proven_routes{store_era(3), route_version(12)}};
  EXPECT_EQ(DecodeMember(MemberKey(record.node), EncodeMember(record)), record);
  record.leave = endpoint_leave{
      .endpoint = {endpoint_name("i-2"), incarnation(100)}, .sequence = 8};
  EXPECT_EQ(DecodeMember(MemberKey(record.node), EncodeMember(record)), record);
}

TEST_F(a_record, MayHaveFieldsOfALaterVersion) {
  const member_record record{.node = node_id(7),
                             .address = {.host = "10.0.0.7", .peer_port = 81},
                             .service = service_name("s"),
                             .slots = 12};
  EXPECT_EQ(
      DecodeMember(MemberKey(record.node), EncodeMember(record) + "later 7 "),
      record);
}

TEST_F(a_record, OfAnotherWriterNamesNobody) {
  EXPECT_FALSE(DecodeMember("auburnfold/nodes/7", "nonsense"));
  EXPECT_FALSE(DecodeMember("auburnfold/nodes/x", "auburnfold-node-1 "));
  EXPECT_FALSE(DecodeMember("auburnfold/nodes/7", "auburnfold-node-1 1 2 9 "));
}

// Replays the restart of all nodes: each endpoint runs on, and reports again
// only after a second or more. The store answers and shows no leave.
class a_node_started_beside_a_running_endpoint : public a_node {
 protected:
  a_node_started_beside_a_running_endpoint() {
    Happen(node_started{.node = node_id(1),
                        .run = incarnation(6),
                        .address = {.host = "10.0.0.1", .peer_port = 80},
                        .domain = domain_name("d1"),
                        .service = service_name("lots")});
    AnswerLists();
    route_config config{.version = route_version(1)};
    config.services.push_back({service_name("lots"), "/health"});
    asked_ = Happen(routes_decoded{config});
  }

  void AnswerHealth() {
    Happen(endpoint_reported{.service = service_name("lots"),
                             .name = endpoint_name("e1"),
                             .is_probe_result = true});
  }

  effects Report(std::uint64_t sequence) {
    return Happen(endpoint_reported{.service = service_name("lots"),
                                    .run = incarnation(3),
                                    .slots = 18,
                                    .name = endpoint_name("e1"),
                                    .sequence = sequence});
  }

  effects Deregister() {
    return Happen(endpoint_reported{.state = endpoint_state::kGone,
                                    .name = endpoint_name("e1")});
  }

  effects Arrive(std::uint64_t work) {
    return Happen(work_arrived{
        .work = work_id(work),
        .metadata = {.service = service_name("lots"), .time_left = 5s}});
  }

  static bool HasLogged(const effects& made,
                        decision_kind kind,
                        endpoint_state state) {
    return std::any_of(made.begin(), made.end(), [&](const effect& each) {
      const auto* logged = std::get_if<log_decision>(&each);
      return logged != nullptr && logged->record.kind == kind &&
             logged->record.endpoint == endpoint_name("e1") &&
             logged->record.state == static_cast<std::uint32_t>(state);
    });
  }

  template <class wanted>
  static bool Has(const effects& made) {
    return std::any_of(made.begin(), made.end(), [](const effect& each) {
      return std::holds_alternative<wanted>(each);
    });
  }

  effects asked_;
};

TEST_F(a_node_started_beside_a_running_endpoint, AsksItHowItIs) {
  EXPECT_TRUE(Has<probe_endpoint>(asked_));
  EXPECT_TRUE(Has<refuse_work>(Arrive(1)));
  AnswerHealth();
  EXPECT_TRUE(Has<execute_work>(Arrive(2)));
}

TEST_F(a_node_started_beside_a_running_endpoint, GoesOnWhenItReports) {
  AnswerHealth();
  Arrive(1);
  Happen(work_sent{work_id(1), connection_id(1)});
  EXPECT_FALSE(Has<refuse_work>(Report(4)));
  EXPECT_TRUE(Has<relay_work_answer>(Happen(work_finished{work_id(1), {}})));
}

TEST_F(a_node_started_beside_a_running_endpoint, BelievesAFarewell) {
  AnswerHealth();
  Happen(endpoint_reported{.state = endpoint_state::kGone,
                           .name = endpoint_name("e1")});
  Report(4);
  Pass(2s);
  EXPECT_TRUE(Has<refuse_work>(Arrive(1)));
}

TEST_F(a_node_started_beside_a_running_endpoint, LogsReportsItIgnores) {
  EXPECT_TRUE(HasLogged(Report(4), decision_kind::kEndpointChanged,
                        endpoint_state::kReady));
  EXPECT_TRUE(HasLogged(Report(3), decision_kind::kEndpointReportIgnored,
                        endpoint_state::kReady));
  const effects made = Happen(endpoint_reported{.state = endpoint_state::kGone,
                                                .run = incarnation(2),
                                                .name = endpoint_name("e1")});
  EXPECT_TRUE(HasLogged(made, decision_kind::kEndpointReportIgnored,
                        endpoint_state::kGone));
}

TEST_F(a_node_started_beside_a_running_endpoint, DoesNotAskOnceItHasReported) {
  Report(4);
  EXPECT_FALSE(Has<probe_endpoint>(
      Happen(routes_decoded{route_config{.version = route_version(2)}})));
}

// A node that had just restarted acknowledged the deregistration and dropped
// it, since it had no report of the endpoint yet.
class an_endpoint_that_deregisters_before_its_first_report
    : public a_node_started_beside_a_running_endpoint {
 protected:
  an_endpoint_that_deregisters_before_its_first_report() { Deregister(); }
};

TEST_F(an_endpoint_that_deregisters_before_its_first_report,
       IsNotLoggedAsReadyWhenALateReportComes) {
  const effects made = Report(4);
  EXPECT_TRUE(HasLogged(made, decision_kind::kEndpointChanged,
                        endpoint_state::kLeaving));
  EXPECT_FALSE(
      HasLogged(made, decision_kind::kEndpointChanged, endpoint_state::kReady));
}

TEST_F(an_endpoint_that_deregisters_before_its_first_report,
       IsNotMadeReadyByAHealthProbe) {
  AnswerHealth();
  Pass(2s);
  EXPECT_TRUE(Has<refuse_work>(Arrive(1)));
}

TEST_F(an_endpoint_that_deregisters_before_its_first_report,
       IsNotMadeReadyByADelayedReport) {
  Report(4);
  Pass(2s);
  EXPECT_TRUE(Has<refuse_work>(Arrive(1)));
}

TEST_F(an_endpoint_that_deregisters_before_its_first_report,
       IsReadyOnceALaterRunReports) {
  Report(4);
  Happen(endpoint_reported{.service = service_name("lots"),
                           .run = incarnation(9),
                           .slots = 18,
                           .name = endpoint_name("e1"),
                           .sequence = 1});
  EXPECT_TRUE(Has<execute_work>(Arrive(1)));
}

// The node was told that its endpoint leaves, and was killed after it had
// acknowledged that. The endpoint answers for some seconds, but reports no
// more.
class a_node_that_forgot_a_deregistration
    : public a_node_started_beside_a_running_endpoint {
 protected:
  a_node_that_forgot_a_deregistration() { AnswerHealth(); }

  void Answer(std::uint64_t work) {
    Arrive(work);
    Happen(work_sent{work_id(work), connection_id(1)});
    Happen(work_finished{work_id(work), {}});
  }
};

TEST_F(a_node_that_forgot_a_deregistration, DoesNotKeepSendingToTheEndpoint) {
  Answer(1);
  Pass(2500ms);
  EXPECT_TRUE(Has<refuse_work>(Arrive(2)));
}

TEST_F(a_node_that_forgot_a_deregistration, DoesNotBelieveALaterProbe) {
  Pass(2500ms);
  AnswerHealth();
  EXPECT_TRUE(Has<refuse_work>(Arrive(1)));
}

TEST_F(a_node_that_forgot_a_deregistration, GoesOnOnceTheEndpointReports) {
  Pass(2500ms);
  Report(4);
  Pass(2500ms);
  EXPECT_TRUE(Has<execute_work>(Arrive(1)));
}

}  // namespace
}  // namespace auburnfold
