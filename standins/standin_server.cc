#include "standins/standin_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "fmt/format.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr auto kReadTimeout = std::chrono::seconds(60);
constexpr auto kWriteTimeout = std::chrono::seconds(30);

auto ToRequest(const http::request<http::string_body>& message) -> HttpRequest {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.body = message.body();
  for (const auto& field : message) {
    request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  return request;
}

auto ToMessage(HttpResponse response, bool keep_alive) -> http::response<http::string_body> {
  http::response<http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  for (const auto& field : response.headers) message.insert(field.name, field.value);
  message.body() = std::move(response.body);
  message.keep_alive(keep_alive && !response.close);
  message.prepare_payload();
  return message;
}

}  // namespace

class StandinServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, Limits limits, Handler handler)
      : acceptor_(context), limits_(limits), handler_(std::move(handler)) {}

  auto Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint>;
  auto Close() -> void;
  auto Resume() -> absl::Status;
  auto Forget(Connection* connection) -> void { connections_.erase(connection); }
  auto connections() const -> std::size_t { return connections_.size(); }
  auto limits() const -> const Limits& { return limits_; }
  auto handler() const -> const Handler& { return handler_; }

 private:
  auto Accept() -> void;

  Tcp::acceptor acceptor_;
  Limits limits_;
  Handler handler_;
  Endpoint endpoint_;
  std::set<Connection*> connections_;
};

/// One connection; at most one exchange is open on it at a time.
class StandinServer::Connection : public Exchange, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Tcp::socket socket, std::weak_ptr<Impl> server)
      : stream_(std::move(socket)), server_(std::move(server)) {}
  ~Connection() override {
    if (const auto server = server_.lock()) server->Forget(this);
  }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  auto Read() -> void;
  auto Respond(HttpResponse response) -> void override;
  auto Drop() -> void override { Close(); }
  auto OnClose(std::function<void()> callback) -> void override { on_close_ = std::move(callback); }
  auto Close() -> void;
  /// Closes the connection and reports the open exchange as abandoned.
  auto Abandon() -> void;

 private:
  auto OnRead(error_code error) -> void;
  auto WatchForClose() -> void;
  auto OnReadable(error_code error) -> void;
  auto OnWritten(error_code error) -> void;

  beast::tcp_stream stream_;
  std::weak_ptr<Impl> server_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  http::response<http::string_body> message_;
  std::function<void()> on_close_;
  bool answering_ = false;  ///< A request was handed out and is not answered.
};

auto StandinServer::Connection::Read() -> void {
  const auto server = server_.lock();
  if (server == nullptr) return Close();
  parser_.emplace();
  parser_->body_limit(server->limits().max_body_bytes);
  stream_.expires_after(kReadTimeout);
  http::async_read(stream_, buffer_, *parser_,
                   [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
                     self->OnRead(error);
                   });
}

auto StandinServer::Connection::OnRead(error_code error) -> void {
  const auto server = server_.lock();
  if (error || server == nullptr) return Close();
  stream_.expires_never();
  answering_ = true;
  WatchForClose();
  server->handler()(ToRequest(parser_->get()), shared_from_this());
}

auto StandinServer::Connection::WatchForClose() -> void {
  stream_.socket().async_wait(
      Tcp::socket::wait_read,
      [self = shared_from_this()](error_code wait_error) { self->OnReadable(wait_error); });
}

auto StandinServer::Connection::OnReadable(error_code error) -> void {
  if (error || !answering_ || !stream_.socket().is_open()) return;
  error_code peek_error;
  char byte = 0;
  stream_.socket().non_blocking(true, peek_error);
  stream_.socket().receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, peek_error);
  // The reactor may report input that was already read; nothing is there to read then.
  if (peek_error == asio::error::would_block) return WatchForClose();
  if (!peek_error) return;
  Abandon();
}

auto StandinServer::Connection::Respond(HttpResponse response) -> void {
  if (!answering_ || !stream_.socket().is_open()) return;
  answering_ = false;
  on_close_ = nullptr;
  error_code ignored;
  stream_.socket().cancel(ignored);
  message_ = ToMessage(std::move(response), parser_->get().keep_alive());
  stream_.expires_after(kWriteTimeout);
  http::async_write(stream_, message_,
                    [self = shared_from_this()](error_code error, std::size_t /*bytes*/) {
                      self->OnWritten(error);
                    });
}

auto StandinServer::Connection::OnWritten(error_code error) -> void {
  if (error || !message_.keep_alive()) return Close();
  Read();
}

auto StandinServer::Connection::Close() -> void {
  answering_ = false;
  on_close_ = nullptr;
  error_code ignored;
  stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
  stream_.close();
}

auto StandinServer::Connection::Abandon() -> void {
  const auto on_close = std::exchange(on_close_, nullptr);
  Close();
  if (on_close) on_close();
}

auto StandinServer::Impl::Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  error_code error;
  const auto address = asio::ip::make_address(endpoint.address, error);
  const Tcp::endpoint local(address, endpoint.port);
  if (!error) acceptor_.open(local.protocol(), error);
  if (!error) acceptor_.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor_.bind(local, error);
  if (!error) acceptor_.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    error_code ignored;
    acceptor_.close(ignored);
    return absl::UnavailableError(
        fmt::format("cannot listen on {}: {}", endpoint.Text(), error.message()));
  }
  endpoint_ = {endpoint.address, acceptor_.local_endpoint().port()};
  Accept();
  return endpoint_;
}

auto StandinServer::Impl::Accept() -> void {
  acceptor_.async_accept([self = shared_from_this()](error_code error, Tcp::socket socket) {
    if (!self->acceptor_.is_open()) return;
    if (!error && self->connections_.size() < self->limits_.max_connections) {
      const auto connection = std::make_shared<Connection>(std::move(socket), self);
      self->connections_.insert(connection.get());
      connection->Read();
    }
    self->Accept();
  });
}

auto StandinServer::Impl::Close() -> void {
  error_code ignored;
  acceptor_.close(ignored);
  const auto connections = connections_;
  for (auto* connection : connections) connection->Abandon();
}

auto StandinServer::Impl::Resume() -> absl::Status {
  return acceptor_.is_open() ? absl::OkStatus() : Listen(endpoint_).status();
}

StandinServer::StandinServer(asio::io_context& context, Limits limits, Handler handler)
    : impl_(std::make_shared<Impl>(context, limits, std::move(handler))) {}

StandinServer::~StandinServer() { impl_->Close(); }

auto StandinServer::Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->Listen(endpoint);
}

auto StandinServer::Suspend() -> void { impl_->Close(); }

auto StandinServer::Resume() -> absl::Status { return impl_->Resume(); }

auto StandinServer::connections() const -> std::size_t { return impl_->connections(); }

}  // namespace heatherspan
