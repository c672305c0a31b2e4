#include "LibDecision/Idempotency/idempotency_key_registry.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr key_limits kSmallBounds{.keys = 4, .answer_bytes = 4096};

class a_home_of_keys : public testing::Test {
 protected:
  a_home_of_keys() { register_.Start(node_id(2), incarnation(9)); }

  event_context Now() { return {now_, ++entropy_, timers_}; }

  std::optional<idempotency_key> Issue() {
    event_context context = Now();
    return register_.Issue(context, Booking());
  }

  key_decision Offer(const idempotency_key& key, std::uint64_t work) {
    event_context context = Now();
    request_metadata metadata = Booking();
    metadata.key = key;
    return register_.OnWork(context, metadata, work_id(work));
  }

  effects Finish(const idempotency_key& key,
                 std::uint64_t work,
                 const outcome& result) {
    event_context context = Now();
    register_.OnFinished(context, key, work_id(work), result);
    return context.TakeEffects();
  }

  static request_metadata Booking() {
    request_metadata metadata;
    metadata.service = service_name("bookings");
    metadata.request_class = class_name("book");
    metadata.tenant = tenant_name("parkwiese");
    return metadata;
  }

  timer_service timers_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  idempotency_key_registry register_{kSmallBounds};
};

TEST_F(a_home_of_keys, IsNamedByEachKeyItIssues) {
  const auto home = idempotency_key_registry::HomeOf(*Issue());
  ASSERT_TRUE(home);
  EXPECT_EQ(*home, (key_home{node_id(2), incarnation(9)}));
}

TEST_F(a_home_of_keys, RefusesTextsItDidNotIssue) {
  const std::string issued = Issue()->value();
  for (const std::string& text :
       {std::string("order-77"), std::string(), issued + "0", issued.substr(1),
        "AFK1" + issued.substr(4)}) {
    EXPECT_FALSE(idempotency_key_registry::HomeOf(idempotency_key(text)))
        << text;
    const key_decision decision = Offer(idempotency_key(text), 1);
    EXPECT_EQ(decision.action, key_action::kRefuse);
    EXPECT_EQ(decision.refusal, error_kind::kKeyNotIssued);
    EXPECT_EQ(decision.execution, execution_state::kNotExecuted);
  }
}

TEST_F(a_home_of_keys, RefusesAForgedKey) {
  issued_key forged = *ParseKey(*Issue());
  ++forged.nonce;
  EXPECT_EQ(Offer(Format(forged), 1).refusal, error_kind::kKeyNotIssued);
  --forged.nonce;
  ++forged.serial;
  EXPECT_EQ(Offer(Format(forged), 1).refusal, error_kind::kKeyNotIssued);
}

TEST_F(a_home_of_keys, RefusesTheKeyOfAnEarlierRunAsUnknown) {
  const idempotency_key key = *Issue();
  register_ = idempotency_key_registry(kSmallBounds);
  register_.Start(node_id(2), incarnation(10));
  const key_decision decision = Offer(key, 1);
  EXPECT_EQ(decision.refusal, error_kind::kKeyHomeGone);
  EXPECT_EQ(decision.execution, execution_state::kUnknown);
}

TEST_F(a_home_of_keys, RefusesAKeyThatWasIssuedForAnotherClass) {
  request_metadata metadata = Booking();
  metadata.key = *Issue();
  metadata.request_class = class_name("cancel");
  event_context context = Now();
  EXPECT_EQ(register_.OnWork(context, metadata, work_id(1)).refusal,
            error_kind::kKeyNotIssued);
}

class an_issued_key : public a_home_of_keys {
 protected:
  const idempotency_key key_ = *Issue();
};

