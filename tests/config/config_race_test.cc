#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <utility>

#include "base/number_text.h"
#include "config/config_replicator.h"
#include "config/config_repository.h"
#include "fake_store.h"

namespace heatherspan {
namespace {

constexpr int kNodes = 5;

/// Simulates operators that promote concurrently, and nodes that read the store and gossip. The
/// order of events is random. The store has outages, lost responses, stale watches and resets to
/// older copies.
class ConfigRace {
 public:
  explicit ConfigRace(std::uint64_t seed) : random_(seed) {
    store_.random.seed(seed);
    const auto trial = repository_.PutTrial("document\n", ConfigWrite{"trial", {}, "a", "r", 0});
    trial_ = trial.value().version;
    chunk_ = trial.value().chunks[0];
    store_.Save();
  }

  auto Run() -> void {
    for (int step = 0; step < 2'000; ++step) {
      if (random_() % 100 == 0) store_.down = !store_.down;
      if (random_() % 200 == 0) store_.Save();
      if (random_() % 300 == 0) {
        store_.Restore();
        ++resets_;
      }
      store_.stale_watches = random_() % 4 == 0;
      store_.response_loss = random_() % 3 == 0 ? 0.5 : 0;
      if (random_() % 5 == 0) PromoteConcurrently();
      Read(nodes_[random_() % kNodes]);
      Gossip(nodes_[random_() % kNodes], nodes_[random_() % kNodes]);
      CheckNodes();
    }
  }
  auto promoted_versions() const -> std::size_t { return winners_.size(); }

 private:
  struct Node {
    ConfigReplicator replicator;
    std::uint64_t revision = 0;
    ConfigDigest last;
  };

  /// Two operators promote on the same base version. The second promotion runs between the read and
  /// the write of the first promotion.
  auto PromoteConcurrently() -> void {
    auto& node = nodes_[random_() % kNodes];
    const auto seen = node.replicator.gate().highest_seen().version;
    const auto base = repository_.ReadProduction();
    if (!base.ok()) return;
    const auto version = base->has_value() ? (*base)->version : ConfigVersion(0);
    const auto concurrent = Write(version);
    store_.before_write = [this, concurrent, seen] {
      RecordResult(concurrent, repository_.Promote(trial_, concurrent, seen));
    };
    const auto own = Write(version);
    RecordResult(own, repository_.Promote(trial_, own, seen));
    store_.before_write = nullptr;
  }

  auto Write(ConfigVersion base) -> ConfigWrite {
    return ConfigWrite{"w" + std::to_string(next_write_++), base, "ivo", "race", 0};
  }

  auto RecordResult(const ConfigWrite& write, const absl::StatusOr<Manifest>& result) -> void {
    if (!result.ok()) return;
    EXPECT_EQ(result->write_id, write.write_id);
    // After a reset of the store, a promotion through a node that has not seen the lost versions
    // may reuse a version. The nodes then agree on one of the two manifests by their hashes.
    const auto key = std::pair(result->version, resets_);
    const auto [entry, added] = winners_.try_emplace(key, write.write_id);
    EXPECT_EQ(entry->second, write.write_id) << "version " << result->version.value();
  }

  auto Read(Node& node) -> void {
    const auto manifest = repository_.WaitProduction(node.revision, Duration(0));
    if (!manifest.ok() || !manifest->has_value()) return;
    node.replicator.OnStoreManifest(**manifest);
    EXPECT_TRUE(node.replicator.OnStoreChunk(chunk_, "document\n").ok());
    const auto& in_force = node.replicator.in_force();
    if (!in_force.has_value()) return;
    const auto bytes = [](const std::string&) { return std::string("document\n"); };
    (void)repository_.WriteBack(*in_force, bytes).status();
  }

  auto Gossip(const Node& from, Node& to) -> void {
    if (!from.replicator.in_force().has_value()) return;
    to.replicator.OnDigest(ConfigSource{InstanceId(1), {}}, from.replicator.Digest());
    const auto response = from.replicator.Answer(ManifestRequest{});
    EXPECT_TRUE(to.replicator.OnManifestResponse(response).ok());
    EXPECT_TRUE(to.replicator.OnStoreChunk(chunk_, "document\n").ok());
  }

  auto CheckNodes() -> void {
    for (auto& node : nodes_) {
      EXPECT_FALSE(IsHigher(node.last, node.replicator.Digest()))
          << "a node applied a lower version";
      node.last = node.replicator.Digest();
    }
  }

  Random random_;
  FakeStore store_;
  ConfigRepository<FakeStore> repository_{store_, EnvironmentName("prod")};
  ConfigVersion trial_;
  std::string chunk_;
  std::array<Node, kNodes> nodes_;
  int next_write_ = 0;
  int resets_ = 0;
  std::map<std::pair<ConfigVersion, int>, std::string> winners_;
};

// Guards against two writes that both succeed for one version, and against nodes that apply a lower
// version than before.
TEST(ConfigRace, OneWriteWinsEachVersionAndNoNodeAppliesLowerVersion) {
  const char* fixed = std::getenv("HS_SEED");
  const auto first = fixed == nullptr ? 1 : ParseNumber<std::uint64_t>(fixed).value_or(1);
  const auto last = fixed == nullptr ? 20 : first;
  for (auto seed = first; seed <= last; ++seed) {
    SCOPED_TRACE("HS_SEED=" + std::to_string(seed));
    ConfigRace race(seed);
    race.Run();
    EXPECT_GT(race.promoted_versions(), 10);
    std::cout << "HS_SEED=" << seed << " versions " << race.promoted_versions() << "\n";
  }
}

}  // namespace
}  // namespace heatherspan
