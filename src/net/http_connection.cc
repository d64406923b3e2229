#include "net/http_connection.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/connection_deadlines.h"
#include "net/connection_input.h"
#include "net/connection_memory.h"
#include "net/connection_use.h"
#include "net/header_lookup.h"
#include "net/http_reader.h"
#include "net/http_server_state.h"
#include "net/http_text.h"
#include "net/input_refusal.h"
#include "net/memory_account.h"
#include "net/peer_socket.h"
#include "net/pending_response.h"
#include "net/server_exchange.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

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
        memory_(
            server_->memory, ConnectionInput::kInitialBytes,
            [this] {
              PostGiveWay([](Connection& self) {
                if (self.memory_.request_gave_way()) self.RefuseForMemory();
              });
            },
            [this] {
              PostGiveWay([](Connection& self) {
                if (self.memory_.answer_gave_way()) self.CloseForMemory();
              });
            }),
        input_(memory_) {}

  auto Start() -> void override {
    Post([](Connection& self) {
      self.deadlines_.SetRead(self.server_->limits.load()->idle_timeout);
      self.ReadMore();
    });
  }

  auto StartRefused() -> void override {
    Post([](Connection& self) {
      self.Report(InputRefusal::Cause::kTooManyConnections, 503);
      self.Refuse(503);
    });
  }

  auto CloseIfIdle() -> void override {
    Post([](Connection& self) {
      if (self.exchanges_.empty() && !self.request_started_) self.CloseNow();
    });
  }

  auto Close() -> void override {
    Post([](Connection& self) { self.CloseNow(); });
  }

  auto Overdue(SteadyClock::time_point now) const -> bool override {
    return deadlines_.Overdue(now);
  }

  auto EndOverdue() -> void override {
    Post([](Connection& self) { self.OnOverdue(); });
  }

  auto use() const -> ConnectionUse override { return use_.load(std::memory_order_relaxed); }

  auto GiveWay(ConnectionUse use) -> void override {
    Post([use](Connection& self) {
      if (self.use() == use) self.CloseNow();
    });
  }

  auto Respond(const std::shared_ptr<ServerExchange>& exchange, HttpResponse response) -> void {
    asio::dispatch(strand_,
                   [self = shared_from_this(), exchange, response = std::move(response)]() mutable {
                     self->OnResponse(*exchange, std::move(response));
                   });
  }

 private:
  enum class State { kOpen, kLingering, kClosed };

  template <class Action>
  auto Post(Action action) -> void {
    asio::post(strand_, [self = shared_from_this(), action] { action(*self); });
  }

  /// The account calls, perhaps while the connection is being destroyed.
  template <class Action>
  auto PostGiveWay(Action action) -> void {
    auto self = weak_from_this().lock();
    if (self == nullptr) return;
    asio::post(strand_, [self = std::move(self), action] {
      if (self->state_ == State::kOpen) action(*self);
    });
  }

  auto CloseNow() -> void;
  auto Abort() -> void;
  auto OnOverdue() -> void;
  auto HasCallerClosed() -> bool;
  auto HasUnanswered() const -> bool;
  auto MayHandOver() const -> bool;
  auto ReadMore() -> void;
  auto OnRead(const ErrorCode& error, std::size_t size) -> void;
  auto OnEndOfInput(const ErrorCode& error) -> void;
  auto ParseInput() -> void;
  auto FollowLimits() -> void;
  auto OnIncompleteRequest() -> void;
  auto SetRequestDeadline() -> void;
  auto RefuseInput(HttpReadError error, const std::string& text) -> void;
  auto RefuseTooLarge(InputRefusal::Cause cause, int status, const std::string& text) -> void;
  auto RefuseForMemory() -> void;
  /// Closes the connection of a caller who does not take what it has asked for.
  auto CloseForMemory() -> void;
  auto Report(InputRefusal::Cause cause, int status, std::string error = {}) const -> void;
  auto SendContinueIfDue() -> void;
  auto HandOver() -> void;
  auto Refuse(int status, std::vector<HeaderField> headers = {}) -> void;
  auto OnResponse(ServerExchange& exchange, HttpResponse response) -> void;
  auto HoldAnswer(ServerExchange& exchange) -> void;
  auto HoldQueue() -> bool;
  auto ReleaseQueue() -> void;
  auto WriteNext() -> void;
  auto OnWritten(const ErrorCode& error, bool is_last) -> void;
  auto Linger() -> void;

  Strand strand_;
  Socket socket_;
  const Endpoint remote_;
  const std::shared_ptr<HttpServerState> server_;
  /// In force when the present request began.
  std::shared_ptr<const HttpServer::Limits> limits_;
  HttpRequestReader reader_;
  ConnectionMemory memory_;
  ConnectionInput input_;
  std::string output_;
  std::string body_;
  State state_ = State::kOpen;
  /// Requests without a complete response, in their order.
  std::deque<std::shared_ptr<ServerExchange>> exchanges_;
  std::size_t used_bytes_ = 0;  ///< Of the message that is being read.
  std::size_t handled_requests_ = 0;
  bool reading_ = false;  ///< A read of the socket is pending.
  bool writing_ = false;  ///< A write to the socket is pending.
  bool request_started_ = false;
  std::size_t body_progress_ = 0;  ///< 0 until the head is complete.
  bool continue_sent_ = false;
  /// No further request is handed over: the last response closes the connection.
  bool closing_ = false;
  bool input_ended_ = false;  ///< The caller has closed its side.
  ConnectionDeadlines deadlines_;
  std::atomic<ConnectionUse> use_{ConnectionUse::NeverUsed(SteadyClock::now())};
};

