#include "config/manifest.h"

#include <gtest/gtest.h>

#include "config/config_keys.h"
#include "config/reader_selection.h"
#include "config/version_gate.h"
#include "document/sha256.h"

namespace heatherspan {
namespace {

auto MakeManifest() -> Manifest {
  return Manifest{
      ConfigVersion(7),         "w-1",           {Sha256Hex("a"), Sha256Hex("b")}, "ivo", 1'234,
      "raise the cap of sofia", ConfigVersion(6)};
}

TEST(Manifest, DecodesWhatItEncodes) {
  EXPECT_EQ(Manifest::Decode(MakeManifest().Encode()).value(), MakeManifest());
}

// Guards against an altered or truncated manifest that comes into force.
TEST(Manifest, RejectsAlteredText) {
  const auto text = MakeManifest().Encode();
  for (std::size_t i = 0; i < text.size(); ++i) {
    auto altered = text;
    altered[i] = altered[i] == '0' ? '1' : '0';
    EXPECT_FALSE(Manifest::Decode(altered).ok()) << i;
    EXPECT_FALSE(Manifest::Decode(text.substr(0, i)).ok()) << i;
  }
  EXPECT_FALSE(Manifest::Decode(std::string(kMaxManifestBytes + 1, ' ')).ok());
}

TEST(ConfigKeys, SortsHistoryByVersion) {
  const ConfigKeys keys(EnvironmentName("prod"));
  EXPECT_EQ(keys.Production(), "hs/prod/manifest/production");
  EXPECT_EQ(keys.History(ConfigVersion(42)), "hs/prod/history/00000000000000000042");
}

TEST(VersionGate, NeverAppliesALowerVersion) {
  VersionGate gate;
  gate.OnApplied({ConfigVersion(5), "b"});
  gate.OnApplied({ConfigVersion(4), "c"});
  gate.OnApplied({ConfigVersion(5), "a"});
  EXPECT_EQ(gate.in_force().manifest_hash, "b");
  EXPECT_TRUE(gate.OnSeen({ConfigVersion(9), "a"}));
  EXPECT_FALSE(gate.OnSeen({ConfigVersion(8), "z"}));
  EXPECT_EQ(gate.highest_seen().version, ConfigVersion(9));
  EXPECT_EQ(gate.in_force().version, ConfigVersion(5));
}

// Guards against a lost reader that changes the selection of the other readers.
TEST(SelectReaders, KeepsOtherReadersWhenOneLeaves) {
  std::vector<ReaderCandidate> live;
  for (std::uint64_t i = 1; i <= 28; ++i) live.push_back({ZoneName("sofia-1"), InstanceId(i)});
  live.push_back({ZoneName("sofia-2"), InstanceId(99)});
  const auto before = SelectReaders(live, ZoneName("sofia-1"));
  ASSERT_EQ(before.size(), kReadersPerZone);
  std::erase_if(live, [&](const auto& candidate) { return candidate.instance == before[0]; });
  EXPECT_EQ(SelectReaders(live, ZoneName("sofia-1"))[0], before[1]);
  EXPECT_EQ(SelectReaders(live, ZoneName("sofia-2")).size(), 1);
}

}  // namespace
}  // namespace heatherspan
