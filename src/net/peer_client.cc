#include "net/peer_client.h"

#include <mutex>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "net/peer_channel.h"
#include "net/worker_pool.h"
#include "wire/authentication_key.h"

namespace heatherspan {

class PeerClient::Impl {
 public:
  Impl(WorkerPool& workers, InstanceId self, std::string&& key)
      : workers_(workers), self_(self), key_(std::make_shared<AuthenticationKey>(key)) {}

  auto Call(const Endpoint& peer, InstanceId expected, PeerRequest&& request, Duration timeout,
            Callback callback) -> void {
    ChannelTo(peer)->Call(expected, request, timeout, std::move(callback));
  }

  auto Stop() -> void {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    for (const auto& [peer, channel] : channels_) channel->Stop();
  }

 private:
  auto ChannelTo(const Endpoint& peer) -> std::shared_ptr<PeerChannel> {
    const std::lock_guard lock(mutex_);
    auto& channel = channels_[peer];
    if (channel == nullptr) {
      channel = std::make_shared<PeerChannel>(workers_, peer, key_, self_);
      if (stopped_) channel->Stop();
    }
    return channel;
  }

  WorkerPool& workers_;
  const InstanceId self_;
  const std::shared_ptr<const AuthenticationKey> key_;
  std::mutex mutex_;
  absl::flat_hash_map<Endpoint, std::shared_ptr<PeerChannel>> channels_;
  bool stopped_ = false;
};

PeerClient::PeerClient(WorkerPool& workers, InstanceId self, std::string key)
    : impl_(std::make_shared<Impl>(workers, self, std::move(key))) {}

PeerClient::~PeerClient() { impl_->Stop(); }

auto PeerClient::Call(const Endpoint& peer, InstanceId expected, PeerRequest request,
                      Duration timeout, Callback callback) -> void {
  impl_->Call(peer, expected, std::move(request), timeout, std::move(callback));
}

auto PeerClient::Stop() -> void { impl_->Stop(); }

}  // namespace heatherspan
