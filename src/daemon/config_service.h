#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/random.h"
#include "base/time.h"
#include "config/config_replicator.h"
#include "config/config_repository.h"
#include "daemon/node_identity.h"
#include "document/document.h"
#include "membership/member.h"
#include "messages/config_digest.h"
#include "messages/peer_response.h"
#include "platform/http_store.h"

namespace heatherspan {

class EventLog;
class MetricsRegistry;
class PeerClient;

/// Replicates configurations to this node and provides them to peers. A reader of its zone reads
/// from the store, other nodes pull from peers. Thread-safe; `mutex_` is the config lock in the
/// lock order.
class ConfigService {
 public:
  struct Callbacks {
    /// Called when a configuration has come into force. Called without the lock, one call at a
    /// time.
    std::function<void(const Manifest& manifest, std::shared_ptr<const Document> document)>
        configuration_in_force;
    std::function<std::vector<Member>()> members;
  };

  ConfigService(HttpStore& store, const EnvironmentName& environment, PeerClient& peers,
                NodeIdentity identity, EventLog& log, MetricsRegistry& metrics, Callbacks callbacks,
                std::uint64_t seed);

  auto OnDigest(const ConfigSource& source, const ConfigDigest& digest) -> void;
  /// Starts the next pull from a peer, if one is due.
  auto OnTick() -> void;
  /// Waits for a change at the store if this node is a reader or has just promoted a version;
  /// otherwise returns immediately. Blocks, so only control workers may call it.
  auto RunReaderStep() -> void;

  auto EncodedManifest() const -> std::string;
  auto Chunks(const std::vector<std::string>& hashes) const -> std::vector<std::string>;
  auto Digest() const -> ConfigDigest;
  auto HighestSeen() const -> ConfigVersion;
  /// Seconds since the store last answered this node; -1 before the first answer.
  auto StoreAgeSeconds(MonotonicTime now) const -> double;
  /// Called after this node has promoted a version. The next reader step reads the store, so that
  /// this node need not wait for the watch of a reader.
  auto OnPromoted() -> void { poll_now_ = true; }

 private:
  auto IsReader() const -> bool;
  auto PollStore(Duration wait) -> absl::Status;
  auto LoadFromStore(const Manifest& manifest) -> absl::Status;
  auto WriteBackIfOlder(const Manifest& stored) -> absl::Status;
  auto OnPullEnd(const ConfigPull& pull, const PeerResponse& response) -> void;
  auto ApplyCompletedDocument() -> void;

  ConfigRepository<HttpStore> repository_;
  PeerClient& peers_;
  NodeIdentity identity_;
  EventLog& log_;
  MetricsRegistry& metrics_;
  Callbacks callbacks_;
  SystemClock clock_;
  /// Of the manifest last read from the store. Used by one control worker only.
  std::uint64_t manifest_revision_ = 0;
  std::atomic<bool> poll_now_ = false;

  /// Keeps configuration_in_force calls in order. Acquired before every other lock.
  std::mutex apply_mutex_;
  mutable std::mutex mutex_;
  Random random_;
  ConfigReplicator replicator_;
  std::optional<MonotonicTime> last_store_answer_time_;
};

}  // namespace heatherspan
