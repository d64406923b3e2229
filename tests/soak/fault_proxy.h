#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "base/endpoint.h"
#include "base/time.h"

namespace heatherspan {

class WorkerPool;

/// Forwards TCP connections between two loopback endpoints and harms them on request. Thread-safe;
/// changes take effect on the worker, soon after the call.
class FaultProxy {
 public:
  /// What a spoiled target does to its responses.
  enum class Spoil {
    kNone,
    kTruncate,  ///< Ends the connection in the middle of a response.
    kExtra,     ///< Adds a whole response that nobody asked for.
    kRepeat,    ///< Sends the bytes of its last response again, a little later.
    kStray,     ///< Draws what it loses, repeats or adds, and when.
  };

  struct Behaviour {
    bool forward_to_server = true;  ///< Else bytes wait until it is true again.
    bool forward_to_client = true;
    bool refuse = false;  ///< Resets new connections.
    Duration delay = Duration::zero();
    double bytes_per_second = 0;         ///< In each direction of a connection; 0 if not bounded.
    std::set<int> bounded_parties = {};  ///< Empty for all.
    Spoil spoil = Spoil::kNone;
    std::uint64_t seed = 0;  ///< Of what is drawn.
  };

  /// What becomes of the connections of one party.
  enum class Cut {
    kNone,
    kHang,       ///< They carry nothing.
    kReset,      ///< They are reset, and new ones too.
    kRefuseNew,  ///< Those that are open live on, new ones are reset.
  };

  /// Names the party of a client that connects to the proxy.
  using PartyOf = std::function<int(const Endpoint& client, const Endpoint& proxy)>;

  FaultProxy(WorkerPool& workers, const Endpoint& listen, Endpoint server, PartyOf party_of = {});
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  auto operator=(const FaultProxy&) -> FaultProxy& = delete;

  auto SetBehaviour(const Behaviour& behaviour) -> void;
  /// Where connections lead that begin from now on.
  auto SetServer(const Endpoint& server) -> void;
  /// The connections that hung are reset when the cut ends.
  auto SetCut(int party, Cut cut) -> void;
  /// While it is false, the machine refuses connections as it does without the process.
  auto SetListening(bool listening) -> void;
  auto ResetConnections() -> void;
  /// The connections open now carry nothing more; new ones work.
  auto SilenceConnections() -> void;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace heatherspan
