#include "LibWire/base64.h"

#include <gtest/gtest.h>

#include <string>

namespace auburnfold {
namespace {

TEST(base64_text, IsReadAsItWasWritten) {
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    EXPECT_EQ(FromBase64(ToBase64(bytes)), bytes);
    bytes += static_cast<char>(i * 7);
  }
}

TEST(base64_text, HasStandardPadding) {
  EXPECT_EQ(ToBase64(""), "");
  EXPECT_EQ(ToBase64("n"), "bg==");
  EXPECT_EQ(ToBase64("ne"), "bmU=");
  EXPECT_EQ(ToBase64("new"), "bmV3");
}

TEST(base64_text, IsRefusedIfItIsMalformed) {
  EXPECT_FALSE(FromBase64("bmV"));
  EXPECT_FALSE(FromBase64("b==="));
  EXPECT_FALSE(FromBase64("bm%3"));
  EXPECT_FALSE(FromBase64("b=V3"));
}

}  // namespace
}  // namespace auburnfold