auto Connection::CloseNow() -> void {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  deadlines_.Clear();
  server_->active.fetch_sub(exchanges_.size());
  exchanges_.clear();
  // The connection may live on in handlers that are pending.
  reader_.Discard();
  memory_.DropRequest();
  memory_.EndAnswer();
  memory_.HoldQueue(0);
  ErrorCode ignored;
  socket_.close(ignored);
  const std::lock_guard lock(server_->mutex);
  server_->connections.erase(shared_from_this());
}

/// Closes the connection of a caller who can't get the responses, and ends its requests.
auto Connection::Abort() -> void {
  std::vector<std::shared_ptr<DisconnectHook>> hooks;
  for (const auto& exchange : exchanges_) {
    if (exchange->disconnect != nullptr) hooks.push_back(std::move(exchange->disconnect));
  }
  CloseNow();
  for (const auto& hook : hooks) {
    if (hook->on_disconnect) hook->on_disconnect();
  }
}

auto Connection::OnOverdue() -> void {
  const auto now = SteadyClock::now();
  if (deadlines_.WriteOverdue(now)) {
    Abort();
  } else if (deadlines_.ReadOverdue(now) && state_ == State::kOpen && request_started_) {
    server_->request_timeout.fetch_add(1);
    Report(InputRefusal::Cause::kRequestTimeout, 408);
    Refuse(408);
  } else if (deadlines_.ReadOverdue(now)) {
    CloseNow();
  }
}

/// The end of the connection is read behind all bytes before it, and late while this process is
/// busy.
auto Connection::HasCallerClosed() -> bool {
  return state_ != State::kOpen || input_ended_ || HasPeerClosed(socket_.native_handle());
}

auto Connection::HasUnanswered() const -> bool {
  return std::any_of(exchanges_.begin(), exchanges_.end(),
                     [](const auto& exchange) { return !exchange->response.has_value(); });
}

auto Connection::MayHandOver() const -> bool {
  return state_ == State::kOpen && !closing_ && exchanges_.size() < limits_->max_pipelined;
}

/// Reads also while requests are handled, so that the end of the connection is seen. What a caller
/// sends ahead is bounded.
auto Connection::ReadMore() -> void {
  if (reading_ || state_ == State::kClosed || input_ended_) return;
  // Nothing that follows the last request is read.
  if (closing_ || state_ == State::kLingering) input_.Clear();
  if (input_.size() >= ConnectionInput::kMaxPieceBytes && !MayHandOver()) return;
  const auto space = input_.Space(!request_started_);
  reading_ = true;
  socket_.async_read_some(asio::buffer(space.data(), space.size()),
                          [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
                            self->OnRead(error, size);
                          });
}

