#include "daemon/config_service.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "config/reader_selection.h"
#include "document/canonical.h"
#include "net/peer_client.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {
namespace {

// A watch ends well before the 9 s within which a change must be in force, so that a node that
// becomes a reader starts its watch in time.
constexpr Duration kWatchTimeout = std::chrono::seconds(5);

}  // namespace

ConfigService::ConfigService(HttpStore& store, const EnvironmentName& environment,
                             PeerClient& peers, NodeIdentity identity, EventLog& log,
                             MetricsRegistry& metrics, Callbacks callbacks, std::uint64_t seed)
    : repository_(store, environment),
      peers_(peers),
      identity_(std::move(identity)),
      log_(log),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      random_(seed) {}

auto ConfigService::OnDigest(const ConfigSource& source, const ConfigDigest& digest) -> void {
  const std::lock_guard lock(mutex_);
  replicator_.OnDigest(source, digest);
}

auto ConfigService::OnTick() -> void {
  std::optional<ConfigPull> pull;
  {
    const std::lock_guard lock(mutex_);
    pull = replicator_.NextPull(clock_.Now(), random_);
  }
  if (!pull.has_value()) return;
  peers_.Call(pull->source.peer_endpoint, pull->source.instance, pull->request,
              ConfigReplicator::kPullTimeout, [this, pull = *pull](const PeerResult& result) {
                if (!result.status.ok()) {
                  const std::lock_guard lock(mutex_);
                  replicator_.OnPullFailed();
                  return;
                }
                OnPullEnd(pull, result.response);
              });
}

auto ConfigService::OnPullEnd(const ConfigPull& pull, const PeerResponse& response) -> void {
  absl::Status status =
      absl::InternalError("the peer answered with a message of an unexpected type");
  {
    const std::lock_guard lock(mutex_);
    if (const auto* manifest = std::get_if<ManifestResponse>(&response); manifest != nullptr) {
      status = replicator_.OnManifestResponse(*manifest);
    } else if (const auto* chunks = std::get_if<ChunkResponse>(&response); chunks != nullptr) {
      status = replicator_.OnChunkResponse(*chunks);
    } else {
      replicator_.OnPullFailed();
    }
  }
  if (!status.ok()) {
    log_.Write(
        LogLevel::kWarning, "config-pull-failed",
        {{"peer", pull.source.peer_endpoint.Text()}, {"error", std::string(status.message())}});
  }
  ApplyCompletedDocument();
}

auto ConfigService::ApplyCompletedDocument() -> void {
  const std::lock_guard apply_lock(apply_mutex_);
  std::optional<std::string> canonical;
  std::optional<Manifest> manifest;
  {
    const std::lock_guard lock(mutex_);
    canonical = replicator_.TakeCompletedDocument();
    manifest = replicator_.in_force();
  }
  if (!canonical.has_value() || !manifest.has_value()) return;
  auto document = ReadCanonical(*canonical);
  if (!document.ok()) {
    // The document was checked before its promotion, so only a newer version of the program can
    // have written it.
    log_.Write(LogLevel::kError, "config-unreadable",
               {{"config_version", manifest->version.value()},
                {"error", std::string(document.status().message())}});
    return;
  }
  metrics_.Increment(Metric::kConfigChanges, {});
  metrics_.Set(Metric::kConfigVersion, {}, static_cast<double>(manifest->version.value()));
  log_.Write(LogLevel::kInfo, "config-in-force",
             {{"config_version", manifest->version.value()}, {"author", manifest->author}});
  callbacks_.configuration_in_force(*manifest,
                                    std::make_shared<const Document>(*std::move(document)));
}

auto ConfigService::IsReader() const -> bool {
  std::vector<ReaderCandidate> live;
  for (const auto& member : callbacks_.members()) {
    if (member.state == MemberState::kAlive) live.push_back({member.zone, member.instance});
  }
  const auto readers = SelectReaders(live, identity_.zone);
  return std::find(readers.begin(), readers.end(), identity_.instance) != readers.end();
}

auto ConfigService::RunReaderStep() -> void {
  const bool poll_now = poll_now_.exchange(false);
  if (!poll_now && !IsReader()) return;
  const auto status = PollStore(kWatchTimeout);
  metrics_.Increment(Metric::kStoreCalls,
                     {{"kind", "watch"}, {"result", status.ok() ? "ok" : "error"}});
  if (!status.ok()) {
    log_.Write(LogLevel::kDebug, "store-watch-failed", {{"error", std::string(status.message())}});
  }
}

auto ConfigService::PollStore(Duration wait) -> absl::Status {
  auto manifest = repository_.WaitProduction(manifest_revision_, wait);
  if (!manifest.ok()) return manifest.status();
  {
    const std::lock_guard lock(mutex_);
    last_store_answer_time_ = clock_.Now();
  }
  if (!manifest->has_value()) return absl::OkStatus();
  if (auto status = WriteBackIfOlder(**manifest); !status.ok()) return status;
  auto status = LoadFromStore(**manifest);
  // The next step then reads the manifest again.
  if (!status.ok()) manifest_revision_ = 0;
  return status;
}

auto ConfigService::WriteBackIfOlder(const Manifest& stored) -> absl::Status {
  std::optional<Manifest> in_force;
  {
    const std::lock_guard lock(mutex_);
    in_force = replicator_.in_force();
  }
  if (!in_force.has_value() || !IsHigher(in_force->Digest(), stored.Digest())) {
    return absl::OkStatus();
  }
  log_.Write(
      LogLevel::kWarning, "store-older",
      {{"store_version", stored.version.value()}, {"config_version", in_force->version.value()}});
  const auto written = repository_.WriteBack(*in_force, [this](const std::string& hash) {
    const std::lock_guard lock(mutex_);
    const auto chunk = replicator_.cache().Find(hash);
    return chunk == nullptr ? std::string() : *chunk;
  });
  return written.status();
}

auto ConfigService::LoadFromStore(const Manifest& manifest) -> absl::Status {
  std::vector<std::string> missing;
  {
    const std::lock_guard lock(mutex_);
    replicator_.OnStoreManifest(manifest);
    missing = replicator_.MissingChunks();
  }
  for (const auto& hash : missing) {
    auto chunk = repository_.ReadChunk(hash);
    if (!chunk.ok()) return chunk.status();
    const std::lock_guard lock(mutex_);
    auto status = replicator_.OnStoreChunk(hash, *std::move(chunk));
    if (!status.ok()) return status;
  }
  ApplyCompletedDocument();
  return absl::OkStatus();
}

auto ConfigService::EncodedManifest() const -> std::string {
  const std::lock_guard lock(mutex_);
  return replicator_.Answer(ManifestRequest{}).manifest;
}

auto ConfigService::Chunks(const std::vector<std::string>& hashes) const
    -> std::vector<std::string> {
  const std::lock_guard lock(mutex_);
  return replicator_.Answer(ChunkRequest{hashes}).chunks;
}

auto ConfigService::Digest() const -> ConfigDigest {
  const std::lock_guard lock(mutex_);
  return replicator_.Digest();
}

auto ConfigService::StoreAgeSeconds(MonotonicTime now) const -> double {
  const std::lock_guard lock(mutex_);
  if (!last_store_answer_time_.has_value()) return -1;
  return std::chrono::duration<double>(now - *last_store_answer_time_).count();
}

auto ConfigService::HighestSeen() const -> ConfigVersion {
  const std::lock_guard lock(mutex_);
  return replicator_.gate().highest_seen().version;
}

}  // namespace heatherspan
