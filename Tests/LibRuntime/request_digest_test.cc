#include "LibRuntime/Requests/request_digest.h"

#include <gtest/gtest.h>

#include <string>

namespace auburnfold {
namespace {

http_request MakeRequest(http::verb method = http::verb::post,
                         std::string_view target = "/a/1?x=2",
                         std::string body = "body") {
  http_request request(method, target, 11);
  request.body() = std::move(body);
  return request;
}

class a_digest : public testing::Test {
 protected:
  const request_digest digest_ = DigestOf(MakeRequest(), "booking");
};

TEST_F(a_digest, IsTheSameForEqualRequests) {
  http_request again = MakeRequest();
  again.set("X-Request-Id", "other");
  EXPECT_EQ(DigestOf(again, "booking"), digest_);
}

TEST_F(a_digest, DiffersWithEachPart) {
  EXPECT_NE(DigestOf(MakeRequest(), "lots"), digest_);
  EXPECT_NE(DigestOf(MakeRequest(http::verb::put), "booking"), digest_);
  EXPECT_NE(DigestOf(MakeRequest(http::verb::post, "/a/1?x=3"), "booking"),
            digest_);
  EXPECT_NE(
      DigestOf(MakeRequest(http::verb::post, "/a/1?x=2", "bodz"), "booking"),
      digest_);
  EXPECT_NE(DigestOf(MakeRequest(http::verb::post, "/a/1?x=2", ""), "booking"),
            digest_);
}

TEST_F(a_digest, KeepsItsPartsApart) {
  EXPECT_NE(DigestOf(MakeRequest(http::verb::post, "/a", "b"), "c"),
            DigestOf(MakeRequest(http::verb::post, "/a", "cb"), ""));
}

}  // namespace
}  // namespace auburnfold
