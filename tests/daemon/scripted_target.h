#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/endpoint.h"

namespace heatherspan {

/// A target that answers each request with the bytes that the test has set, then closes the
/// connection unless it repeats its answers. Its answers to probes are those of a healthy target.
/// Thread-safe; the handlers run on the context's thread.
class ScriptedTarget {
 public:
  explicit ScriptedTarget(boost::asio::io_context& context);

  auto endpoint() const -> Endpoint;
  auto SetAnswer(std::string bytes) -> void;
  /// Delays the answers to further requests until Release.
  auto Hold() -> void;
  auto Release() -> void;
  /// The number of requests received, without probes.
  auto requests() const -> int;
  /// From now on, connections stay open, and the first answer on each comes a second time in front
  /// of the answer to the next request, which runs. Requests must have no body.
  auto RepeatAnswers() -> void;
  /// The number of requests that ran behind a repeated answer.
  auto repeats() const -> int;

 private:
  struct Connection;

  auto Accept() -> void;
  auto OnRequest(const std::shared_ptr<Connection>& connection) -> void;
  auto Read(const std::shared_ptr<Connection>& connection) -> void;
  auto AnswerAndRepeat(const std::shared_ptr<Connection>& connection) -> void;
  static auto Answer(const std::shared_ptr<Connection>& connection, std::string bytes) -> void;

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  /// Announces the close of the connection. Without the announcement, a node may write its next
  /// request to the connection before it learns of the close, and cannot tell whether that request
  /// has run.
  std::string answer_ = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  bool holding_ = false;
  bool repeating_ = false;
  int requests_ = 0;
  int repeats_ = 0;
  std::vector<std::shared_ptr<Connection>> held_;
};

}  // namespace heatherspan
