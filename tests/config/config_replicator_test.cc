#include "config/config_replicator.h"

#include <gtest/gtest.h>

#include <chrono>

#include "document/chunk_splitter.h"
#include "document/sha256.h"

namespace heatherspan {
namespace {

using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(1'000)};

struct Version {
  Manifest manifest;
  std::vector<Chunk> chunks;
};

auto MakeVersion(std::uint64_t version, const std::string& mark) -> Version {
  Version made;
  for (int i = 0; i < 20; ++i) {
    const auto bytes = i == 7 ? mark : "chunk " + std::to_string(i);
    made.chunks.push_back(Chunk{Sha256Hex(bytes), bytes});
    made.manifest.chunks.push_back(made.chunks.back().hash);
  }
  made.manifest.version = ConfigVersion(version);
  return made;
}

auto Load(ConfigReplicator& replicator, const Version& version) -> void {
  replicator.OnStoreManifest(version.manifest);
  for (const auto& chunk : version.chunks) {
    EXPECT_TRUE(replicator.OnStoreChunk(chunk.hash, chunk.bytes).ok());
  }
}

class ConfigReplicatorTest : public testing::Test {
 protected:
  /// Answers the node's pulls from `peer` until none is due. Returns the number of transferred
  /// chunks.
  auto PullAll(const ConfigReplicator& peer) -> std::size_t {
    std::size_t transferred = 0;
    while (const auto pull = node_.NextPull(kNow, random_)) {
      if (const auto* request = std::get_if<ManifestRequest>(&pull->request)) {
        EXPECT_TRUE(node_.OnManifestResponse(peer.Answer(*request)).ok());
        continue;
      }
      const auto& request = std::get<ChunkRequest>(pull->request);
      transferred += request.hashes.size();
      EXPECT_TRUE(node_.OnChunkResponse(peer.Answer(request)).ok());
    }
    return transferred;
  }

  const ConfigSource source_{InstanceId(2), {"10.0.0.2", 7'000}};
  ConfigReplicator node_;
  ConfigReplicator peer_;
  Random random_{1};
};

TEST_F(ConfigReplicatorTest, PullsOnlyChangedChunks) {
  Load(peer_, MakeVersion(1, "a"));
  node_.OnDigest(source_, peer_.Digest());
  EXPECT_EQ(PullAll(peer_), 20);
  EXPECT_TRUE(node_.TakeCompletedDocument().has_value());
  EXPECT_FALSE(node_.TakeCompletedDocument().has_value());
  Load(peer_, MakeVersion(2, "b"));
  node_.OnDigest(source_, peer_.Digest());
  EXPECT_EQ(PullAll(peer_), 1);
  EXPECT_EQ(node_.Digest().version, ConfigVersion(2));
  EXPECT_EQ(node_.cache().size(), 20);
}

// Guards against a configuration that comes into force with a missing or altered chunk.
TEST_F(ConfigReplicatorTest, AppliesOnlyCompleteAndVerifiedDocument) {
  const auto version = MakeVersion(1, "a");
  node_.OnStoreManifest(version.manifest);
  for (std::size_t i = 0; i + 1 < version.chunks.size(); ++i) {
    EXPECT_TRUE(node_.OnStoreChunk(version.chunks[i].hash, version.chunks[i].bytes).ok());
  }
  EXPECT_FALSE(node_.TakeCompletedDocument().has_value());
  EXPECT_FALSE(node_.OnStoreChunk(version.chunks[19].hash, "altered").ok());
  EXPECT_FALSE(node_.TakeCompletedDocument().has_value());
  EXPECT_EQ(node_.MissingChunks().size(), 1);
  EXPECT_TRUE(node_.OnStoreChunk(version.chunks[19].hash, version.chunks[19].bytes).ok());
  EXPECT_TRUE(node_.TakeCompletedDocument().has_value());
}

TEST_F(ConfigReplicatorTest, IgnoresLowerVersionsFromEverySource) {
  Load(node_, MakeVersion(5, "a"));
  Load(node_, MakeVersion(4, "b"));
  Load(peer_, MakeVersion(3, "c"));
  node_.OnDigest(source_, peer_.Digest());
  EXPECT_FALSE(node_.NextPull(kNow, random_).has_value());
  EXPECT_EQ(node_.Digest().version, ConfigVersion(5));
}

// Guards against a dead or faulty peer that delays a version that other peers have.
TEST_F(ConfigReplicatorTest, PullsFromAnotherPeerAfterFailure) {
  Load(peer_, MakeVersion(1, "a"));
  const ConfigSource other{InstanceId(3), {"10.0.0.3", 7'000}};
  node_.OnDigest(source_, peer_.Digest());
  ASSERT_TRUE(node_.NextPull(kNow, random_).has_value());
  node_.OnDigest(other, peer_.Digest());
  EXPECT_FALSE(node_.NextPull(kNow + seconds(1), random_).has_value());
  const auto again = node_.NextPull(kNow + ConfigReplicator::kPullTimeout, random_);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(again->source, other);
  EXPECT_FALSE(node_.OnManifestResponse(ManifestResponse{"{}"}).ok());
  EXPECT_FALSE(node_.NextPull(kNow + seconds(9), random_).has_value());
  node_.OnDigest(source_, peer_.Digest());
  PullAll(peer_);
  EXPECT_TRUE(node_.TakeCompletedDocument().has_value());
}

TEST_F(ConfigReplicatorTest, PrefersNewerVersionThatAppearsDuringPull) {
  Load(peer_, MakeVersion(1, "a"));
  node_.OnDigest(source_, peer_.Digest());
  const auto pull = node_.NextPull(kNow, random_);
  ASSERT_TRUE(node_.OnManifestResponse(peer_.Answer(ManifestRequest{})).ok());
  Load(peer_, MakeVersion(2, "b"));
  node_.OnDigest(source_, peer_.Digest());
  PullAll(peer_);
  EXPECT_EQ(node_.Digest().version, ConfigVersion(2));
}

}  // namespace
}  // namespace heatherspan
