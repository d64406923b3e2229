#include "net/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <cstdint>
#include <limits>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/http_reader.h"
#include "net/http_server_state.h"
#include "net/http_text.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

// Holds the usual request in one read; larger ones let the buffer grow.
constexpr std::size_t kInitialBufferBytes = std::size_t{4} * 1024;
// Long bodies are read in pieces of this size.
constexpr std::size_t kMaxPieceBytes = std::size_t{64} * 1024;
// Bodies up to this size are copied behind the header, which is cheaper than a second buffer.
constexpr std::size_t kMaxCopiedBodyBytes = std::size_t{16} * 1024;

/// Private methods run on the strand.
class Connection final : public HttpConnection, public std::enable_shared_from_this<Connection> {
 public:
  Connection(Socket socket, Endpoint remote, std::shared_ptr<HttpServerState> server)
      : strand_(socket.get_executor()),
        socket_(std::move(socket)),
        remote_(std::move(remote)),
        server_(std::move(server)),
        limits_(server_->limits.load()),
        reader_(limits_->max_header_bytes, limits_->max_body_bytes),
        buffer_(kInitialBufferBytes) {}

  auto Start() -> void override {
    Post([](Connection& self) {
      self.SetDeadline(self.server_->limits.load()->idle_timeout);
      self.ReadMore();
    });
  }

  auto StartRefused() -> void override {
    Post([](Connection& self) { self.Refuse(503); });
  }

  auto CloseIfIdle() -> void override {
    Post([](Connection& self) {
      if (self.state_ == State::kReading && !self.request_started_) self.CloseNow();
    });
  }

  auto Close() -> void override {
    Post([](Connection& self) { self.CloseNow(); });
  }

  auto Overdue(SteadyClock::time_point now) const -> bool override {
    return deadline_.load(std::memory_order_relaxed) <= now.time_since_epoch().count();
  }

  auto EndOverdue() -> void override {
    Post([](Connection& self) { self.OnOverdue(); });
  }

  auto Respond(HttpResponse response) -> void {
    asio::dispatch(strand_, [self = shared_from_this(), response = std::move(response)]() mutable {
      self->OnResponse(std::move(response));
    });
  }

 private:
  enum class State { kReading, kHandling, kWriting, kLingering, kClosed };

  template <class Action>
  auto Post(Action action) -> void {
    asio::post(strand_, [self = shared_from_this(), action] { action(*self); });
  }

  auto SetDeadline(Duration delay) -> void {
    deadline_.store((SteadyClock::now() + delay).time_since_epoch().count(),
                    std::memory_order_relaxed);
  }

  auto ClearDeadline() -> void {
    deadline_.store(std::numeric_limits<std::int64_t>::max(), std::memory_order_relaxed);
  }

  auto CloseNow() -> void;
  auto OnOverdue() -> void;
  auto EndActive() -> void;
  auto ReadMore() -> void;
  auto OnRead(const ErrorCode& error, std::size_t size) -> void;
  auto ParseInput() -> void;
  auto MakeRoom() -> void;
  auto SendContinue() -> void;
  auto HandOver() -> void;
  auto WatchDisconnect() -> void;
  auto OnWatched() -> void;
  auto Refuse(int status) -> void;
  auto OnResponse(HttpResponse response) -> void;
  auto Write(HttpResponse response) -> void;
  auto OnWritten(const ErrorCode& error) -> void;
  auto Linger() -> void;
  auto DropInput() -> void;

  Strand strand_;
  Socket socket_;
  const Endpoint remote_;
  const std::shared_ptr<HttpServerState> server_;
  const std::shared_ptr<const HttpServer::Limits> limits_;  ///< In force when it was accepted.
  HttpRequestReader reader_;
  std::vector<char> buffer_;
  std::size_t begin_ = 0;  ///< Start of the bytes that are not read yet.
  std::size_t end_ = 0;
  std::string output_;
  std::string body_;
  State state_ = State::kReading;
  bool request_started_ = false;
  bool continue_sent_ = false;
  bool keep_alive_ = true;
  bool http_1_0_ = false;
  bool head_ = false;
  bool watching_ = false;  ///< A wait for input is pending while the request is handled.
  std::shared_ptr<DisconnectHook> disconnect_;
  bool active_ = false;  ///< Counted among the active requests of the server.
  std::atomic<std::int64_t> deadline_{std::numeric_limits<std::int64_t>::max()};
};

