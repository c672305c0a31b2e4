#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <variant>

#include "LibDecision/Calls/answer_sizes.h"
#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr duration kTimeLeft = 250ms;

template <class wanted>
bool Has(const effects& made) {
  return std::any_of(made.begin(), made.end(), [](const effect& each) {
    return std::holds_alternative<wanted>(each);
  });
}

template <class wanted>
const wanted& Find(const effects& made) {
  const auto found = std::find_if(
      made.begin(), made.end(),
      [](const effect& each) { return std::holds_alternative<wanted>(each); });
  return std::get<wanted>(*found);
}

// One caller's connection to a node with one route that may be repeated, and
// one that may not.
class a_connection_with_several_calls : public testing::Test {
 protected:
  a_connection_with_several_calls() {
    Happen(node_started{.node = node_id(1), .run = incarnation(7)});
    Happen(endpoint_reported{.service = service_name("listings")});
    route_config config{.version = route_version(1)};
    config.services.push_back({service_name("listings"), "/health"});
    for (const char* name : {"browse", "book"}) {
      route added{.name = class_name(name),
                  .host = "host",
                  .prefix = "/" + std::string(name) + "/"};
      added.services.push_back({service_name("listings"), 1});
      added.is_idempotent = added.name == class_name("browse");
      added.timeout = 10s;
      config.routes.push_back(added);
    }
    Happen(routes_decoded{config});
  }

  effects Happen(event_content content) {
    return Reduce(state_, {now_, 42, std::move(content)});
  }

  effects Arrive(int call,
                 const std::string& path,
                 int behind = 0,
                 std::uint64_t answer_room = kMaxAnswerBytes) {
    call_arrived arrived{.call = call_id(call),
                         .target = route_target{"host", path},
                         .is_pipelined = behind > 0,
                         .answer_room = answer_room};
    if (behind > 0) {
      arrived.behind = call_id(behind);
    }
    arrived.metadata.time_left = kTimeLeft;
    return Happen(arrived);
  }

  /// The call made `made`, which gets an answer of `body_bytes`.
  void Answer(const effects& made, std::uint64_t body_bytes) {
    outcome result{.peer = answer_metadata{}};
    result.body_size = body_bytes;
    Happen(attempt_finished{Find<send_attempt>(made).attempt, result});
  }

  node_state state_;
  instant now_{};
};

TEST_F(a_connection_with_several_calls, SendsIdempotentOnesSideBySide) {
  EXPECT_TRUE(Has<send_attempt>(Arrive(1, "/browse/")));
  EXPECT_TRUE(Has<send_attempt>(Arrive(2, "/browse/", 1)));
}

TEST_F(a_connection_with_several_calls, DefersWhatMayRunOnce) {
  Arrive(1, "/browse/");
  const effects made = Arrive(2, "/book/", 1);
  EXPECT_TRUE(Has<defer_call>(made));
  EXPECT_FALSE(Has<send_attempt>(made));
  EXPECT_TRUE(Has<send_attempt>(Arrive(2, "/book/")));
}

TEST_F(a_connection_with_several_calls, DefersAllBehindWhatMayRunOnce) {
  Arrive(1, "/book/");
  EXPECT_TRUE(Has<defer_call>(Arrive(2, "/browse/", 1)));
}

TEST_F(a_connection_with_several_calls, DefersWhatHasNoRoute) {
  Arrive(1, "/browse/");
  EXPECT_TRUE(Has<defer_call>(Arrive(2, "/none/", 1)));
  EXPECT_TRUE(Has<refuse_call>(Arrive(2, "/none/")));
}

// Its answer may be as large as any, and would be lost.
TEST_F(a_connection_with_several_calls, DefersWhoseAnswerMayFindNoRoom) {
  Arrive(1, "/browse/");
  const effects made = Arrive(2, "/browse/", 1, kMaxAnswerBytes - 1);
  EXPECT_TRUE(Has<defer_call>(made));
  EXPECT_FALSE(Has<send_attempt>(made));
  EXPECT_TRUE(Has<send_attempt>(Arrive(2, "/browse/", 0, 0)));
}

TEST_F(a_connection_with_several_calls, ReservesRoomForTheSizeThatItHasSeen) {
  EXPECT_EQ(
      Find<reserve_answer>(Arrive(2, "/browse/", 1, kMaxAnswerBytes)).bytes,
      kMaxAnswerBytes);
  Answer(Arrive(3, "/browse/"), 30'000);
  EXPECT_TRUE(Has<defer_call>(Arrive(4, "/browse/", 3, 30'000)));
  const effects made = Arrive(5, "/browse/", 3, 40'000);
  EXPECT_TRUE(Has<send_attempt>(made));
  EXPECT_GE(Find<reserve_answer>(made).bytes, 30'000U);
  EXPECT_LE(Find<reserve_answer>(made).bytes, 40'000U);
}

TEST_F(a_connection_with_several_calls, ReservesNothingForTheFirstCall) {
  EXPECT_FALSE(Has<reserve_answer>(Arrive(1, "/browse/")));
}

TEST_F(a_connection_with_several_calls, ForgetsADeferredCallWhoseCallerLeaves) {
  Arrive(1, "/browse/");
  Arrive(2, "/book/", 1);
  const effects made = Happen(call_cancelled{call_id(2)});
  EXPECT_FALSE(Has<cancel_attempt>(made));
  EXPECT_FALSE(Has<refuse_call>(made));
}

TEST_F(a_connection_with_several_calls, CountsTheWaitAgainstTheDeadline) {
  call_arrived waited{.call = call_id(1),
                      .target = route_target{"host", "/book/"},
                      .waited = kTimeLeft - 10ms};
  waited.metadata.time_left = kTimeLeft;
  EXPECT_TRUE(Has<send_attempt>(Happen(waited)));
  now_ += 10ms;
  EXPECT_TRUE(Has<refuse_call>(Happen(time_passed{})));
  waited.call = call_id(2);
  waited.waited = kTimeLeft + 1ms;
  const effects made = Happen(waited);
  EXPECT_TRUE(Has<refuse_call>(made));
  EXPECT_FALSE(Has<send_attempt>(made));
}

}  // namespace
}  // namespace auburnfold
