#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

// A node that follows the routes, with a store that the test plays.
class the_log_of_routes : public testing::Test {
 protected:
  the_log_of_routes()
      : node_({.discovery = discovery_mode::kRegistry,
               .settings = settings_source::kRoutes,
               .route_key = "routes"}) {
    Happen(node_started{.node = node_id(1), .run = incarnation(5)});
    // The routes are read once the registry is listed.
    Happen(store_answered{last_call_, {.era = store_era(3)}});
  }

  void Happen(event_content content) {
    now_ += 1ms;
    for (const effect& each :
         Reduce(node_, {now_, ++entropy_, std::move(content)})) {
      if (const auto* call = std::get_if<call_store>(&each)) {
        Keep(*call);
      }
      if (const auto* decode = std::get_if<decode_routes>(&each)) {
        decoding_ = *decode;
      }
      if (const auto* limited = std::get_if<apply_caller_limits>(&each)) {
        limits_ = limited->limits;
      }
      if (const auto* logged = std::get_if<log_decision>(&each)) {
        lines_.push_back(logged->record);
      }
    }
  }

  void Keep(const call_store& call) {
    const auto* list = std::get_if<store_list>(&call.request);
    const auto* watch = std::get_if<store_watch>(&call.request);
    const bool is_listing_or_routes =
        list != nullptr || (watch != nullptr && watch->prefix == "routes");
    if (is_listing_or_routes) {
      last_call_ = call.call;
    }
  }

  /// The store answers the last call about the routes.
  void Show(std::uint64_t revision, std::uint64_t era = 3) {
    Happen(store_answered{
        last_call_,
        {.entries = {{"routes", "text", store_revision(revision)}},
         .revision = store_revision(revision),
         .era = store_era(era)}});
    // The next watch begins a moment after a change.
    now_ += 1s;
    Happen(time_passed{});
  }

  void Decode(std::optional<std::uint64_t> version) {
    std::optional<route_config> config;
    if (version) {
      config = route_config{.version = route_version(*version)};
    }
    now_ += 9ms;
    Happen(routes_decoded{config, decoding_.value, decoding_.reading});
  }

  std::optional<decision_record> Last(decision_kind kind) const {
    const auto found = std::find_if(
        lines_.rbegin(), lines_.rend(),
        [kind](const decision_record& line) { return line.kind == kind; });
    return found == lines_.rend() ? std::nullopt : std::optional(*found);
  }

  node_state node_;
  instant now_{};
  std::uint64_t entropy_ = 0;
  store_call_id last_call_;
  decode_routes decoding_;
  std::optional<caller_limits> limits_;
  std::vector<decision_record> lines_;
};

TEST_F(the_log_of_routes, TellsFromWhereAVersionWasTaken) {
  Show(40);
  Decode(7);
  const auto taken = Last(decision_kind::kRoutesTaken);
  ASSERT_TRUE(taken);
  EXPECT_EQ(taken->routes, route_version(7));
  EXPECT_EQ(taken->source, route_source::kListing);
  EXPECT_EQ(taken->revision, store_revision(40));
  EXPECT_EQ(taken->era, store_era(3));
  EXPECT_GE(taken->age, 9ms);
  Show(41);
  Decode(9);
  EXPECT_EQ(Last(decision_kind::kRoutesTaken)->source, route_source::kWatch);
}

TEST_F(the_log_of_routes, TellsThatAVersionIsNotNewer) {
  Show(40);
  Decode(7);
  Show(41);
  Decode(6);
  const auto ignored = Last(decision_kind::kRoutesIgnored);
  ASSERT_TRUE(ignored);
  EXPECT_EQ(ignored->routes, route_version(6));
  EXPECT_EQ(ignored->revision, store_revision(41));
}

TEST_F(the_log_of_routes, TellsWhichValueIsInvalid) {
  Show(40);
  Decode(std::nullopt);
  const auto rejected = Last(decision_kind::kRoutesRejected);
  ASSERT_TRUE(rejected);
  EXPECT_FALSE(rejected->routes);
  EXPECT_EQ(rejected->revision, store_revision(40));
}

TEST_F(the_log_of_routes, TellsTheEraThatTheStoreHasReached) {
  Show(40, 3);
  Show(12, 4);
  EXPECT_EQ(Last(decision_kind::kStoreEraChanged)->era, store_era(4));
}

TEST_F(the_log_of_routes, NamesThePartsThatAreNotUnderstood) {
  Show(40);
  route_config config{.version = route_version(7)};
  config.limits.body_bytes = 5;
  config.unread = {{config_field::kRouteKind, "r-1", "\"streamed\""}};
  Happen(routes_decoded{config, decoding_.value, decoding_.reading});
  const auto unread = Last(decision_kind::kConfigFieldUnread);
  ASSERT_TRUE(unread);
  EXPECT_EQ(unread->config, config.unread.front());
  EXPECT_EQ(unread->routes, route_version(7));
  ASSERT_TRUE(limits_);
  EXPECT_EQ(limits_->body_bytes, 5);
}

}  // namespace
}  // namespace auburnfold
