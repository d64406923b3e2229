#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "raw_socket.h"

namespace heatherspan {

/// A target of which the test decides each byte, with a ledger of what it ran.
class ScriptedPeer {
 public:
  enum class Input { kRequest, kEnded, kNothing };

  explicit ScriptedPeer(const RawListener& listener);
  ~ScriptedPeer();
  ScriptedPeer(const ScriptedPeer&) = delete;
  auto operator=(const ScriptedPeer&) -> ScriptedPeer& = delete;

  auto endpoint() const -> const Endpoint& { return listener_.endpoint(); }
  auto socket() -> RawSocket& { return socket_; }
  /// Number of connections on which a request has come.
  auto connections() const -> int { return connections_; }

  /// Reads the first byte of a request, on the present connection or on a new one, which takes its
  /// place. Ends also when the sender has told the end of its exchange.
  auto AwaitRequest() -> Input { return Await(socket_.descriptor()); }
  /// The same, only on a new connection.
  auto AwaitNewConnection() -> Input { return Await(-1); }
  /// Reads the rest of a request's head; returns its id, or nothing if it breaks off.
  auto ReadHead() -> std::string;
  auto Run(const std::string& id) -> void { ++runs_[id]; }
  auto runs(const std::string& id) const -> int;
  auto arrivals(const std::string& id) const -> int;
  /// Sends and waits until the sender has closed the connection.
  auto SendUntilClosed(std::string_view bytes) -> void;

  /// Called by the sender when its exchange has ended, on any thread.
  auto NotifyEnd() const -> void;
  auto ForgetEnd() const -> void;

 private:
  auto Await(int present) -> Input;

  const RawListener& listener_;
  RawSocket socket_{-1};
  bool is_new_ = false;  ///< No request has come on the socket.
  int connections_ = 0;
  int end_descriptor_;
  std::map<std::string, int> arrivals_;
  std::map<std::string, int> runs_;
};

}  // namespace heatherspan
