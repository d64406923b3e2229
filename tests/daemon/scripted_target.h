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
/// connection. It answers probes as a healthy target. Thread-safe; it runs on the context's thread.
class ScriptedTarget {
 public:
  explicit ScriptedTarget(boost::asio::io_context& context);

  auto endpoint() const -> Endpoint;
  auto SetAnswer(std::string bytes) -> void;
  /// Holds the answers of further requests back until Release.
  auto Hold() -> void;
  auto Release() -> void;
  /// Requests that arrived, probes excluded.
  auto requests() const -> int;

 private:
  struct Connection;

  auto Accept() -> void;
  auto OnRequest(const std::shared_ptr<Connection>& connection) -> void;
  static auto Answer(const std::shared_ptr<Connection>& connection, std::string bytes) -> void;

  boost::asio::io_context& context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  /// Says that the connection ends: a node that keeps it may write its next request before the end
  /// arrives, and then can't tell whether it has run.
  std::string answer_ = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
  bool holding_ = false;
  int requests_ = 0;
  std::vector<std::shared_ptr<Connection>> held_;
};

}  // namespace heatherspan
