#include "LibAdmin/admin_api.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace auburnfold {
namespace {

namespace http = boost::beast::http;

constexpr std::string_view kRules = R"({"teams": [
  {"name": "cardiff", "token": "0123456789abcdef", "services": ["listings"]},
  {"name": "ops", "token": "fedcba9876543210", "services": ["*"],
   "drain": true}]})";

class an_administration_api : public testing::Test {
 protected:
  explicit an_administration_api(std::string_view rules = kRules)
      : api_(*access_rules::Parse(rules, fault_),
             [this](admin_request asked, const auto& done) {
               asked_ = std::move(asked);
               done(result_);
             }) {}

  admin_api::response_type Send(http::verb method,
                                const std::string& target,
                                const std::string& body = "") {
    admin_api::request_type request(method, target, 11);
    if (!token_.empty()) {
      request.set(http::field::authorization, "Bearer " + token_);
    }
    if (!expected_.empty()) {
      request.set(http::field::if_match, expected_);
    }
    request.set("Auburnfold-Change", "c1");
    request.body() = body;
    std::optional<admin_api::response_type> answer;
    is_taken_ = api_.Handle(request, [&answer](auto response) {
      ASSERT_FALSE(answer);
      answer = std::move(response);
    });
    return answer.value_or(admin_api::response_type());
  }

  std::string fault_;
  admin_api api_;
  std::optional<admin_request> asked_;
  admin_result result_;
  std::string token_ = "0123456789abcdef";
  std::string expected_ = "\"4\"";
  bool is_taken_ = false;
};

TEST_F(an_administration_api, EditsARowUnderTheVersionAndTheTeamsName) {
  result_.row = table_row{.version = row_version(5)};
  const auto answer = Send(http::verb::put, "/v1/table/listings/lookup",
                           R"({"weight": 7, "idempotent": true})");
  EXPECT_EQ(answer.result(), http::status::ok);
  EXPECT_EQ(answer[http::field::etag], "\"5\"");
  const auto& edit = std::get<edit_row>(*asked_);
  EXPECT_EQ(edit.expected, row_version(4));
  EXPECT_EQ(edit.author, "cardiff");
  EXPECT_EQ(edit.change, change_id("c1"));
  EXPECT_EQ(edit.settings.weight, 7U);
  EXPECT_TRUE(edit.settings.is_idempotent);
}

TEST_F(an_administration_api, ShowsTheCurrentRowInAConflict) {
  result_ = {.status = admin_status::kConflict,
             .row = table_row{.version = row_version(9)}};
  const auto answer = Send(http::verb::put, "/v1/table/listings/lookup", "{}");
  EXPECT_EQ(answer.result(), http::status::precondition_failed);
  EXPECT_EQ(answer[http::field::etag], "\"9\"");
}

TEST_F(an_administration_api, WantsToKnowWhichVersionTheAuthorSaw) {
  expected_.clear();
  EXPECT_EQ(Send(http::verb::put, "/v1/table/listings/lookup", "{}").result(),
            http::status::precondition_required);
  EXPECT_FALSE(asked_);
}

TEST_F(an_administration_api, SaysThatTheFateOfAChangeIsUnknown) {
  result_.status = admin_status::kUnknown;
  EXPECT_EQ(Send(http::verb::put, "/v1/table/listings/lookup", "{}").result(),
            http::status::gateway_timeout);
}

TEST_F(an_administration_api, NamesTheColumnThatItCannotRead) {
  const auto answer = Send(http::verb::put, "/v1/table/listings/lookup",
                           R"({"weight": "much"})");
  EXPECT_EQ(answer.result(), http::status::unprocessable_entity);
  EXPECT_NE(answer.body().find("weight"), std::string::npos);
  EXPECT_FALSE(asked_);
}

TEST_F(an_administration_api, RollsBackByANewChange) {
  row_history_entry old;
  old.row.version = row_version(2);
  old.row.settings.weight = 77;
  result_.history = {old};
  Send(http::verb::post, "/v1/table/listings/lookup/rollback",
       R"({"version": 2})");
  ASSERT_TRUE(std::holds_alternative<edit_row>(*asked_));
  EXPECT_EQ(std::get<edit_row>(*asked_).settings.weight, 77U);
  EXPECT_EQ(std::get<edit_row>(*asked_).expected, row_version(4));
}

TEST_F(an_administration_api, RefusesAndCountsWhatATeamMayNotDo) {
  EXPECT_EQ(Send(http::verb::put, "/v1/table/faults/alert", "{}").result(),
            http::status::forbidden);
  EXPECT_EQ(Send(http::verb::put, "/v1/drain").result(),
            http::status::forbidden);
  token_ = "0123456789abcdeX";
  EXPECT_EQ(Send(http::verb::get, "/v1/table").result(),
            http::status::unauthorized);
  EXPECT_EQ(api_.refused_count(), 3U);
  EXPECT_FALSE(asked_);
}

TEST_F(an_administration_api, DrainsForATeamThatMay) {
  token_ = "fedcba9876543210";
  EXPECT_EQ(Send(http::verb::put, "/v1/drain").result(), http::status::ok);
  EXPECT_TRUE(std::get<set_draining>(*asked_).is_draining);
}

TEST_F(an_administration_api, LeavesOtherPathsAlone) {
  Send(http::verb::get, "/metrics");
  EXPECT_FALSE(is_taken_);
}

class an_api_without_teams : public an_administration_api {
 protected:
  an_api_without_teams() : an_administration_api("{}") {}
};

TEST_F(an_api_without_teams, LetsEverybodyReadAndNobodyWrite) {
  token_.clear();
  EXPECT_EQ(Send(http::verb::get, "/v1/nodes").result(), http::status::ok);
  EXPECT_EQ(Send(http::verb::put, "/v1/table/listings/lookup", "{}").result(),
            http::status::unauthorized);
}

TEST(the_access_rules, RefuseATokenThatIsShort) {
  std::string fault;
  EXPECT_FALSE(access_rules::Parse(
      R"({"teams": [{"name": "a", "token": "short"}]})", fault));
  EXPECT_NE(fault.find("token"), std::string::npos);
}

}  // namespace
}  // namespace auburnfold
