#include <gtest/gtest.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "LibDecision/Tenants/key_directory.h"
#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

constexpr duration kValidity = 5s;
constexpr duration kReportInterval = 1s;
constexpr char kRouteKey[] = "routes";

tenant_config MakeTenant(const std::string& name,
                         std::vector<std::string> keys) {
  tenant_config tenant{.name = tenant_name(name)};
  for (std::string& key : keys) {
    tenant.keys.emplace_back(std::move(key));
  }
  return tenant;
}

class a_key : public testing::Test {
 protected:
  std::string HolderOf(const std::string& key) const {
    const key_holder* holder = keys_.Find(api_key(key));
    return holder == nullptr ? "" : holder->name.value();
  }

  key_directory keys_;
};

TEST_F(a_key, BelongsToTheTenantThatHoldsIt) {
  keys_.Replace({MakeTenant("a", {"1", "2", "2"}), MakeTenant("b", {"3"})});
  EXPECT_EQ(HolderOf("2"), "a");
  EXPECT_EQ(HolderOf("3"), "b");
  EXPECT_EQ(HolderOf("4"), "");
}

TEST_F(a_key, OfSeveralTenantsBelongsToNone) {
  keys_.Replace({MakeTenant("a", {"1", "2"}), MakeTenant("b", {"2"}),
                 MakeTenant("a", {"1", "2"})});
  EXPECT_EQ(HolderOf("2"), "");
  EXPECT_EQ(HolderOf("1"), "a");
}

TEST_F(a_key, IsFoundAmongThoseOfTenThousandTenants) {
  std::vector<tenant_config> tenants;
  for (int i = 0; i < 10'000; ++i) {
    const std::string number = std::to_string(i);
    tenants.push_back(MakeTenant("t" + number, {"x" + number, "y" + number}));
  }
  keys_.Replace(tenants);
  EXPECT_EQ(HolderOf("y9999"), "t9999");
  keys_.Replace({});
  EXPECT_EQ(HolderOf("y9999"), "");
  EXPECT_FALSE(keys_.has_tenants());
}

// A node on virtual time, with two others and a store that answers at once, or
// not at all.
class a_node_with_tenants : public testing::Test {
 protected:
  /// `proven` is what the record of another node says about the routes.
  explicit a_node_with_tenants(
      duration validity = kValidity,
      std::optional<proven_routes> proven = proven_routes{store_era(1),
                                                          route_version(1)})
      : state_({.settings = settings_source::kRoutes,
                .route_key = kRouteKey,
                .api_key_validity = validity}) {
    config_.version = route_version(1);
    config_.tenants = {MakeTenant("a", {"ka"}), MakeTenant("b", {"kb"})};
    config_.tenants.front().priority = 6;
    for (const char* name : {"open", "shop"}) {
      config_.routes.push_back({.name = class_name(name),
                                .host = "h",
                                .prefix = "/" + std::string(name) + "/",
                                .services = {{service_name("lots"), 1}},
                                .is_idempotent = true,
                                .timeout = 5s,
                                .priority = 2,
                                .is_anonymous = name == std::string("open")});
    }
    Happen(node_started{.node = node_id(1), .run = incarnation(1)});
    LearnMembers(proven);
    ReportEndpoint();
  }

  void LearnMembers(std::optional<proven_routes> proven) {
    member_update members;
    ++members_version_;
    for (std::uint64_t node = 1; node <= 2; ++node) {
      members.records.push_back({.node = node_id(node),
                                 .run = incarnation(1),
                                 .version = members_version_,
                                 .service = service_name("lots"),
                                 .routes = proven});
    }
    Happen(message_received{{.from = node_id(2), .content = members}});
  }

  void ReportEndpoint() {
    Happen(endpoint_reported{
        .service = service_name("lots"), .run = incarnation(1), .slots = 8});
  }

  void Happen(event_content content) {
    const effects made =
        Reduce(state_, {now_, ++entropy_, std::move(content), suspended_});
    for (const effect& each : made) {
      std::visit([this](const auto& effect) { Do(effect); }, each);
    }
  }

