#include "StandIns/endpoint_model.h"

#include <gtest/gtest.h>

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

class an_endpoint : public testing::Test {
 protected:
  static endpoint_model_settings Settings() {
    endpoint_model_settings settings;
    settings.slots = 1;
    settings.mean_service_time = 10ms;
    settings.cold_time = 5s;
    settings.cold_factor = 3.0;
    return settings;
  }

  bool Arrive(run_number run, const std::string& key = "") {
    return model_.OnArrived(
        now_, run, {"request-" + std::to_string(run), key, now_ + 100ms});
  }

  std::vector<started_run> StartDue() {
    return model_.StartDue(now_, expired_);
  }

  std::int64_t Recorded(const char* name) const {
    return model_.record().Summary().at(name).to_number<std::int64_t>();
  }

  instant now_{1h};
  endpoint_model model_{Settings(), instant{0s}};
  std::vector<run_number> expired_;
};

class a_full_endpoint : public an_endpoint {
 protected:
  a_full_endpoint() {
    Arrive(1);
    Arrive(2);
    Arrive(3);
  }
};

TEST_F(a_full_endpoint, RunsAsManyAsItHasSlotsInOrderOfArrival) {
  ASSERT_EQ(StartDue().size(), 1U);
  EXPECT_TRUE(StartDue().empty());
  model_.OnFinished(1);
  ASSERT_EQ(StartDue().size(), 1U);
  EXPECT_EQ(Recorded("started"), 2);
}

TEST_F(a_full_endpoint, DropsQueuedWorkWhoseDeadlineHasPassed) {
  StartDue();
  now_ += 100ms;
  model_.OnFinished(1);
  EXPECT_TRUE(StartDue().empty());
  EXPECT_EQ(expired_, (std::vector<run_number>{2, 3}));
  EXPECT_EQ(Recorded("started"), 1);
}

TEST_F(a_full_endpoint, NeverStartsWorkThatWasCancelledInTheQueue) {
  StartDue();
  model_.OnStopped(2, false);
  model_.OnFinished(1);
  const std::vector<started_run> next = StartDue();
  ASSERT_EQ(next.size(), 1U);
  EXPECT_EQ(next[0].run, 3U);
  EXPECT_EQ(Recorded("cancelled"), 1);
}

TEST_F(a_full_endpoint, ReportsItsQueueAsLoadUnlessItIsToldToMislead) {
  StartDue();
  EXPECT_DOUBLE_EQ(model_.Report().load, 3.0);
  model_.ChangeFaults(now_, {{"fixed_load", 0.1}, {"fixed_healthy", false}});
  EXPECT_DOUBLE_EQ(model_.Report().load, 0.1);
  EXPECT_FALSE(model_.Report().is_healthy);
  model_.ChangeFaults(now_, {{"fixed_load", nullptr}});
  EXPECT_DOUBLE_EQ(model_.Report().load, 3.0);
}

class an_endpoint_with_faults : public an_endpoint {};

TEST_F(an_endpoint_with_faults, ShedsBeforeAnyWork) {
  model_.ChangeFaults(now_, {{"sheds", true}});
  EXPECT_FALSE(Arrive(1));
  EXPECT_TRUE(StartDue().empty());
  EXPECT_EQ(Recorded("shed"), 1);
}

TEST_F(an_endpoint_with_faults, IsSlowByTheGivenFactor) {
  model_.ChangeFaults(now_, {{"slow_factor", 4.0}});
  Arrive(1);
  EXPECT_EQ(StartDue().at(0).service_time, 40ms);
}

TEST_F(an_endpoint_with_faults, IsSlowerWhileCold) {
  now_ = instant{1s};
  Arrive(1);
  EXPECT_EQ(StartDue().at(0).service_time, 30ms);
}

TEST_F(an_endpoint_with_faults, RefusesAnUnknownFaultAndChangesNothing) {
  EXPECT_THROW(model_.ChangeFaults(now_, {{"sheds", true}, {"shed", true}}),
               std::runtime_error);
  EXPECT_TRUE(Arrive(1));
}

class a_leaving_endpoint : public an_endpoint {};

TEST_F(a_leaving_endpoint, CountsNewWorkOnlyAfterTheGrace) {
  model_.Leave(now_);
  now_ += 3s;
  Arrive(1);
  EXPECT_EQ(Recorded("new_work_while_leaving"), 0);
  now_ += 1ms;
  Arrive(2);
  EXPECT_EQ(Recorded("new_work_while_leaving"), 1);
}

class the_record : public an_endpoint {};

TEST_F(the_record, ShowsAKeyThatRanTwice) {
  Arrive(1, "key");
  StartDue();
  model_.OnFinished(1);
  Arrive(2, "key");
  StartDue();
  EXPECT_EQ(Recorded("keys_started_again"), 1);
  EXPECT_EQ(Recorded("requests_started_again"), 0);
}

}  // namespace
}  // namespace auburnfold