auto Connection::OnRead(const ErrorCode& error, std::size_t size) -> void {
  reading_ = false;
  if (state_ == State::kClosed) return;
  if (error) {
    OnEndOfInput(error);
    return;
  }
  input_.OnRead(size);
  ParseInput();
}

auto Connection::OnEndOfInput(const ErrorCode& error) -> void {
  input_ended_ = true;
  const bool may_answer = error == asio::error::eof && state_ == State::kOpen &&
                          !exchanges_.empty() && !(limits_->watch_disconnects && HasUnanswered());
  if (!may_answer) {
    Abort();
    return;
  }
  // The caller may have closed only its own side.
  closing_ = true;
}

auto Connection::ParseInput() -> void {
  while (!input_.empty() && MayHandOver()) {
    if (!request_started_) FollowLimits();
    const auto used = reader_.Read(input_.unused());
    input_.Use(used);
    used_bytes_ += used;
    if (reader_.error() != HttpReadError::kNone) {
      RefuseInput(reader_.error(), reader_.error_text());
    } else if (reader_.done()) {
      HandOver();
    } else {
      OnIncompleteRequest();
      break;
    }
  }
  ReadMore();
}

auto Connection::FollowLimits() -> void {
  auto limits = server_->limits.load();
  if (limits == limits_) return;
  limits_ = std::move(limits);
  reader_.SetLimits(limits_->max_header_bytes, limits_->max_body_bytes);
}

auto Connection::RefuseInput(HttpReadError error, const std::string& text) -> void {
  switch (error) {
    case HttpReadError::kHeaderTooLarge:
      server_->header_too_large.fetch_add(1);
      RefuseTooLarge(InputRefusal::Cause::kHeaderTooLarge, 431, text);
      return;
    case HttpReadError::kBodyTooLarge:
      server_->body_too_large.fetch_add(1);
      RefuseTooLarge(InputRefusal::Cause::kBodyTooLarge, 413, text);
      return;
    default:
      server_->bad_request.fetch_add(1);
      Report(InputRefusal::Cause::kBadRequest, 400, text);
      Refuse(400);
  }
}

auto Connection::RefuseTooLarge(InputRefusal::Cause cause, int status, const std::string& text)
    -> void {
  Report(cause, limits_->provisional ? 503 : status, text);
  if (limits_->provisional) {
    Refuse(503, {{"Retry-After", "0.5"}});
  } else {
    Refuse(status);
  }
}

auto Connection::OnIncompleteRequest() -> void {
  // The reader leaves only incomplete lines in the buffer, of a header or between chunks.
  if (input_.size() > limits_->max_header_bytes) {
    RefuseInput(HttpReadError::kHeaderTooLarge, "incomplete line beyond the limit of the header");
    return;
  }
  SetRequestDeadline();
  const auto header = reader_.header_bytes();
  const auto announced = reader_.announced_bytes();
  if (!memory_.OnRequestBytes(header + reader_.body_bytes(),
                              announced > 0 ? header + announced : 0)) {
    RefuseForMemory();
    return;
  }
  SendContinueIfDue();
}

/// The head has to come within a time, its body only has to go on coming.
auto Connection::SetRequestDeadline() -> void {
  const auto limits = server_->limits.load();
  if (!request_started_) {
    request_started_ = true;
    body_progress_ = 0;
    if (use().was_used() && exchanges_.empty()) use_ = ConnectionUse::IdleSince(SteadyClock::now());
    deadlines_.SetRead(limits->request_timeout);
  }
  const auto progress = reader_.body_bytes() + (reader_.header_done() ? 1 : 0);
  if (progress == std::exchange(body_progress_, progress)) return;
  deadlines_.SetRead(limits->body_timeout);
}

auto Connection::RefuseForMemory() -> void {
  server_->no_memory.fetch_add(1);
  Report(InputRefusal::Cause::kNoMemory, 503);
  // After 1 s, slow bodies have given way.
  Refuse(503, {{"Retry-After", "1"}});
}