  void Do(const call_store& made) {
    reads_ += std::holds_alternative<store_get>(made.request) ? 1 : 0;
    if (std::holds_alternative<store_watch>(made.request)) {
      return;
    }
    if (is_store_silent_) {
      unanswered_ = made.call;
      return;
    }
    Answer(made.call);
  }

  void Answer(store_call_id call) {
    store_result result{.revision = store_revision(9), .era = store_era(1)};
    if (is_store_down_) {
      result.status = store_status::kUnavailable;
    } else {
      result.entries = {
          {kRouteKey, std::to_string(stored_), store_revision(9)}};
    }
    Happen(store_answered{call, result});
  }

  void Do(const decode_routes& made) {
    route_config config = config_;
    config.version = route_version(std::stoul(made.value));
    Happen(routes_decoded{config, made.value, made.reading});
  }

  void Do(const wake_at& made) { wake_at_ = made.when; }
  void Do(const send_attempt& made) { sent_ = made; }
  void Do(const refuse_call& made) { refused_ = made; }
  void Do(const refuse_work& made) { answered_ = made.metadata; }
  void Do(const relay_work_answer& made) { answered_ = made.metadata; }
  template <class other>
  void Do(const other&) {}

  void Pass(duration time) {
    for (; time >= kReportInterval; time -= kReportInterval) {
      PassQuietly(kReportInterval);
      ReportEndpoint();
    }
    PassQuietly(time);
  }

  void PassQuietly(duration time) {
    const instant end = now_ + time;
    while (wake_at_ && *wake_at_ <= end) {
      now_ = std::max(now_, *wake_at_);
      wake_at_.reset();
      Happen(time_passed{});
    }
    now_ = end;
  }

  /// Returns the error with which a call is refused, or the tenant for which it
  /// is sent on.
  std::string Call(const std::string& key,
                   const std::string& path = "/shop/",
                   const std::string& id = "") {
    sent_.reset();
    refused_.reset();
    call_arrived arrived{.call = call_id(++calls_),
                         .target = route_target{"h", path},
                         .may_have_parent = true};
    if (!key.empty()) {
      arrived.key = api_key(key);
    }
    arrived.metadata.own_id =
        request_id(id.empty() ? std::to_string(calls_) : id);
    arrived.metadata.root = arrived.metadata.own_id;
    arrived.metadata.digest = request_digest(7);
    arrived.metadata.time_left = 2s;
    Happen(arrived);
    if (sent_) {
      return "tenant " + sent_->metadata.tenant.value();
    }
    return refused_ ? std::string(TraitsOf(refused_->kind).name) : "";
  }

  /// The answer to the attempt that was sent last, from a node that uses the
  /// same routes.
  void AnswerAttempt(std::optional<duration> routes_confirmed_age) {
    outcome answer;
    answer.peer = answer_metadata{.routes_confirmed_age = routes_confirmed_age};
    Happen(attempt_finished{sent_->attempt, answer});
  }

  node_state state_;
  route_config config_;
  instant now_ = instant(1h);
  duration suspended_{};
  std::uint64_t entropy_ = 0;
  std::uint64_t calls_ = 0;
  std::uint64_t members_version_ = 1;
  std::uint64_t stored_ = 1;
  bool is_store_down_ = false;
  bool is_store_silent_ = false;
  int reads_ = 0;
  std::optional<store_call_id> unanswered_;
  std::optional<instant> wake_at_;
  std::optional<send_attempt> sent_;
  std::optional<refuse_call> refused_;
  std::optional<answer_metadata> answered_;
};

// Guards against a removed key that is let in again: a node that has just
// started took an older copy of the store for the latest one.
class a_node_that_has_just_started : public a_node_with_tenants {
 protected:
  a_node_that_has_just_started()
      : a_node_with_tenants(kValidity, std::nullopt) {}
};

TEST_F(a_node_that_has_just_started, RefusesKeysUntilItsRoutesAreProven) {
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
  EXPECT_EQ(refused_->execution, execution_state::kNotExecuted);
  EXPECT_EQ(Call("", "/open/"), "tenant ");
  LearnMembers(proven_routes{store_era(1), route_version(1)});
  EXPECT_EQ(Call("ka"), "tenant a");
}

TEST_F(a_node_that_has_just_started, RefusesKeysWhileAnotherKnowsNewerRoutes) {
  LearnMembers(proven_routes{store_era(1), route_version(2)});
  Pass(10s);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
}

