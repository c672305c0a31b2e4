#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "LibRuntime/Control/nng_sender.h"
#include "LibRuntime/Observability/node_metrics.h"

namespace auburnfold {
namespace {

using namespace std::chrono_literals;

TEST(a_sender_to_nobody, KeepsAFewMessagesAndLosesTheRestWithoutWaiting) {
  constexpr std::uint16_t kNobodyListens = 1;
  constexpr int kMoreThanItKeeps = 64;
  nng_sender sender("127.0.0.1", kNobodyListens);
  const std::vector<std::uint8_t> bytes{1, 2, 3};
  EXPECT_TRUE(sender.Send(bytes));
  int sent = 1;
  while (sent < kMoreThanItKeeps && sender.Send(bytes)) {
    ++sent;
  }
  EXPECT_LT(sent, kMoreThanItKeeps);
}

TEST(the_metrics, CountTenantsBeyondTheLimitTogether) {
  node_metrics metrics(2);
  for (const char* tenant : {"a", "b", "c", "d", "a"}) {
    metrics.ObserveCall(class_name("lookup"), tenant_name(tenant), 1ms);
  }
  const std::string text = metrics.ToPrometheusText(3, 4);
  const auto has = [&text](const std::string& line) {
    return text.find("\n" + line + "\n") != std::string::npos;
  };
  EXPECT_TRUE(has("auburnfold_tenant_call_seconds_count{tenant=\"a\"} 2"));
  EXPECT_TRUE(has("auburnfold_tenant_call_seconds_count{tenant=\"b\"} 1"));
  EXPECT_TRUE(has("auburnfold_tenant_call_seconds_count{tenant=\"other\"} 2"));
  EXPECT_EQ(text.find("tenant=\"c\""), std::string::npos);
  EXPECT_TRUE(has("auburnfold_call_seconds_count{class=\"lookup\"} 5"));
  EXPECT_TRUE(has("auburnfold_calls_in_flight 3"));
  EXPECT_TRUE(has("auburnfold_works_in_flight 4"));
}

}  // namespace
}  // namespace auburnfold
