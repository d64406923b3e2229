#include "steering/client_map.h"

#include <gtest/gtest.h>

#include <string>

#include "base/random.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

auto Block(const std::string& text, const char* zone) -> ClientBlock {
  return {IpBlock::Parse(text).value(), ZoneName(zone), std::chrono::milliseconds(8)};
}

auto ZoneAt(const ClientMap& map, const std::string& address) -> std::string {
  const auto match = map.Find(IpAddress::Parse(address).value());
  return match.has_value() ? match->zone->value() : "";
}

TEST(ClientMap, FindsTheLongestMatchingBlock) {
  const auto map = ClientMap::Build({Block("10.0.0.0/8", "wide"), Block("10.1.0.0/16", "middle"),
                                     Block("10.1.255.0/24", "narrow"), Block("::/1", "six")});
  EXPECT_EQ(ZoneAt(map, "10.0.255.255"), "wide");
  EXPECT_EQ(ZoneAt(map, "10.1.0.0"), "middle");
  EXPECT_EQ(ZoneAt(map, "10.1.255.255"), "narrow");
  EXPECT_EQ(ZoneAt(map, "10.2.0.0"), "wide");
  EXPECT_EQ(ZoneAt(map, "11.0.0.0"), "six");  // IPv4 addresses are mapped into ::/1.
  EXPECT_EQ(ZoneAt(map, "8000::"), "");
}

// Guards against an overflow after the last address.
TEST(ClientMap, CoversTheEndsOfTheAddressSpace) {
  const auto map = ClientMap::Build({Block("::/0", "all"), Block("ffff:ffff::/32", "last")});
  EXPECT_EQ(ZoneAt(map, "::"), "all");
  EXPECT_EQ(ZoneAt(map, "ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff"), "last");
  EXPECT_EQ(ZoneAt(map, "ffff:fffe::"), "all");
  EXPECT_EQ(ZoneAt(ClientMap(), "10.0.0.1"), "");
}

TEST(ClientMap, UsesTheLastOfEqualBlocks) {
  const auto map = ClientMap::Build({Block("10.0.0.0/8", "old"), Block("10.0.0.0/8", "new")});
  EXPECT_EQ(ZoneAt(map, "10.0.0.1"), "new");
  EXPECT_EQ(ZoneAt(map, "11.0.0.1"), "");
}

// Guards against errors in nested and adjacent blocks, by comparison with a linear scan.
TEST(ClientMap, MatchesALinearScanOfAllBlocks) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    Random random(seed);
    // Few set bits make many blocks nested or adjacent.
    const auto address = [&](bool v6, int length) {
      const auto bits = static_cast<std::uint32_t>(random() & random());
      const auto kept = length == 0 ? 0 : bits & (0xffffffffU << (32 - length));
      if (v6) return fmt::format("2001:db8:{:x}:{:x}::", kept >> 16, kept & 0xffff);
      return fmt::format("{}.{}.{}.{}", kept >> 24, kept >> 16 & 255, kept >> 8 & 255, kept & 255);
    };
    std::vector<ClientBlock> blocks;
    for (int i = 0; i < 300; ++i) {
      const bool v6 = random() % 2 == 0;
      const int length = static_cast<int>(random() % 33);
      const auto text = fmt::format("{}/{}", address(v6, length), v6 ? 32 + length : length);
      blocks.push_back(Block(text, fmt::format("z{}", i % 7).c_str()));
    }
    const auto map = ClientMap::Build(blocks);
    for (int i = 0; i < 2000; ++i) {
      const auto client = IpAddress::Parse(address(random() % 2 == 0, 32)).value();
      const ClientBlock* expected = nullptr;
      for (const auto& block : blocks) {
        if (!block.block.Contains(client)) continue;
        if (expected == nullptr || block.block.length() >= expected->block.length()) {
          expected = &block;
        }
      }
      const auto match = map.Find(client);
      ASSERT_EQ(match.has_value(), expected != nullptr) << client.Text();
      if (expected == nullptr) continue;
      ASSERT_EQ(*match->zone, expected->zone) << client.Text();
    }
  }
}

}  // namespace
}  // namespace heatherspan