TEST_F(an_issued_key, RunsOnceAndIsThenReplayed) {
  EXPECT_EQ(Offer(key_, 1).action, key_action::kExecute);
  EXPECT_EQ(Offer(key_, 2).refusal, error_kind::kKeyInProgress);
  const effects made = Finish(key_, 1, {.body_size = 100});
  ASSERT_EQ(made.size(), 1U);
  EXPECT_EQ(std::get<cache_answer>(made.front()).work, work_id(1));
  EXPECT_EQ(Offer(key_, 3).action, key_action::kReplay);
}

TEST_F(an_issued_key, IsFreeAgainAfterWorkThatWasNotRun) {
  Offer(key_, 1);
  register_.OnNotExecuted(key_, work_id(1));
  EXPECT_EQ(Offer(key_, 2).action, key_action::kExecute);
  register_.OnNotExecuted(key_, work_id(1));
  EXPECT_EQ(Offer(key_, 3).refusal, error_kind::kKeyInProgress);
}

TEST_F(an_issued_key, NeverRunsAgainAfterAnUnknownEnd) {
  Offer(key_, 1);
  Finish(key_, 1, {error_kind::kAnswerTimeout, execution_state::kUnknown});
  const key_decision decision = Offer(key_, 2);
  EXPECT_EQ(decision.refusal, error_kind::kAnswerTimeout);
  EXPECT_EQ(decision.execution, execution_state::kUnknown);
}

TEST_F(an_issued_key, ExpiresByTheTimeOfItsIssueAndNeverRunsAfterwards) {
  Offer(key_, 1);
  Finish(key_, 1, {.body_size = 100});
  now_ += kKeyLifetime;
  const key_decision decision = Offer(key_, 2);
  EXPECT_EQ(decision.refusal, error_kind::kKeyExpired);
  EXPECT_EQ(decision.execution, execution_state::kUnknown);
  EXPECT_EQ(register_.answer_bytes(), 0U);
}

TEST_F(an_issued_key, IsForgottenByTheTimerWithItsAnswer) {
  Offer(key_, 1);
  Finish(key_, 1, {.body_size = 100});
  now_ = *timers_.next_due();
  timers_.PopDue(now_);
  event_context context = Now();
  register_.OnTimer(context);
  const effects made = context.TakeEffects();
  EXPECT_EQ(std::get<evict_answer>(made.front()).key, key_);
  EXPECT_EQ(register_.key_count(), 0U);
  EXPECT_FALSE(timers_.next_due());
}

class a_full_memory : public a_home_of_keys {};

TEST_F(a_full_memory, OfKeysStopsIssuingAndForgetsNone) {
  const idempotency_key first = *Issue();
  for (std::size_t more = 1; more < kSmallBounds.keys; ++more) {
    EXPECT_TRUE(Issue());
  }
  EXPECT_FALSE(Issue());
  EXPECT_EQ(Offer(first, 1).action, key_action::kExecute);
  now_ += kKeyLifetime;
  EXPECT_TRUE(Issue());
}

TEST_F(a_full_memory, OfAnswersRefusesNewWorkAndKeepsTheFactOfTheLastRun) {
  const idempotency_key kept = *Issue();
  const idempotency_key too_large = *Issue();
  const idempotency_key filler = *Issue();
  const idempotency_key unused = *Issue();
  Offer(kept, 1);
  Offer(too_large, 2);
  Offer(filler, 3);
  Finish(kept, 1, {.body_size = 1024});
  Finish(too_large, 2, {.body_size = 4096});
  Finish(filler, 3, {.body_size = 2048});
  EXPECT_EQ(Offer(kept, 4).action, key_action::kReplay);
  const key_decision sealed = Offer(too_large, 5);
  EXPECT_EQ(sealed.refusal, error_kind::kAnswerLost);
  EXPECT_EQ(sealed.execution, execution_state::kExecuted);
  const key_decision refused = Offer(unused, 6);
  EXPECT_EQ(refused.refusal, error_kind::kKeyMemoryFull);
  EXPECT_EQ(refused.execution, execution_state::kNotExecuted);
}

}  // namespace
}  // namespace auburnfold
