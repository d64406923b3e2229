#include "standins/answer_body.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

auto Sample() -> AnswerBody {
  return {.target = "ledger-1",
          .request_id = "r-1",
          .ticket = "t-1",
          .digest = RequestDigest("POST", "/approve/7", "amount=3")};
}

TEST(AnswerBody, ReadsBackWhatItWrites) {
  const auto body = Sample().Compose(4096);
  EXPECT_GE(body.size(), 4096U);
  EXPECT_EQ(AnswerBody::Parse(body), Sample());
}

// A truncated or mixed-up answer must not pass as a whole one.
TEST(AnswerBody, RefusesEveryTruncationAndAChangedByte) {
  const auto body = Sample().Compose(100);
  for (std::size_t size = 0; size < body.size(); ++size) {
    EXPECT_EQ(AnswerBody::Parse(body.substr(0, size)), std::nullopt) << size;
  }
  auto changed = body;
  changed[body.size() / 2] ^= 1;
  EXPECT_EQ(AnswerBody::Parse(changed), std::nullopt);
}

TEST(RequestDigest, DependsOnEachPart) {
  const auto digest = RequestDigest("POST", "/a", "b");
  EXPECT_NE(digest, RequestDigest("PUT", "/a", "b"));
  EXPECT_NE(digest, RequestDigest("POST", "/c", "b"));
  EXPECT_NE(digest, RequestDigest("POST", "/a", "c"));
}

}  // namespace
}  // namespace heatherspan
