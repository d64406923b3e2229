#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "fmt/format.h"
#include "raw_socket.h"

namespace heatherspan {

/// The peers' port of an entry VM that sends exactly the bytes that a test asks for. A request to
/// it counts as run as soon as it is read.
class ScriptedPeer {
 public:
  /// Returns the answer to a request with this id; an answer without an
  /// end, or with a body, is followed by the end of the connection.
  using Script = std::function<std::string(const std::string& id)>;

  explicit ScriptedPeer(Script script)
      : script_(std::move(script)), acceptor_([this] {
          while (!ended_) {
            threads_.emplace_back([this, socket = listener_.Accept()] { Serve(socket); });
          }
        }) {}
  ~ScriptedPeer() {
    ended_ = true;
    RawSocket::Connect(listener_.endpoint()).Close();
    acceptor_.join();
    for (auto& thread : threads_) thread.join();
  }
  ScriptedPeer(const ScriptedPeer&) = delete;
  auto operator=(const ScriptedPeer&) -> ScriptedPeer& = delete;

  /// Its entry in the store.
  auto Announcement() const -> std::string {
    return fmt::format(R"({{"zone":"a","region":"r","callers":"127.0.0.1:1","peers":"{}"}})",
                       listener_.endpoint().Text());
  }
  /// The heads of the requests with this id.
  auto Requests(const std::string& id) const -> std::vector<std::string> {
    const std::lock_guard lock(mutex_);
    std::vector<std::string> found;
    for (const auto& head : heads_) {
      if (IdIn(head) == id) found.push_back(head);
    }
    return found;
  }

  /// An answer of an entry VM whose target has run the request.
  static auto Served(const std::string& id) -> std::string {
    return "HTTP/1.1 200 OK\r\nHeatherspan-Relay-Verdict: ran\r\n"
           "Heatherspan-Response-Signature: sig\r\nContent-Length: 0\r\n"
           "Heatherspan-Request-Id: " +
           id + "\r\n\r\n";
  }

 private:
  static auto IdIn(const std::string& head) -> std::string {
    constexpr std::string_view kName = "Heatherspan-Request-Id: ";
    const auto start = head.find(kName);
    if (start == std::string::npos) return "";
    const auto value = start + kName.size();
    return head.substr(value, head.find("\r\n", value) - value);
  }

  auto Serve(const RawSocket& socket) -> void {
    while (true) {
      const auto head = socket.ReadUntil("\r\n\r\n");
      if (ended_ || head.find(" /heatherspan/relay/") == std::string::npos) return;
      {
        const std::lock_guard lock(mutex_);
        heads_.push_back(head);
      }
      const auto answer = script_(IdIn(head));
      // Half an answer ends with the connection.
      if (!socket.Send(answer) || !answer.ends_with("\r\n\r\n")) return;
    }
  }

  const Script script_;
  RawListener listener_;
  mutable std::mutex mutex_;
  std::vector<std::string> heads_;
  std::atomic<bool> ended_ = false;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

}  // namespace heatherspan