auto Connection::Report(InputRefusal::Cause cause, int status, std::string error) const -> void {
  if (!server_->on_refusal) return;
  const auto now = server_->limits.load();
  InputRefusal refusal;
  refusal.cause = cause;
  refusal.status = status;
  refusal.remote = remote_;
  refusal.error = std::move(error);
  refusal.message_bytes = used_bytes_ + input_.size();
  refusal.handled_requests = handled_requests_;
  refusal.max_header_bytes = limits_->max_header_bytes;
  refusal.max_body_bytes = limits_->max_body_bytes;
  refusal.max_connections = limits_->max_connections;
  refusal.limits_outdated = now->max_header_bytes != limits_->max_header_bytes ||
                            now->max_body_bytes != limits_->max_body_bytes;
  server_->on_refusal(refusal);
}

auto Connection::SendContinueIfDue() -> void {
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  // The responses to earlier requests go first.
  if (!request_started_ || continue_sent_ || !reader_.expects_continue() || !exchanges_.empty()) {
    return;
  }
  continue_sent_ = true;
  writing_ = true;
  asio::async_write(socket_, asio::buffer(kContinue.data(), kContinue.size()),
                    [self = shared_from_this()](const ErrorCode& error, std::size_t /*size*/) {
                      self->writing_ = false;
                      if (self->state_ != State::kOpen) return;
                      if (error) {
                        self->Abort();
                        return;
                      }
                      self->WriteNext();
                    });
}

auto Connection::HandOver() -> void {
  if (server_->stopped.load()) {
    CloseNow();
    return;
  }
  if (limits_->watch_disconnects && HasCallerClosed()) {
    server_->caller_gone.fetch_add(1);
    Abort();
    return;
  }
  // The header is copied for the request that is passed on.
  const auto header = 2 * reader_.header_bytes();
  auto held = memory_.HoldRequest(header + reader_.body_bytes());
  if (!held.has_value()) {
    RefuseForMemory();
    return;
  }
  deadlines_.ClearRead();
  request_started_ = false;
  continue_sent_ = false;
  used_bytes_ = 0;
  ++handled_requests_;
  auto exchange = std::make_shared<ServerExchange>();
  exchange->request_header = held->Split(header);
  exchange->keep_alive = reader_.keep_alive();
  exchange->http_1_0 = reader_.http_1_0();
  auto request = reader_.Take(*std::move(held));
  exchange->head = request.method == "HEAD";
  closing_ = !exchange->keep_alive || server_->closing.load();
  request.remote = remote_;
  if (limits_->watch_disconnects) {
    exchange->disconnect = std::make_shared<DisconnectHook>();
    exchange->disconnect->has_closed = [weak = weak_from_this()] {
      const auto self = weak.lock();
      return self == nullptr || self->HasCallerClosed();
    };
    request.disconnect = exchange->disconnect;
  }
  exchanges_.push_back(exchange);
  use_ = ConnectionUse::Busy();
  server_->active.fetch_add(1);
  auto pending =
      std::make_shared<PendingResponse<Connection>>(shared_from_this(), std::move(exchange));
  server_->handler(std::move(request), [pending = std::move(pending)](HttpResponse response) {
    pending->Answer(std::move(response));
  });
}

auto Connection::Refuse(int status, std::vector<HeaderField> headers) -> void {
  if (state_ != State::kOpen) return;
  deadlines_.ClearRead();
  reader_.Discard();
  memory_.DropRequest();
  request_started_ = false;
  closing_ = true;
  auto exchange = std::make_shared<ServerExchange>();
  exchange->keep_alive = false;
  exchanges_.push_back(exchange);
  server_->active.fetch_add(1);
  HttpResponse response;
  response.status = status;
  response.headers = std::move(headers);
  OnResponse(*exchange, std::move(response));
}

auto Connection::OnResponse(ServerExchange& exchange, HttpResponse response) -> void {
  if (state_ != State::kOpen) return;
  exchange.disconnect = nullptr;
  exchange.response_bytes = response.body.size() + MemoryOf(response.headers);
  exchange.held = HeldMemory(server_->memory, MemoryUse::kAnswers, exchange.response_bytes);
  exchange.response = std::move(response);
  if (writing_ && !HoldQueue()) {
    CloseForMemory();
    return;
  }
  WriteNext();
}

