#include "LibDecision/Calls/answer_sizes.h"

#include <gtest/gtest.h>

#include <string>

namespace auburnfold {
namespace {

class the_size_of_answers : public testing::Test {
 protected:
  std::uint64_t Expected() const { return sizes_.ExpectedSize(class_); }
  void See(std::uint64_t bytes, int times = 1) {
    for (int i = 0; i < times; ++i) {
      sizes_.OnAnswer(class_, bytes);
    }
  }

  const class_name class_{"browse"};
  answer_sizes sizes_;
};

TEST_F(the_size_of_answers, IsTheMaximumUntilOneIsSeen) {
  EXPECT_EQ(Expected(), kMaxAnswerBytes);
  sizes_.OnAnswer(class_name("other"), 10);
  EXPECT_EQ(Expected(), kMaxAnswerBytes);
}

TEST_F(the_size_of_answers, CoversTheLargestOfTheLastOnes) {
  See(100);
  EXPECT_LT(Expected(), 5'000U);
  See(50'000);
  See(100, 10);
  EXPECT_GE(Expected(), 45'000U);
}

TEST_F(the_size_of_answers, ForgetsAnOldPeak) {
  See(900'000);
  See(100, 5'000);
  EXPECT_LT(Expected(), 5'000U);
}

TEST_F(the_size_of_answers, NeverExceedsTheMaximum) {
  See(kMaxAnswerBytes);
  EXPECT_EQ(Expected(), kMaxAnswerBytes);
}

// Callers choose the names of classes.
TEST_F(the_size_of_answers, IsKnownOfABoundedNumberOfClasses) {
  See(100);
  for (int i = 0; i < 100'000; ++i) {
    sizes_.OnAnswer(class_name(std::to_string(i)), 100);
  }
  EXPECT_EQ(Expected(), kMaxAnswerBytes);
}

}  // namespace
}  // namespace auburnfold
