#include "base/ip_block.h"

#include <gtest/gtest.h>

#include "base/endpoint.h"

namespace heatherspan {
namespace {

TEST(IpBlock, ContainsExactlyTheAddressesWithItsPrefix) {
  const auto block = IpBlock::Parse("10.1.16.0/20").value();
  EXPECT_TRUE(block.Contains(IpAddress::Parse("10.1.31.255").value()));
  EXPECT_FALSE(block.Contains(IpAddress::Parse("10.1.32.0").value()));
  EXPECT_EQ(block.Text(), "10.1.16.0/20");
}

TEST(IpBlock, RefusesBitsBehindThePrefix) {
  EXPECT_FALSE(IpBlock::Parse("10.1.16.1/20").ok());
  EXPECT_FALSE(IpBlock::Parse("10.1.0.0/33").ok());
  EXPECT_FALSE(IpBlock::Parse("10.1.0.0").ok());
}

TEST(Endpoint, ReadsBackWhatItWrites) {
  for (const auto* text : {"192.0.2.7:8080", "[2001:db8::1]:9"}) {
    EXPECT_EQ(Endpoint::Parse(text).value().Text(), text);
  }
}

TEST(Endpoint, RefusesHostNamesAndBadPorts) {
  for (const auto* text : {"localhost:80", "192.0.2.7", "192.0.2.7:70000", "2001:db8::1:9", ":1"}) {
    EXPECT_FALSE(Endpoint::Parse(text).ok()) << text;
  }
}

}  // namespace
}  // namespace heatherspan
