#include "toml_table/value_format.h"

#include <gtest/gtest.h>

#include <limits>

namespace heatherspan {
namespace {

template <class Value>
auto Toml(Value value) -> TomlValue {
  TomlValue toml;
  toml.value = std::move(value);
  return toml;
}

// Guards against values that are narrowed to a smaller type before their range is checked.
TEST(WholeNumber, RejectsNumbersThatDoNotFitTheMember) {
  const auto format = WholeNumber<int>(1, 10);
  EXPECT_EQ(format.read(Toml(std::int64_t{1} << 32 | 5)), std::nullopt);
  EXPECT_EQ(format.read(Toml(5.0)), std::nullopt);
  EXPECT_FALSE(format.in_range(11));
}

// Guards against NaN, for which every comparison with a bound is false.
TEST(Number, RejectsNotANumberAndInfinity) {
  const auto format = Number<double>(0, 1);
  EXPECT_EQ(format.read(Toml(std::numeric_limits<double>::quiet_NaN())), std::nullopt);
  EXPECT_EQ(format.parse("inf"), std::nullopt);
  EXPECT_TRUE(format.in_range(*format.read(Toml(std::int64_t{1}))));
}

TEST(Milliseconds, RoundTripsEveryNanosecond) {
  const auto format = Milliseconds(0, 60000);
  for (const std::int64_t count : {0L, 1L, 500'000L, 59'999'999'999L}) {
    EXPECT_EQ(format.parse(format.write(Duration(count))), Duration(count));
  }
  EXPECT_EQ(format.read(Toml(1e300)), std::nullopt);
}

TEST(Text, RejectsControlCharacters) {
  const auto format = Text(1, 5);
  EXPECT_TRUE(format.in_range("a b"));
  EXPECT_TRUE(format.in_range("\xd0\xb6"));
  for (const auto* text : {"", "a\tb", "a\nb", "123456", "\xff", "\xc0\xaf", "\xc2\x9b"})
    EXPECT_FALSE(format.in_range(text));
}

TEST(EndpointValue, RejectsUnreachableAddresses) {
  const auto format = EndpointValue(1, false);
  for (const auto* text : {"0.0.0.0:1", "[::]:1", "10.0.0.1:0"}) {
    EXPECT_FALSE(format.in_range(*format.parse(text))) << text;
  }
  EXPECT_TRUE(EndpointValue(0, true).in_range(*format.parse("0.0.0.0:0")));
}

}  // namespace
}  // namespace heatherspan
