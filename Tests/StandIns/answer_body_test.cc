#include "auburnfold-load/answer_body.h"

#include <gtest/gtest.h>

namespace auburnfold {
namespace {

class an_answer_body : public testing::Test {
 protected:
  std::string body_ = MakeAnswerBody("r1", "sent", 100);
};

TEST_F(an_answer_body, IsWholeForItsOwnRequest) {
  EXPECT_EQ(CheckAnswerBody(body_, "r1", "sent"), body_verdict::kWhole);
}

TEST_F(an_answer_body, IsForeignForAnotherRequestOrAnotherSentBody) {
  EXPECT_EQ(CheckAnswerBody(body_, "r2", "sent"), body_verdict::kForeign);
  EXPECT_EQ(CheckAnswerBody(body_, "r1", "other"), body_verdict::kForeign);
}

TEST_F(an_answer_body, IsPartialHoweverItIsCutOrDamaged) {
  for (std::size_t size = 0; size < body_.size(); ++size) {
    EXPECT_EQ(CheckAnswerBody(body_.substr(0, size), "r1", "sent"),
              body_verdict::kPartial);
  }
  body_[body_.size() / 2] ^= 1;
  EXPECT_EQ(CheckAnswerBody(body_, "r1", "sent"), body_verdict::kPartial);
}

}  // namespace
}  // namespace auburnfold
