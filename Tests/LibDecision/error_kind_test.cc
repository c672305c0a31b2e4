#include "LibDecision/error_kind.h"

#include <gtest/gtest.h>

namespace auburnfold {
namespace {

// Guards against an answer of a node whose status is none.
TEST(an_error_kind, HasTheStatusOfAnError) {
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const error_traits& traits = TraitsOf(static_cast<error_kind>(i));
    EXPECT_GE(traits.http_status, 400) << traits.name;
    EXPECT_LT(traits.http_status, 600) << traits.name;
  }
}

}  // namespace
}  // namespace auburnfold