/// Lets the account give up the answers behind the one that is written, if the caller is slow to
/// take that one. Returns false if there is no room for them.
auto Connection::HoldQueue() -> bool {
  std::size_t bytes = 0;
  for (std::size_t i = 1; i < exchanges_.size(); ++i) {
    auto& exchange = *exchanges_[i];
    if (!exchange.response.has_value()) continue;
    exchange.held.Release();
    bytes += exchange.response_bytes;
  }
  return memory_.HoldQueue(bytes);
}

/// What waits for the answer to an earlier request is not given up: the caller can't take it.
auto Connection::ReleaseQueue() -> void {
  memory_.HoldQueue(0);
  for (const auto& exchange : exchanges_) {
    if (!exchange->response.has_value()) continue;
    exchange->held = HeldMemory(server_->memory, MemoryUse::kAnswers, exchange->response_bytes);
  }
}

auto Connection::CloseForMemory() -> void {
  server_->no_memory.fetch_add(1);
  Report(InputRefusal::Cause::kNoMemory, 0);
  Abort();
}

/// Lets the account give up the answer while it is written, if the caller is slow to take it.
auto Connection::HoldAnswer(ServerExchange& exchange) -> void {
  if (body_.size() <= MemoryAccount::kSmallBytes) return;
  exchange.held.Release();
  if (memory_.BeginAnswer(body_.size())) return;
  exchange.held = HeldMemory(server_->memory, MemoryUse::kAnswers, body_.size());
}

auto Connection::WriteNext() -> void {
  if (writing_ || exchanges_.empty() || !exchanges_.front()->response.has_value()) return;
  auto& exchange = *exchanges_.front();
  auto& response = *exchange.response;
  if (!HoldQueue()) {
    CloseForMemory();
    return;
  }
  // Requests that were handed over are answered before the connection closes.
  closing_ = closing_ || response.close || server_->closing.load();
  const bool is_last = closing_ && exchanges_.size() == 1;
  const ResponseContext context{
      .keep_alive = !is_last, .http_1_0 = exchange.http_1_0, .head = exchange.head};
  output_.clear();
  AppendResponseHead(response, context, output_);
  body_.clear();
  if (!exchange.head && StatusHasBody(response.status)) {
    if (response.body.size() <= kMaxCopiedBodyBytes) {
      output_.append(response.body);
      response.body = std::string();
    } else {
      body_ = std::move(response.body);
      HoldAnswer(exchange);
    }
  }
  writing_ = true;
  deadlines_.SetWrite(server_->limits.load()->write_timeout);
  const std::array buffers{asio::buffer(output_), asio::buffer(body_)};
  // The handler keeps the connection alive.
  const auto condition = [this](const ErrorCode& error, std::size_t size) {
    memory_.OnAnswerBytes(size);
    return asio::transfer_all()(error, size);
  };
  asio::async_write(
      socket_, buffers, condition,
      [self = shared_from_this(), is_last](const ErrorCode& error, std::size_t /*size*/) {
        self->OnWritten(error, is_last);
      });
}

auto Connection::OnWritten(const ErrorCode& error, bool is_last) -> void {
  writing_ = false;
  if (state_ != State::kOpen) return;
  deadlines_.ClearWrite();
  if (error) {
    Abort();
    return;
  }
  exchanges_.pop_front();
  memory_.EndAnswer();
  ReleaseQueue();
  server_->active.fetch_sub(1);
  if (body_.capacity() > kMaxCopiedBodyBytes) body_ = std::string();
  if (is_last) {
    Linger();
    return;
  }
  const bool idle = exchanges_.empty() && !request_started_ && input_.empty();
  if (idle && (input_ended_ || server_->draining.load())) {
    CloseNow();
    return;
  }
  if (exchanges_.empty()) use_ = ConnectionUse::IdleSince(SteadyClock::now());
  if (exchanges_.empty() && !request_started_) {
    deadlines_.SetRead(server_->limits.load()->idle_timeout);
  }
  SendContinueIfDue();
  WriteNext();
  ParseInput();
}

auto Connection::Linger() -> void {
  if (input_ended_) {
    CloseNow();
    return;
  }
  state_ = State::kLingering;
  use_ = ConnectionUse::IdleSince(SteadyClock::now());
  deadlines_.SetRead(kLingerTime);
  ErrorCode ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
  ReadMore();
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
