#include "LibRuntime/Control/view_codec.h"

#include <gtest/gtest.h>

#include <string>

namespace auburnfold {
namespace {

member_record Member(std::uint64_t node) {
  return {.node = node_id(node),
          .run = incarnation(3),
          .address = {.host = "10.0.0.1", .peer_port = 80},
          .domain = domain_name("d"),
          .service = service_name("s"),
          .slots = 18};
}

TEST(a_view, IsReadAsItWasWritten) {
  const peer_view view{.routes = "{\n\n}", .members = {Member(1), Member(2)}};
  const auto read = DecodeView(EncodeView(view));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->routes, view.routes);
  EXPECT_EQ(read->members, view.members);
}

TEST(a_view, HoldsCrashesOfEndpoints) {
  const crash_record crash{.id = crash_id(7),
                           .suspects = {request_digest(3), request_digest(9)},
                           .time_left = std::chrono::seconds(500)};
  const auto read =
      DecodeView(EncodeView({.members = {Member(1)}, .crashes = {crash}}));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->members, std::vector{Member(1)});
  EXPECT_EQ(read->crashes, std::vector{crash});
}

TEST(a_view, MayHaveNoMembers) {
  const auto read = DecodeView(EncodeView({.routes = "{}"}));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->routes, "{}");
  EXPECT_TRUE(read->members.empty());
}

TEST(a_view, IsRefusedIfItIsMalformed) {
  EXPECT_FALSE(DecodeView("nonsense"));
}

// A node of a later version may send kinds of records, or formats of them, that
// this one does not know.
TEST(a_view, IsReadWithoutTheRecordsThatThisVersionDoesNotKnow) {
  for (const std::string unknown :
       {"key\tvalue\n", "auburnfold/nodes/crashes/7\tauburnfold-crash-1 x \n",
        "auburnfold/nodes/9\tauburnfold-node-2 1 2 3 \n", "no tab\n"}) {
    const auto read = DecodeView(
        unknown + EncodeView({.routes = "{}", .members = {Member(1)}}));
    ASSERT_TRUE(read) << unknown;
    EXPECT_EQ(read->members, std::vector{Member(1)}) << unknown;
    EXPECT_TRUE(read->crashes.empty()) << unknown;
    EXPECT_EQ(read->routes, "{}") << unknown;
  }
}

}  // namespace
}  // namespace auburnfold