/// The right to answer one request, held by the copies of its responder.
class PendingResponse {
 public:
  explicit PendingResponse(std::shared_ptr<Connection> connection)
      : connection_(std::move(connection)) {}

  ~PendingResponse() {
    // A handler that drops its responder must not leave the caller without an answer.
    HttpResponse response;
    response.status = 500;
    response.close = true;
    Answer(std::move(response));
  }

  PendingResponse(const PendingResponse&) = delete;
  auto operator=(const PendingResponse&) -> PendingResponse& = delete;

  auto Answer(HttpResponse response) -> void {
    if (!answered_.exchange(true)) connection_->Respond(std::move(response));
  }

 private:
  const std::shared_ptr<Connection> connection_;
  std::atomic<bool> answered_{false};
};

auto Connection::CloseNow() -> void {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  ClearDeadline();
  EndActive();
  ErrorCode ignored;
  socket_.close(ignored);
  const std::lock_guard lock(server_->mutex);
  server_->connections.erase(shared_from_this());
}

auto Connection::EndActive() -> void {
  if (active_) server_->active.fetch_sub(1);
  active_ = false;
}

auto Connection::OnOverdue() -> void {
  if (!Overdue(SteadyClock::now())) return;
  if (state_ == State::kReading && request_started_) {
    server_->request_timeout.fetch_add(1);
    Refuse(408);
    return;
  }
  CloseNow();
}

auto Connection::ReadMore() -> void {
  MakeRoom();
  socket_.async_read_some(asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
                          [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
                            self->OnRead(error, size);
                          });
}

auto Connection::MakeRoom() -> void {
  if (begin_ == end_) {
    begin_ = end_ = 0;
    if (!request_started_ && buffer_.size() > kInitialBufferBytes) {
      buffer_ = std::vector<char>(kInitialBufferBytes);
    }
  }
  if (end_ < buffer_.size()) return;
  if (begin_ > 0) {
    std::copy(buffer_.begin() + static_cast<std::ptrdiff_t>(begin_), buffer_.end(),
              buffer_.begin());
    end_ -= begin_;
    begin_ = 0;
    return;
  }
  buffer_.resize(buffer_.size() * 2);
}

auto Connection::OnRead(const ErrorCode& error, std::size_t size) -> void {
  if (state_ != State::kReading) return;
  if (error) {
    CloseNow();
    return;
  }
  end_ += size;
  if (end_ == buffer_.size() && end_ < kMaxPieceBytes) buffer_.resize(buffer_.size() * 2);
  ParseInput();
}

auto Connection::ParseInput() -> void {
  begin_ += reader_.Read({buffer_.data() + begin_, end_ - begin_});
  switch (reader_.error()) {
    case HttpReadError::kNone:
      break;
    case HttpReadError::kHeaderTooLarge:
      server_->header_too_large.fetch_add(1);
      Refuse(431);
      return;
    case HttpReadError::kBodyTooLarge:
      server_->body_too_large.fetch_add(1);
      Refuse(413);
      return;
    default:
      server_->bad_request.fetch_add(1);
      Refuse(400);
      return;
  }
  if (reader_.done()) {
    HandOver();
    return;
  }
  // The reader leaves only incomplete lines in the buffer, of a header or between chunks.
  if (end_ - begin_ > limits_->max_header_bytes) {
    server_->header_too_large.fetch_add(1);
    Refuse(431);
    return;
  }
  if (!request_started_) {
    request_started_ = true;
    SetDeadline(server_->limits.load()->request_timeout);
  }
  if (reader_.expects_continue() && !continue_sent_) {
    SendContinue();
    return;
  }
  ReadMore();
}

auto Connection::SendContinue() -> void {
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  continue_sent_ = true;
  asio::async_write(socket_, asio::buffer(kContinue.data(), kContinue.size()),
                    [self = shared_from_this()](const ErrorCode& error, std::size_t /*size*/) {
                      if (self->state_ != State::kReading) return;
                      if (error) {
                        self->CloseNow();
                        return;
                      }
                      self->ReadMore();
                    });
}