TEST_F(a_node_that_has_just_started, TakesNoProofOfAnotherEra) {
  LearnMembers(proven_routes{store_era(0), route_version(1)});
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
}

// All nodes may have started together.
TEST_F(a_node_that_has_just_started, TrustsTheStoreIfNoneObjectsForAWhile) {
  Pass(2900ms);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
  Pass(200ms);
  EXPECT_EQ(Call("ka"), "tenant a");
}

TEST_F(a_node_that_has_just_started, ReadsTheStoreNoMoreOftenForItsProof) {
  for (int i = 0; i < 100; ++i) {
    Call("ka");
    Pass(10ms);
  }
  EXPECT_LE(reads_, 1);
}

class a_call_with_a_key : public a_node_with_tenants {};

TEST_F(a_call_with_a_key, IsMadeForTheTenantOfItsKey) {
  EXPECT_EQ(Call("ka"), "tenant a");
  EXPECT_EQ(Call("kb"), "tenant b");
}

TEST_F(a_call_with_a_key, IsRefusedWithoutAKnownKey) {
  EXPECT_EQ(Call(""), "unknown-api-key");
  EXPECT_EQ(Call("other"), "unknown-api-key");
  EXPECT_EQ(refused_->execution, execution_state::kNotExecuted);
  EXPECT_EQ(refused_->retry_after, duration::zero());
}

TEST_F(a_call_with_a_key, NeedsNoKeyOnAnAnonymousRoute) {
  EXPECT_EQ(Call("", "/open/"), "tenant ");
  EXPECT_EQ(Call("other", "/open/"), "tenant ");
  EXPECT_EQ(Call("kb", "/open/"), "tenant b");
}

TEST_F(a_call_with_a_key, HasThePriorityOfItsTenantBeforeThatOfItsRoute) {
  Call("ka");
  EXPECT_EQ(sent_->metadata.priority, 6);
  Call("kb");
  EXPECT_EQ(sent_->metadata.priority, 2);
}

TEST_F(a_call_with_a_key, IsToldApartFromAnEqualOneOfAnotherTenant) {
  Call("ka");
  const request_digest digest = sent_->metadata.digest;
  Call("ka");
  EXPECT_EQ(sent_->metadata.digest, digest);
  Call("kb");
  EXPECT_NE(sent_->metadata.digest, digest);
}

TEST_F(a_call_with_a_key, IsRefusedAsSoonAsItsKeyIsGone) {
  config_.tenants.front().keys.clear();
  stored_ = 2;
  Pass(kValidity);
  EXPECT_EQ(Call("ka"), "unknown-api-key");
}

class a_call_of_the_endpoint : public a_node_with_tenants {
 protected:
  a_call_of_the_endpoint() {
    work_arrived work{.work = work_id(1), .from = node_id(2)};
    work.metadata.own_id = request_id("p");
    work.metadata.root = request_id("p");
    work.metadata.service = service_name("lots");
    work.metadata.request_class = class_name("shop");
    work.metadata.tenant = tenant_name("b");
    work.metadata.priority = 5;
    work.metadata.time_left = 2s;
    work.expected_run = incarnation(1);
    Happen(work);
  }
};

TEST_F(a_call_of_the_endpoint, BelongsToTheTenantOfTheWorkItIsMadeFor) {
  EXPECT_EQ(Call("", "/shop/", "p.1"), "tenant b");
  EXPECT_EQ(sent_->metadata.priority, 5);
}

TEST_F(a_call_of_the_endpoint, IsRefusedOnceItsWorkHasEnded) {
  Happen(work_finished{work_id(1), {}});
  EXPECT_EQ(Call("", "/shop/", "p.1"), "unknown-api-key");
}

TEST_F(a_call_of_the_endpoint, IsNotOneIfItPresentsAKey) {
  EXPECT_EQ(Call("other", "/shop/", "p.1"), "unknown-api-key");
  EXPECT_EQ(Call("ka", "/shop/", "p.1"), "tenant a");
}

class a_node_that_hears_no_store : public a_node_with_tenants {
 protected:
  a_node_that_hears_no_store() { is_store_down_ = true; }
};

