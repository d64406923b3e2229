#include "scripted_target.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace heatherspan {

using boost::asio::ip::tcp;
using Error = boost::system::error_code;

struct ScriptedTarget::Connection {
  explicit Connection(tcp::socket accepted) : socket(std::move(accepted)) {}

  tcp::socket socket;
  std::string input;
  std::string output;
  std::string repeated;  ///< The answer that comes again.
};

ScriptedTarget::ScriptedTarget(boost::asio::io_context& context)
    : context_(context),
      acceptor_(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  Accept();
}

auto ScriptedTarget::endpoint() const -> Endpoint {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

auto ScriptedTarget::SetAnswer(std::string bytes) -> void {
  const std::lock_guard lock(mutex_);
  answer_ = std::move(bytes);
}

auto ScriptedTarget::Hold() -> void {
  const std::lock_guard lock(mutex_);
  holding_ = true;
}

auto ScriptedTarget::Release() -> void {
  const std::lock_guard lock(mutex_);
  holding_ = false;
  for (auto& connection : held_) {
    boost::asio::post(context_, [connection, bytes = answer_] { Answer(connection, bytes); });
  }
  held_.clear();
}

auto ScriptedTarget::requests() const -> int {
  const std::lock_guard lock(mutex_);
  return requests_;
}

auto ScriptedTarget::RepeatAnswers() -> void {
  const std::lock_guard lock(mutex_);
  repeating_ = true;
}

auto ScriptedTarget::repeats() const -> int {
  const std::lock_guard lock(mutex_);
  return repeats_;
}

auto ScriptedTarget::Accept() -> void {
  acceptor_.async_accept([this](Error error, tcp::socket socket) {
    if (error) return;
    Read(std::make_shared<Connection>(std::move(socket)));
    Accept();
  });
}

auto ScriptedTarget::Read(const std::shared_ptr<Connection>& connection) -> void {
  boost::asio::async_read_until(connection->socket, boost::asio::dynamic_buffer(connection->input),
                                "\r\n\r\n",
                                [this, connection](Error failure, std::size_t /*size*/) {
                                  if (!failure) OnRequest(connection);
                                });
}

auto ScriptedTarget::OnRequest(const std::shared_ptr<Connection>& connection) -> void {
  if (connection->input.starts_with("GET /-/")) {
    return Answer(connection,
                  "HTTP/1.1 200 OK\r\nContent-Length: 36\r\nConnection: close\r\n\r\n"
                  R"({"slots":3,"busy":0,"state":"ready"})");
  }
  const std::lock_guard lock(mutex_);
  ++requests_;
  if (repeating_) return AnswerAndRepeat(connection);
  if (holding_) return held_.push_back(connection);
  Answer(connection, answer_);
}

auto ScriptedTarget::AnswerAndRepeat(const std::shared_ptr<Connection>& connection) -> void {
  if (connection->repeated.empty()) {
    connection->output = connection->repeated = answer_;
  } else {
    ++repeats_;
    connection->output = connection->repeated + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  }
  connection->input.clear();
  boost::asio::async_write(connection->socket, boost::asio::buffer(connection->output),
                           [this, connection](Error error, std::size_t /*size*/) {
                             if (!error) Read(connection);
                           });
}

auto ScriptedTarget::Answer(const std::shared_ptr<Connection>& connection, std::string bytes)
    -> void {
  connection->output = std::move(bytes);
  boost::asio::async_write(connection->socket, boost::asio::buffer(connection->output),
                           [connection](Error /*error*/, std::size_t /*size*/) {
                             Error ignored;
                             connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
                           });
}

}  // namespace heatherspan
