#include <gtest/gtest.h>

#include "auburnfold-load/load_plan.h"
#include "auburnfold-load/log_linear_histogram.h"
#include "auburnfold-load/recovery.h"
#include "auburnfold-load/retry_policy.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class a_histogram : public testing::Test {};

TEST_F(a_histogram, GivesQuantilesWithinItsPrecision) {
  log_linear_histogram histogram;
  for (int i = 1; i <= 100'000; ++i) {
    histogram.Add(std::chrono::microseconds(i));
  }
  for (const double share : {0.5, 0.99, 0.999}) {
    const double exact = 100'000 * share;
    const auto found = static_cast<double>(histogram.Quantile(share).count());
    EXPECT_GE(found, exact);
    EXPECT_LE(found, exact * (1 + 1.0 / 64));
  }
}

TEST_F(a_histogram, IsZeroWhileItIsEmpty) {
  EXPECT_EQ(log_linear_histogram().Quantile(0.99), 0us);
}

class a_recovery : public testing::Test {
 protected:
  // 20 calls each 50 ms, of which so many are useful.
  void Serve(std::chrono::milliseconds from,
             std::chrono::milliseconds until,
             int useful) {
    for (auto event_context = from; event_context < until;
         event_context += 50ms) {
      for (int i = 0; i < 20; ++i) {
        meter_.Add(event_context, i < useful);
      }
    }
  }

  recovery_meter meter_;
};

TEST_F(a_recovery, BeginsWhereAWholeSecondIsServed) {
  Serve(0ms, 1500ms, 0);
  Serve(1500ms, 4000ms, 19);
  EXPECT_EQ(meter_.RecoveryAfter(1000ms, 4000ms), 500ms);
}

TEST_F(a_recovery, IsAbsentIfTheServedSecondIsNotWhole) {
  Serve(0ms, 1500ms, 0);
  Serve(1500ms, 2400ms, 20);
  EXPECT_EQ(meter_.RecoveryAfter(1000ms, 2400ms), std::nullopt);
}

TEST_F(a_recovery, IsAbsentBelowTheShare) {
  Serve(0ms, 4000ms, 18);
  EXPECT_EQ(meter_.RecoveryAfter(1000ms, 4000ms), std::nullopt);
}

class a_clients_retry : public testing::Test {
 protected:
  std::optional<std::chrono::milliseconds> Wait(send_verdict verdict,
                                                std::uint32_t sends = 1) {
    return WaitBeforeResend(retries_, class_, verdict, sends, 0.5);
  }

  client_retries retries_{.tries = 3, .backoff = 50ms};
  load_class class_{.is_idempotent = false};
};

TEST_F(a_clients_retry, WaitsAsLongAsItWasTold) {
  EXPECT_EQ(Wait({call_outcome::kRefused, 400ms}), 400ms);
  EXPECT_EQ(Wait({call_outcome::kRefused, 1ms}, 2), 100ms);
}

TEST_F(a_clients_retry, IsNotMadeIfTheAnswerDoesNotInviteIt) {
  EXPECT_EQ(Wait({call_outcome::kRefused, std::nullopt}), std::nullopt);
}

TEST_F(a_clients_retry, IsNotMadeIfTheFirstSendMayHaveRun) {
  EXPECT_EQ(Wait({call_outcome::kUnknown, 10ms}), std::nullopt);
  class_.uses_key = true;
  EXPECT_EQ(Wait({call_outcome::kUnknown, 10ms}), 50ms);
}

TEST_F(a_clients_retry, IsMadeRegardlessByHardClientsUpToTheirTries) {
  retries_.is_hard = true;
  EXPECT_EQ(Wait({call_outcome::kUnknown, 900ms}, 2), 50ms);
  EXPECT_EQ(Wait({call_outcome::kUnknown, 900ms}, 3), std::nullopt);
}

class a_plan : public testing::Test {
 protected:
  static std::string ErrorOf(const char* text) {
    try {
      ParseLoadPlan(text, "plan.json");
    } catch (const plan_error& error) {
      return error.what();
    }
    return "";
  }
};

TEST_F(a_plan, MayHaveComments) {
  const load_plan plan = ParseLoadPlan(
      R"({"nodes": ["127.0.0.1:9000"], // two nodes would do as well
          "classes": [{"service": "gate", "class": "scan"}],
          "phases": [{"rate": 100, "seconds": 0.5, "surge": true}]})",
      "plan.json");
  EXPECT_EQ(plan.classes.at(0).name, "gate/scan");
  EXPECT_EQ(plan.phases.at(0).length, 500ms);
  EXPECT_TRUE(plan.phases.at(0).is_surge);
  EXPECT_NO_THROW(CheckServers(plan));
}

TEST_F(a_plan, NamesTheKeyThatIsWrong) {
  EXPECT_EQ(ErrorOf(R"({"classes": [{"service": "a", "class": "b",
                                     "timeout_ms": 0}]})"),
            "plan.json: classes[0]: timeout_ms: is not a number from 1 to "
            "600000");
  EXPECT_EQ(ErrorOf(R"({"nodes": ["127.0.0.1"]})"),
            "plan.json: nodes: 127.0.0.1 is not HOST:PORT");
  EXPECT_EQ(ErrorOf(R"({"rate": 1})"), "plan.json: rate: unknown key");
}

}  // namespace
}  // namespace auburnfold