TEST_F(a_node_that_hears_no_store, RefusesKeysThatMayHaveBeenRemovedForLong) {
  Pass(kValidity - 60ms);
  EXPECT_EQ(Call("ka"), "tenant a");
  Pass(20ms);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
  EXPECT_EQ(refused_->execution, execution_state::kNotExecuted);
  EXPECT_GT(refused_->retry_after, duration::zero());
  // The newest routes may know it.
  EXPECT_EQ(Call("other"), "api-keys-outdated");
  EXPECT_EQ(Call("", "/open/"), "tenant ");
  EXPECT_EQ(Call("other", "/open/"), "tenant ");
}

TEST_F(a_node_that_hears_no_store, ServesAgainOnceItHears) {
  Pass(2 * kValidity);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
  is_store_down_ = false;
  Pass(1s);
  EXPECT_EQ(Call("ka"), "tenant a");
}

TEST_F(a_node_that_hears_no_store, HearsFromNodesThatDo) {
  for (int i = 0; i < 20; ++i) {
    Pass(1s);
    ASSERT_EQ(Call("ka"), "tenant a") << i;
    AnswerAttempt(300ms);
  }
}

TEST_F(a_node_that_hears_no_store, CountsAnAnswerFromTheSendingOfItsRequest) {
  Call("ka");
  Pass(1900ms);
  AnswerAttempt(0ms);
  Pass(kValidity - 1960ms);
  EXPECT_EQ(Call("ka"), "tenant a");
  Pass(20ms);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
}

TEST_F(a_node_that_hears_no_store, LearnsNothingFromAnAnswerAboutOlderRoutes) {
  Call("ka");
  is_store_down_ = false;
  stored_ = 2;
  Pass(kValidity / 2);
  is_store_down_ = true;
  AnswerAttempt(-kValidity / 2);
  Pass(kValidity - 60ms);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
}

TEST_F(a_node_that_hears_no_store, TellsOthersHowOldItsLastReadingIs) {
  Pass(2s);
  work_arrived work{.work = work_id(1), .from = node_id(2)};
  work.metadata.service = service_name("lots");
  work.metadata.routes = route_version(1);
  work.metadata.time_left = 2s;
  work.expected_run = incarnation(1);
  Happen(work);
  Pass(1s);
  Happen(work_finished{work_id(1), {}});
  EXPECT_EQ(answered_->routes_confirmed_age, 2s);
  work.work = work_id(2);
  work.metadata.routes = route_version(7);
  Happen(work);
  Happen(work_finished{work_id(2), {}});
  EXPECT_FALSE(answered_->routes_confirmed_age);
}

class a_suspended_machine : public a_node_with_tenants {};

TEST_F(a_suspended_machine, TrustsNoKeyFromBeforeUntilItHasReadAgain) {
  is_store_silent_ = true;
  suspended_ = kValidity;
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
  Answer(*unanswered_);
  EXPECT_EQ(Call("ka"), "tenant a");
}

TEST_F(a_suspended_machine, TrustsNoAnswerToAQuestionFromBefore) {
  is_store_silent_ = true;
  Call("kb");
  const send_attempt before = *sent_;
  Pass(2s);
  suspended_ = kValidity;
  Answer(*unanswered_);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
  sent_ = before;
  AnswerAttempt(0ms);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
}

class a_store_that_returns_an_older_version : public a_node_with_tenants {};

TEST_F(a_store_that_returns_an_older_version, ConfirmsNothing) {
  stored_ = 3;
  Pass(2s);
  stored_ = 2;
  Pass(kValidity);
  EXPECT_EQ(Call("ka"), "api-keys-outdated");
  stored_ = 3;
  Pass(1s);
  EXPECT_EQ(Call("ka"), "tenant a");
}

class a_node_without_a_validity : public a_node_with_tenants {
 protected:
  a_node_without_a_validity() : a_node_with_tenants(duration::zero()) {}
};

TEST_F(a_node_without_a_validity, KeepsToTheKeysItKnowsAndReadsNoMore) {
  is_store_down_ = true;
  reads_ = 0;
  Pass(30s);
  EXPECT_EQ(Call("ka"), "tenant a");
  EXPECT_EQ(reads_, 0);
}

}  // namespace
}  // namespace auburnfold
