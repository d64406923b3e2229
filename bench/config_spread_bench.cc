// Compares three ways to bring one change of the document to every node: each node watches the
// store; two readers per zone watch it and the others learn of it by gossip; each node reads the
// store on a timer. Usage: config_spread_bench [SEED]. The same seed gives the same figures.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "base/number_text.h"
#include "base/random.h"
#include "config/config_replicator.h"
#include "config/reader_selection.h"
#include "document/chunk_splitter.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr int kBlocks = 110'000;
constexpr int kChanges = 4;
constexpr std::size_t kZones = 23;
constexpr Duration kStoreCallTime = std::chrono::microseconds(500);  // 2,000 reads/s
constexpr Duration kRoundTrip = milliseconds(70);
constexpr Duration kGossipPeriod = std::chrono::seconds(1);
constexpr Duration kTimer = std::chrono::seconds(5);
constexpr double kWatchSeconds = 30;  // One waiting call of a watch.
constexpr Duration kLimit = std::chrono::seconds(60);

struct Figures {
  Duration last{};  ///< Until the version is in force at the last node.
  std::int64_t store_reads = 0;
  std::int64_t store_bytes = 0;
  std::int64_t peer_messages = 0;
  std::int64_t peer_bytes = 0;
  double idle_reads_per_s = 0;
};

struct Version {
  Manifest manifest;
  std::map<std::string, std::string> chunks;
};

auto MakeVersion(std::uint64_t number) -> Version {
  std::string canonical;
  for (int i = 0; i < kBlocks; ++i) {
    const auto one_way = i == 7'777 ? number : 8;
    canonical +=
        fmt::format("client\t10.{}.{}.0/24\tzone-{}\t{}\n", i / 256, i % 256, i % 23, one_way);
  }
  Version version;
  version.manifest.version = ConfigVersion(number);
  for (auto& chunk : SplitChunks(canonical)) {
    version.manifest.chunks.push_back(chunk.hash);
    version.chunks[chunk.hash] = std::move(chunk.bytes);
  }
  return version;
}

/// The store as a queue that serves one read at a time.
class StoreModel {
 public:
  auto Read(MonotonicTime arrives, std::size_t bytes, Figures& figures) -> MonotonicTime {
    free_ = std::max(free_, arrives) + kStoreCallTime;
    ++figures.store_reads;
    figures.store_bytes += static_cast<std::int64_t>(bytes);
    return free_ + kRoundTrip;
  }

 private:
  MonotonicTime free_;
};

auto Load(ConfigReplicator& spread, const Version& version) -> void {
  spread.OnStoreManifest(version.manifest);
  for (const auto& [hash, bytes] : version.chunks) {
    if (!spread.OnStoreChunk(hash, bytes).ok()) std::abort();
  }
}

auto ChunkBytes(const Version& version, const std::vector<std::string>& hashes) -> std::size_t {
  std::size_t bytes = 0;
  for (const auto& hash : hashes) bytes += version.chunks.at(hash).size();
  return bytes;
}

/// Each node reads manifest and changed chunk itself, from the given times on.
auto ReadByAll(const std::vector<MonotonicTime>& starts, const Version& before,
               const Version& after) -> Figures {
  Figures figures;
  StoreModel store;
  const auto manifest_bytes = after.manifest.Encode().size();
  ConfigReplicator node;
  Load(node, before);
  node.OnStoreManifest(after.manifest);
  const auto changed = node.MissingChunks();
  std::vector<MonotonicTime> chunk_starts;
  chunk_starts.reserve(starts.size());
  for (const auto start : starts) {
    chunk_starts.push_back(store.Read(start, manifest_bytes, figures));
  }
  for (const auto start : chunk_starts) {
    const auto done = store.Read(start, ChunkBytes(after, changed), figures);
    figures.last = std::max(figures.last, done.time_since_epoch());
  }
  return figures;
}

auto EachWatches(std::size_t nodes, const Version& before, const Version& after) -> Figures {
  auto figures = ReadByAll(std::vector<MonotonicTime>(nodes), before, after);
  figures.idle_reads_per_s = static_cast<double>(nodes) / kWatchSeconds;
  return figures;
}

auto EachPolls(std::size_t nodes, const Version& before, const Version& after, Random& random)
    -> Figures {
  std::vector<MonotonicTime> starts;
  for (std::size_t i = 0; i < nodes; ++i) {
    starts.emplace_back(Duration(static_cast<std::int64_t>(random() % kTimer.count())));
  }
  std::sort(starts.begin(), starts.end());
  auto figures = ReadByAll(starts, before, after);
  figures.idle_reads_per_s = static_cast<double>(nodes * std::nano::den) / kTimer.count();
  return figures;
}

/// Readers read the store; the other nodes compare digests with one peer each second in each
/// direction, and pull what is missing with ConfigReplicator.
class GossipModel {
 public:
  GossipModel(std::size_t nodes, const Version& before, const Version& after, Random& random)
      : after_(after), random_(random), nodes_(nodes) {
    for (auto& spread : nodes_) Load(spread, before);
  }

