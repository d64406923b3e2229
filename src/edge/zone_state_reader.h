#pragma once

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "edge/platform_ports.h"
#include "gateway/store_reader_role.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Reads the state of a starting process from another entry VM of its zone, so that a restart costs
/// the store one short call instead of a listing of many pages from far away. The store's list of
/// entry VMs names the peers.
template <GatewayStore Store, StoreFormat Formats>
class ZoneStateReader {
 public:
  /// A store that has not answered the short call by then may be silent.
  static constexpr Duration kStoreTimeout = std::chrono::milliseconds(400);
  /// A listing of 1 MB takes 0.8 s on a link of 10 Mbit/s. After this time the store is listed.
  static constexpr Duration kPeersTimeout = std::chrono::milliseconds(1200);
  static constexpr std::size_t kMaxPeers = 2;

  struct Location {
    NodeName node;
    ZoneName zone;
  };
  using OnState = std::function<void(const Endpoint& peer, StorePage state)>;
  using OnDone = std::function<void()>;

  /// `on_done` is called once, after `on_state` or without a state.
  ZoneStateReader(HttpClient& client, Store& store, WorkerPool& workers, EventLog& log,
                  Location location, std::uint64_t random_seed, OnState on_state, OnDone on_done)
      : client_(client),
        store_(store),
        workers_(workers),
        log_(log),
        location_(std::move(location)),
        random_(random_seed),
        on_state_(std::move(on_state)),
        on_done_(std::move(on_done)) {}

  auto Start() -> void {
    timer_ = workers_.RunAfter(kStoreTimeout, [this] { End(); });
    store_.ListUnder(Formats::EntryVmPrefix(), [this](const absl::StatusOr<StorePage>& page) {
      if (ended_) return;
      timer_ = workers_.RunAfter(kPeersTimeout, [this] { End(); });
      if (page.ok()) FindPeers(*page);
      AskNext();
    });
  }
  /// No state has come, and none is on its way.
  auto ended() const -> bool { return ended_; }

 private:
  auto FindPeers(const StorePage& page) -> void {
    for (const auto& item : page.items) {
      const auto name = Formats::EntryVmOf(item.key);
      if (!name.has_value() || !item.value.has_value() || *name == location_.node) continue;
      const auto vm = Formats::ReadEntryVm(*name, *item.value);
      if (vm.ok() && vm->zone == location_.zone && !vm->peer_endpoint.address.empty()) {
        peers_.push_back(vm->peer_endpoint);
      }
    }
    std::shuffle(peers_.begin(), peers_.end(), random_);
    peers_.resize(std::min(peers_.size(), kMaxPeers));
  }

  auto AskNext() -> void {
    if (peers_.empty()) {
      End();
      return;
    }
    const auto peer = peers_.back();
    peers_.pop_back();
    Store(client_, peer).List("", [this, peer](absl::StatusOr<StorePage> state) {
      if (ended_) return;
      if (state.ok() && !state->more && state->age <= StoreReaderRole::kMaxReaderAge) {
        on_state_(peer, *std::move(state));
        End();
        return;
      }
      log_.Write(LogLevel::kInfo, "zone-state-unavailable",
                 {{"peer", peer.Text()},
                  {"error", state.ok() ? "the state is incomplete or too old"
                                       : std::string(state.status().message())}});
      AskNext();
    });
  }

  auto End() -> void {
    if (ended_) return;
    ended_ = true;
    timer_.reset();
    on_done_();
  }

  HttpClient& client_;
  Store& store_;
  WorkerPool& workers_;
  EventLog& log_;
  const Location location_;
  Random random_;
  const OnState on_state_;
  const OnDone on_done_;
  std::vector<Endpoint> peers_;
  std::shared_ptr<WorkerPool::Timer> timer_;
  bool ended_ = false;
};

}  // namespace heatherspan
