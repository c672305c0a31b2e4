#include <gtest/gtest.h>

#include <optional>
#include <utility>

#include "LibDecision/reducer.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

template <class wanted>
std::optional<wanted> Find(const effects& made) {
  for (const effect& each : made) {
    if (const auto* found = std::get_if<wanted>(&each)) {
      return *found;
    }
  }
  return std::nullopt;
}

// The runtime reports `attempt_sent` once the bytes are on their way on a kept
// connection, and the check of all connections may be due just then.
TEST(a_kept_connection, IsNotClosedByACheckThatIsDueAsItsNextRequestIsWritten) {
  node_state state({.retries = retry_mode::kArrivals});
  instant now{};
  std::uint64_t entropy = 0;
  instant wake{};
  const auto happen = [&](event_content content) {
    effects made = Reduce(state, {now, ++entropy, std::move(content)});
    if (const auto at = Find<wake_at>(made)) {
      wake = at->when;
    }
    return made;
  };
  happen(node_started{.node = node_id(1), .run = incarnation(1)});
  member_update members;
  members.records.push_back({.node = node_id(2),
                             .run = incarnation(1),
                             .version = 1,
                             .service = service_name("tracking")});
  happen(message_received{{.from = node_id(2), .content = members}});
  std::uint64_t calls = 0;
  const auto call = [&] {
    call_arrived arrived{.call = call_id(++calls)};
    arrived.metadata.own_id = request_id(std::to_string(calls));
    arrived.metadata.root = arrived.metadata.own_id;
    arrived.metadata.service = service_name("tracking");
    arrived.metadata.request_class = class_name("booking-status");
    arrived.metadata.time_left = 5s;
    arrived.metadata.priority = 2;
    return Find<send_attempt>(happen(arrived))->attempt;
  };
  for (int i = 0; i < 10; ++i) {
    const attempt_id attempt = call();
    happen(attempt_sent{attempt, connection_id(1)});
    now += 10ms;
    outcome whole;
    whole.peer = answer_metadata{};
    happen(attempt_finished{attempt, whole});
  }
  const attempt_id slow = call();
  happen(attempt_sent{slow, connection_id(7)});
  const instant sent = now;
  while (now - sent < 80ms) {
    now += 1ms;
    happen(time_passed{});
  }
  // The next look at all connections finds that the slow one is overdue.
  while (wake - sent < 100ms) {
    now = wake;
    happen(time_passed{});
  }
  now = wake - 10us;
  const attempt_id next = call();
  now = wake + 10us;
  const auto closed =
      Find<close_connection>(happen(attempt_sent{next, connection_id(1)}));
  EXPECT_FALSE(closed);
}

}  // namespace
}  // namespace auburnfold