  auto Run() -> Figures {
    ReadStore();
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      const auto phase = Duration(random_() % kGossipPeriod.count());
      events_.emplace(MonotonicTime(figures_.last + phase), Event{i, true});
    }
    while (whole_ < nodes_.size() && events_.begin()->first.time_since_epoch() < kLimit) {
      const auto [now, event] = *events_.begin();
      events_.erase(events_.begin());
      if (event.gossip) {
        Exchange(event.node, now);
        events_.emplace(now + kGossipPeriod, event);
      } else {
        Pull(event.node, now);
      }
    }
    return figures_;
  }

 private:
  struct Event {
    std::size_t node = 0;
    bool gossip = false;
  };

  auto ReadStore() -> void {
    std::vector<ReaderCandidate> live;
    const auto zones = std::min(kZones, std::max<std::size_t>(nodes_.size() - 1, 1));
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      live.push_back({ZoneName(fmt::format("zone-{}", i % zones)), InstanceId(i)});
    }
    StoreModel store;
    for (std::size_t zone = 0; zone < zones; ++zone) {
      for (const auto reader : SelectReaders(live, ZoneName(fmt::format("zone-{}", zone)))) {
        readers_.push_back(reader.value());
      }
    }
    figures_.idle_reads_per_s = static_cast<double>(readers_.size()) / kWatchSeconds;
    std::vector<MonotonicTime> read;
    read.reserve(readers_.size());
    for (std::size_t i = 0; i < readers_.size(); ++i) {
      read.push_back(store.Read(MonotonicTime(), after_.manifest.Encode().size(), figures_));
    }
    for (std::size_t i = 0; i < readers_.size(); ++i) {
      auto& spread = nodes_[readers_[i]];
      spread.OnStoreManifest(after_.manifest);
      const auto missing = spread.MissingChunks();
      const auto done = store.Read(read[i], ChunkBytes(after_, missing), figures_);
      for (const auto& hash : missing) {
        if (!spread.OnStoreChunk(hash, after_.chunks.at(hash)).ok()) std::abort();
      }
      Count(readers_[i], done);
    }
  }

  auto Exchange(std::size_t a, MonotonicTime now) -> void {
    const auto b = (a + 1 + random_() % (nodes_.size() - 1)) % nodes_.size();
    Tell(a, b, now + kRoundTrip / 2);
    Tell(b, a, now + kRoundTrip);
  }

  auto Tell(std::size_t from, std::size_t to, MonotonicTime now) -> void {
    nodes_[to].OnDigest(ConfigSource{InstanceId(from), {}}, nodes_[from].Digest());
    // The end of the call that the digest causes.
    events_.emplace(now + kRoundTrip, Event{to, false});
  }

  auto Pull(std::size_t node, MonotonicTime now) -> void {
    auto& spread = nodes_[node];
    const auto pull = spread.NextPull(now, random_);
    if (!pull.has_value()) return;
    const auto& source = nodes_[pull->source.instance.value()];
    figures_.peer_messages += 2;
    if (const auto* request = std::get_if<ManifestRequest>(&pull->request)) {
      const auto response = source.Answer(*request);
      figures_.peer_bytes += static_cast<std::int64_t>(response.manifest.size());
      if (!spread.OnManifestResponse(response).ok()) std::abort();
    } else {
      const auto response = source.Answer(std::get<ChunkRequest>(pull->request));
      for (const auto& chunk : response.chunks) {
        figures_.peer_bytes += static_cast<std::int64_t>(chunk.size());
      }
      if (!spread.OnChunkResponse(response).ok()) std::abort();
    }
    if (spread.TakeCompletedDocument().has_value()) Count(node, now);
    events_.emplace(now + kRoundTrip, Event{node, false});
  }

  auto Count(std::size_t node, MonotonicTime done) -> void {
    nodes_[node].TakeCompletedDocument();
    ++whole_;
    figures_.last = std::max(figures_.last, done.time_since_epoch());
  }

  const Version& after_;
  Random& random_;
  std::vector<ConfigReplicator> nodes_;
  std::vector<std::size_t> readers_;
  std::multimap<MonotonicTime, Event> events_;
  std::size_t whole_ = 0;
  Figures figures_;
};

auto Print(const std::string& way, std::size_t nodes, const std::vector<Figures>& runs) -> void {
  Duration worst{};
  Duration sum{};
  for (const auto& run : runs) {
    worst = std::max(worst, run.last);
    sum += run.last;
  }
  const auto& one = runs.front();
  const auto ms = [](Duration duration) { return duration.count() / 1'000'000; };
  std::cout << fmt::format("{:<8} {:>4} {:>8} {:>8} {:>8} {:>12} {:>8} {:>12} {:>8.1f}\n", way,
                           nodes, ms(sum) / static_cast<std::int64_t>(runs.size()), ms(worst),
                           one.store_reads, one.store_bytes, one.peer_messages, one.peer_bytes,
                           one.idle_reads_per_s);
}

auto Run(std::uint64_t seed) -> void {
  const auto before = MakeVersion(1);
  const auto after = MakeVersion(2);
  std::cout << fmt::format("seed {}, {} blocks, {} chunks, manifest {} bytes, {} changes\n", seed,
                           kBlocks, after.manifest.chunks.size(), after.manifest.Encode().size(),
                           kChanges);
  std::cout
      << "way     nodes  mean_ms worst_ms st_reads     st_bytes   p_msgs      p_bytes idle_r/s\n";
  for (const std::size_t nodes : {7, 64, 640}) {
    std::vector<Figures> watch;
    std::vector<Figures> gossip;
    std::vector<Figures> poll;
    Random random(seed);
    for (int change = 0; change < kChanges; ++change) {
      watch.push_back(EachWatches(nodes, before, after));
      gossip.push_back(GossipModel(nodes, before, after, random).Run());
      poll.push_back(EachPolls(nodes, before, after, random));
    }
    Print("watch", nodes, watch);
    Print("gossip", nodes, gossip);
    Print("timer", nodes, poll);
  }
}

}  // namespace
}  // namespace heatherspan

auto main(int argc, char** argv) -> int {
  const auto seed = argc > 1 ? heatherspan::ParseNumber<std::uint64_t>(argv[1]) : 1;
  if (!seed.has_value()) {
    std::cerr << "usage: config_spread_bench [SEED]; SEED is a decimal number\n";
    return 2;
  }
  heatherspan::Run(*seed);
  return 0;
}
