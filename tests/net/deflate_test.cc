#include "net/deflate.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

// Guards against a text that comes back changed, or not at all.
TEST(DeflateTest, ReturnsTheText) {
  std::string mixed;
  for (int i = 0; i < 200'000; ++i) mixed += static_cast<char>(i * i % 251);
  for (const auto& text : {std::string(), std::string("a"), std::string(1'000'000, 'x'), mixed}) {
    const auto deflated = Deflate(text);
    EXPECT_EQ(Inflate(deflated, text.size()), text);
  }
  EXPECT_LT(Deflate(std::string(1'000'000, 'x')).size(), 10'000U);
}

// Guards against a broken or hostile text that is read, or for which much memory is taken.
TEST(DeflateTest, RefusesAnotherSizeAndBrokenInput) {
  const std::string text(10'000, 'x');
  const auto deflated = Deflate(text);
  EXPECT_FALSE(Inflate(deflated, text.size() - 1).has_value());
  EXPECT_FALSE(Inflate(deflated, text.size() + 1).has_value());
  EXPECT_FALSE(Inflate(deflated, std::size_t{1} << 60).has_value());
  EXPECT_FALSE(Inflate(deflated.substr(0, deflated.size() - 1), text.size()).has_value());
  EXPECT_FALSE(Inflate("", 1).has_value());
  EXPECT_FALSE(Inflate("no deflate", 100).has_value());
}

}  // namespace
}  // namespace heatherspan