auto Connection::HandOver() -> void {
  if (server_->stopped.load()) {
    CloseNow();
    return;
  }
  state_ = State::kHandling;
  ClearDeadline();
  request_started_ = false;
  continue_sent_ = false;
  keep_alive_ = reader_.keep_alive();
  http_1_0_ = reader_.http_1_0();
  auto request = reader_.Take();
  head_ = request.method == "HEAD";
  request.remote = remote_;
  active_ = true;
  server_->active.fetch_add(1);
  if (limits_->watch_disconnects) {
    disconnect_ = std::make_shared<DisconnectHook>();
    request.disconnect = disconnect_;
  }
  auto pending = std::make_shared<PendingResponse>(shared_from_this());
  server_->handler(std::move(request), [pending = std::move(pending)](HttpResponse response) {
    pending->Answer(std::move(response));
  });
  if (disconnect_ != nullptr && state_ == State::kHandling) WatchDisconnect();
}

auto Connection::WatchDisconnect() -> void {
  // Bytes of a pipelined request are in the way of the end of the connection.
  if (begin_ < end_ || watching_) return;
  watching_ = true;
  socket_.async_wait(Socket::wait_read, [self = shared_from_this()](const ErrorCode& /*error*/) {
    self->watching_ = false;
    self->OnWatched();
  });
}

auto Connection::OnWatched() -> void {
  if (state_ != State::kHandling || disconnect_ == nullptr) return;
  char byte = 0;
  const auto size = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) return;
  if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
    WatchDisconnect();
    return;
  }
  const auto hook = std::exchange(disconnect_, nullptr);
  CloseNow();
  if (hook->on_disconnect) hook->on_disconnect();
}

auto Connection::Refuse(int status) -> void {
  HttpResponse response;
  response.status = status;
  response.close = true;
  http_1_0_ = false;
  head_ = false;
  Write(std::move(response));
}

auto Connection::OnResponse(HttpResponse response) -> void {
  if (state_ != State::kHandling) return;
  disconnect_ = nullptr;
  Write(std::move(response));
}

auto Connection::Write(HttpResponse response) -> void {
  state_ = State::kWriting;
  SetDeadline(server_->limits.load()->write_timeout);
  keep_alive_ = keep_alive_ && !response.close && !server_->closing.load();
  const ResponseContext context{.keep_alive = keep_alive_, .http_1_0 = http_1_0_, .head = head_};
  output_.clear();
  AppendResponseHead(response, context, output_);
  body_.clear();
  if (!head_ && StatusHasBody(response.status)) {
    if (response.body.size() <= kMaxCopiedBodyBytes) {
      output_.append(response.body);
    } else {
      body_ = std::move(response.body);
    }
  }
  const std::array buffers{asio::buffer(output_), asio::buffer(body_)};
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](const ErrorCode& error, std::size_t /*size*/) {
                      self->OnWritten(error);
                    });
}

auto Connection::OnWritten(const ErrorCode& error) -> void {
  if (state_ != State::kWriting) return;
  EndActive();
  if (error) {
    CloseNow();
    return;
  }
  if (body_.capacity() > kMaxCopiedBodyBytes) body_ = std::string();
  if (!keep_alive_) {
    Linger();
    return;
  }
  state_ = State::kReading;
  SetDeadline(server_->limits.load()->idle_timeout);
  if (begin_ < end_) {
    ParseInput();
    return;
  }
  if (server_->draining.load()) {
    CloseNow();
    return;
  }
  ReadMore();
}

auto Connection::Linger() -> void {
  state_ = State::kLingering;
  SetDeadline(kLingerTime);
  ErrorCode ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  DropInput();
}

auto Connection::DropInput() -> void {
  socket_.async_read_some(asio::buffer(buffer_),
                          [self = shared_from_this()](const ErrorCode& error, std::size_t) {
                            if (self->state_ != State::kLingering) return;
                            if (error) {
                              self->CloseNow();
                              return;
                            }
                            self->DropInput();
                          });
}

}  // namespace

auto HttpConnection::Create(WorkerPool& workers, int socket, bool is_v6, Endpoint remote,
                            std::shared_ptr<HttpServerState> server)
    -> std::shared_ptr<HttpConnection> {
  const auto protocol = is_v6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4();
  Socket own(asio::make_strand(workers.context()), protocol, socket);
  return std::make_shared<Connection>(std::move(own), std::move(remote), std::move(server));
}

}  // namespace heatherspan
