#pragma once

#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "messages/peer_request.h"
#include "messages/peer_response.h"
#include "net/http_result.h"

namespace heatherspan {

class WorkerPool;

/// The end of a call to a peer.
struct PeerResult {
  absl::Status status;  ///< OK exactly if the response is set.
  SendProgress progress = SendProgress::kNothingWritten;
  PeerResponse response;
};

/// Calls peers over one TCP link per peer. Calls share the link by correlation id. When a link
/// closes, its pending calls fail with their progress.
class PeerClient {
 public:
  using Callback = std::function<void(PeerResult)>;

  PeerClient(WorkerPool& workers, InstanceId self, std::string key);
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  auto operator=(const PeerClient&) -> PeerClient& = delete;

  /// Calls back exactly once, on a worker. If the link is connected to an instance other than the
  /// expected one, the call fails with nothing written; an expected id of zero accepts any. A
  /// cancel request has no answer: its call ends with OK and no response once the link has it.
  auto Call(const Endpoint& peer, InstanceId expected, PeerRequest request, Duration timeout,
            Callback callback) -> void;
  auto Stop() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
