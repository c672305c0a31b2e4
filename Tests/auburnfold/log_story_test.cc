#include "auburnfold/log_story.h"

#include <gtest/gtest.h>

#include <sstream>
#include <string>

namespace auburnfold {
namespace {

constexpr char kLog[] =
    R"(
  0.5 node-2 {"time":"T2","level":"INFO","log":"x","event":"work_refused","request":"a.1","root":"a","error":"overloaded"}
{"time":"T1","level":"INFO","log":"x","event":"call_routed","request":"a","service":"s"}
{"time":"T3","event":"call_refused","request":"b","error":"overloaded"}
{"time":"T0","event":"call_refused","request":"bb","error":"overloaded"}
torn {"time":"T9","event":
not a log line
)";

class a_log : public testing::Test {
 protected:
  std::istringstream log_{kLog};
  std::ostringstream out_;
};

class the_story_of_a_request : public a_log {};

TEST_F(the_story_of_a_request, HasItsCallsInTheOrderOfTime) {
  log_story story("a");
  story.Read(log_);
  story.Write(out_);
  EXPECT_EQ(out_.str(),
            "T1 call_routed request=a service=s\n"
            "T2 work_refused request=a.1 root=a error=overloaded\n");
}

TEST_F(the_story_of_a_request, CountsWhatItCouldNotRead) {
  log_story story("nobody");
  story.Read(log_);
  EXPECT_TRUE(story.is_empty());
  EXPECT_EQ(story.unread_lines(), 2U);
}

TEST_F(the_story_of_a_request, PassesOverHugeLines) {
  std::istringstream huge("{\"request\":\"a\",\"x\":\"" +
                          std::string(100'000, 'x') + "\"}\n" + kLog);
  log_story story("a");
  story.Read(huge);
  EXPECT_FALSE(story.is_empty());
  EXPECT_EQ(story.unread_lines(), 3U);
}

class the_summary_of_a_log : public a_log {};

TEST_F(the_summary_of_a_log, HasTheMostFrequentFirstAndWhenItBegan) {
  log_summary summary;
  summary.Read(log_);
  summary.Write(out_);
  EXPECT_EQ(out_.str(),
            "2 call_refused overloaded, first at T0\n"
            "1 call_routed s, first at T1\n"
            "1 work_refused overloaded, first at T2\n");
}

}  // namespace
}  // namespace auburnfold
