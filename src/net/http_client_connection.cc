#include "net/http_client_connection.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <string>
#include <utility>

#include "base/number_text.h"
#include "fmt/format.h"
#include "net/correlated_response_reader.h"
#include "net/http_client_state.h"
#include "net/http_text.h"
#include "net/path_timeouts.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

// The peer counts the idle time from when it sent its response, and closes without a warning.
constexpr Duration kIdleMargin = std::chrono::milliseconds(500);
// Bodies up to this size are copied behind the header, which is cheaper than a second buffer.
constexpr std::size_t kMaxCopiedBodyBytes = std::size_t{16} * 1024;

/// Numbers the connections of all clients.
auto NextConnectionNumber() -> ConnectionNumber {
  static std::atomic<std::uint64_t> last{0};
  return ConnectionNumber(last.fetch_add(1) + 1);
}

auto EventOf(const ErrorCode& error) -> ExchangeEvent {
  namespace errors = asio::error;
  if (error == errors::eof) return ExchangeEvent::kClose;
  if (error == errors::connection_refused) return ExchangeEvent::kRefused;
  const bool reset = error == errors::connection_reset || error == errors::broken_pipe;
  return reset ? ExchangeEvent::kReset : ExchangeEvent::kFailure;
}

auto EventOf(const absl::Status& status) -> ExchangeEvent {
  if (absl::IsDeadlineExceeded(status)) return ExchangeEvent::kDeadline;
  return absl::IsCancelled(status) ? ExchangeEvent::kCancel : ExchangeEvent::kFailure;
}

/// Private methods run on the strand.
class Connection final : public HttpClientConnection,
                         public std::enable_shared_from_this<Connection> {
 public:
  Connection(WorkerPool& workers, Endpoint endpoint, std::shared_ptr<HttpClientState> client)
      : strand_(asio::make_strand(workers.context())),
        socket_(strand_),
        timer_(strand_),
        endpoint_(std::move(endpoint)),
        client_(std::move(client)),
        responses_(endpoint_.Text(), client_, [this] {
          auto self = weak_from_this().lock();
          if (self == nullptr) return;
          asio::post(strand_, [self = std::move(self)] { self->OnGiveWay(); });
        }) {}

  ~Connection() override = default;
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  auto Begin(std::uint64_t exchange, HttpRequest request, Duration timeout,
             HttpClient::Callback callback) -> void override {
    // Posted, not dispatched: the callback must not run before Send has returned.
    asio::post(strand_,
               [self = shared_from_this(), exchange, request = std::move(request),
                deadline = SteadyClock::now() + timeout, callback = std::move(callback)]() mutable {
                 self->OnBegin(exchange, std::move(request), deadline, std::move(callback));
               });
  }

  auto Cancel(std::uint64_t exchange) -> void override {
    asio::post(strand_, [self = shared_from_this(), exchange] {
      if (self->callback_ != nullptr && self->exchange_ == exchange) self->OnClose();
    });
  }

  auto Close() -> void override {
    asio::post(strand_, [self = shared_from_this()] { self->OnClose(); });
  }

 private:
  enum class State { kClosed, kConnecting, kExchange, kIdle };

  auto OnBegin(std::uint64_t exchange, HttpRequest request, SteadyClock::time_point deadline,
               HttpClient::Callback callback) -> void;
  auto OnClose() -> void;
  /// The account wants the memory of the response for others.
  auto OnGiveWay() -> void;
  auto Connect() -> void;
  /// Opens the socket if its options have to be set before it is connected.
  auto OpenSocket(bool is_v6) -> void;
  auto OnConnected(const ErrorCode& error) -> void;
  auto ClosedByPeer() -> bool;
  auto WriteRequest(bool reused) -> void;
  auto OnWritten(const ErrorCode& error, std::size_t size, bool reused) -> void;
  auto WaitForInput() -> void;
  auto OnInput() -> void;
  auto ReadMore() -> void;
  auto OnRead(const ErrorCode& error, std::size_t size) -> void;
  auto OnReadError(const ErrorCode& error) -> void;
  auto FailTruncated(const ErrorCode& error) -> void;
  auto IdleTimeout(const HttpResponse& response) const -> Duration;
  auto FinishIfComplete() -> void;
  auto TraceForeignResponses(int count_before) -> void;
  auto FinalTrace() const -> ExchangeTrace;
  auto Fail(absl::Status status) -> void;
  auto Fail(absl::Status status, const ErrorCode& error) -> void;
  auto Fail(absl::Status status, ExchangeEvent event, ConnectionEnd end) -> void;
  auto CloseSocket() -> void;
  auto SetDeadline(SteadyClock::time_point deadline) -> void;
  auto OnTimer() -> void;

  Strand strand_;
  Socket socket_;
  asio::steady_timer timer_;
  const Endpoint endpoint_;
  const std::shared_ptr<HttpClientState> client_;
  CorrelatedResponseReader responses_;
  std::string output_;
  State state_ = State::kClosed;
  std::uint64_t socket_number_ = 0;  ///< Handlers of earlier sockets are told by it.
  ConnectionNumber connection_number_;
  int earlier_exchanges_ = 0;  ///< On the socket.

  // The present exchange.
  std::uint64_t exchange_ = 0;
  HttpRequest request_;
  HttpClient::Callback callback_;
  SendProgress progress_ = SendProgress::kNothingWritten;
  bool write_done_ = false;
  bool write_failed_ = false;
  bool waits_for_write_ = false;  ///< An end of input has completed the response.
  ExchangeTrace trace_;
  SteadyClock::time_point exchange_deadline_;

  SteadyClock::time_point deadline_ = SteadyClock::time_point::max();
  SteadyClock::time_point armed_until_ = SteadyClock::time_point::max();
};

auto Connection::OnBegin(std::uint64_t exchange, HttpRequest request,
                         SteadyClock::time_point deadline, HttpClient::Callback callback) -> void {
  exchange_ = exchange;
  request_ = std::move(request);
  callback_ = std::move(callback);
  progress_ = SendProgress::kNothingWritten;
  exchange_deadline_ = deadline;
  trace_ = ExchangeTrace();
  if (state_ == State::kIdle && responses_.MayCarry(request_) && !ClosedByPeer()) {
    WriteRequest(true);
  } else {
    Connect();
  }
}

auto Connection::OnClose() -> void {
  if (callback_ != nullptr) {
    Fail(absl::CancelledError("the exchange was cancelled"));
    return;
  }
  if (state_ != State::kIdle) return;
  CloseSocket();
  client_->ForgetIdle(endpoint_, shared_from_this());
}

auto Connection::OnGiveWay() -> void {
  if (callback_ != nullptr && responses_.gave_way()) Fail(responses_.OutOfMemory());
}

auto Connection::Connect() -> void {
  CloseSocket();
  ErrorCode error;
  const auto address = asio::ip::make_address(endpoint_.address, error);
  if (error) {
    Fail(absl::InvalidArgumentError(fmt::format("\"{}\" is not an IP address", endpoint_.address)));
    return;
  }
  state_ = State::kConnecting;
  connection_number_ = NextConnectionNumber();
  earlier_exchanges_ = 0;
  SetDeadline(
      std::min(exchange_deadline_,
               SteadyClock::time_point(SteadyClock::now() + client_->limits().connect_timeout)));
  OpenSocket(address.is_v6());
  socket_.async_connect(
      {address, endpoint_.port},
      [self = shared_from_this(), number = socket_number_](const ErrorCode& connect_error) {
        if (self->socket_number_ == number) self->OnConnected(connect_error);
      });
}

auto Connection::OpenSocket(bool is_v6) -> void {
  const auto timeout = client_->limits().unacknowledged_timeout;
  if (timeout == Duration::zero()) return;
  ErrorCode error;
  if (!socket_.is_open()) socket_.open(is_v6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4(), error);
  if (!error) SetPathTimeouts(socket_.native_handle(), timeout);
}

auto Connection::OnConnected(const ErrorCode& error) -> void {
  if (error) {
    Fail(absl::UnavailableError(
             fmt::format("cannot connect to {}: {}", endpoint_.Text(), error.message())),
         error);
    return;
  }
  ErrorCode ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  responses_.OnConnected();
  WriteRequest(false);
  // The socket may have failed at the first write.
  if (state_ == State::kExchange) ReadMore();
}

/// Tells whether the peer has closed an idle connection (or sent bytes that belong to no exchange)
/// although the wait for it has not come back yet.
auto Connection::ClosedByPeer() -> bool {
  char byte = 0;
  const auto size = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

auto Connection::WriteRequest(bool reused) -> void {
  state_ = State::kExchange;
  SetDeadline(exchange_deadline_);
  write_done_ = false;
  write_failed_ = false;
  waits_for_write_ = false;
  responses_.Start(request_, reused);
  output_.clear();
  const auto own_host = request_.Header("Host");
  const bool forward = client_->limits().forward_host && !own_host.empty();
  AppendRequestHead(request_, forward ? std::string(own_host) : endpoint_.Text(), output_);
  const bool copied = request_.body.size() <= kMaxCopiedBodyBytes;
  if (copied) output_.append(request_.body);
  const std::array buffers{
      asio::const_buffer(output_.data(), output_.size()),
      asio::const_buffer(request_.body.data(), copied ? 0 : request_.body.size())};
  trace_.request_bytes = output_.size() + buffers[1].size();
  // Counts what is taken; the handler keeps the connection alive.
  const auto condition = [this, number = socket_number_, exchange = exchange_](
                             const ErrorCode& error, std::size_t size) {
    if (socket_number_ == number && exchange_ == exchange) trace_.written_bytes = size;
    return asio::transfer_all()(error, size);
  };
  asio::async_write(socket_, buffers, condition,
                    [self = shared_from_this(), number = socket_number_, exchange = exchange_,
                     reused](const ErrorCode& error, std::size_t size) {
                      if (self->socket_number_ != number || self->exchange_ != exchange) return;
                      self->OnWritten(error, size, reused);
                    });
  // From here on, bytes may leave at any moment.
  progress_ = SendProgress::kWritten;
}

auto Connection::OnWritten(const ErrorCode& error, std::size_t size, bool reused) -> void {
  if (callback_ == nullptr) return;
  write_done_ = true;
  trace_.written_bytes = size;
  trace_.events.Add(error ? ExchangeEvent::kWriteFailed : ExchangeEvent::kWrite);
  write_failed_ = error.failed();
  if (!error || size > 0) {
    // The peer may have answered before it stopped to read; if not, the pending read fails.
    return write_failed_ && waits_for_write_ ? FailTruncated(error) : FinishIfComplete();
  }
  progress_ = SendProgress::kNothingWritten;
  if (reused) {
    trace_.events.Add(ExchangeEvent::kReconnect);
    Connect();
    return;
  }
  Fail(absl::UnavailableError(
           fmt::format("the connection to {} failed: {}", endpoint_.Text(), error.message())),
       error);
}

auto Connection::ReadMore() -> void {
  const auto space = responses_.Space();
  if (space.empty()) {
    Fail(absl::DataLossError(fmt::format("malformed response from {}", endpoint_.Text())));
    return;
  }
  socket_.async_read_some(asio::buffer(space.data(), space.size()),
                          [self = shared_from_this(), number = socket_number_](
                              const ErrorCode& error, std::size_t size) {
                            if (self->socket_number_ == number) self->OnRead(error, size);
                          });
}

/// An idle connection only waits for input and reads none: a read would take unasked bytes from the
/// socket before their arrival is known here, and the next exchange would take them for its answer.
auto Connection::WaitForInput() -> void {
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this(), number = socket_number_](const ErrorCode&) {
                       if (self->socket_number_ == number) self->OnInput();
                     });
}

auto Connection::OnInput() -> void {
  if (state_ == State::kExchange) {
    ReadMore();
    return;
  }
  // The wait may also end by the notice of input that has been read already.
  if (!ClosedByPeer()) {
    WaitForInput();
    return;
  }
  // Closed by the peer, or an answer that nobody asked for. If an exchange took the connection
  // meanwhile, it finds the socket closed and connects anew.
  CloseSocket();
  client_->ForgetIdle(endpoint_, shared_from_this());
}

auto Connection::OnRead(const ErrorCode& error, std::size_t size) -> void {
  if (error) {
    OnReadError(error);
    return;
  }
  const auto foreign_before = responses_.foreign_responses();
  auto status = responses_.OnBytes(size);
  TraceForeignResponses(foreign_before);
  if (!status.ok()) {
    Fail(std::move(status));
  } else if (responses_.done()) {
    trace_.events.Add(ExchangeEvent::kAnswer);
    FinishIfComplete();
  } else {
    ReadMore();
  }
}

auto Connection::OnReadError(const ErrorCode& error) -> void {
  if (error == asio::error::eof && !write_failed_) {
    const auto foreign_before = responses_.foreign_responses();
    const bool complete = responses_.OnEndOfInput();
    TraceForeignResponses(foreign_before);
    if (complete) {
      trace_.events.Add(ExchangeEvent::kClose);
      trace_.events.Add(ExchangeEvent::kAnswer);
      // A socket reports a reset only once, perhaps to the pending write.
      waits_for_write_ = !write_done_;
      if (!waits_for_write_) FinishIfComplete();
      return;
    }
  }
  if (responses_.has_started()) {
    FailTruncated(error);
    return;
  }
  Fail(absl::UnavailableError(fmt::format("{} closed the connection without a response: {}",
                                          endpoint_.Text(), error.message())),
       error);
}

auto Connection::FailTruncated(const ErrorCode& error) -> void {
  Fail(absl::DataLossError(
           fmt::format("truncated response from {}: {}", endpoint_.Text(), error.message())),
       error);
}

auto Connection::IdleTimeout(const HttpResponse& response) const -> Duration {
  const auto own = client_->limits().idle_timeout;
  constexpr std::string_view kKey = "timeout=";
  const auto field = response.Header("Keep-Alive");
  const auto start = field.find(kKey);
  if (start == std::string_view::npos) return own;
  const auto text = field.substr(start + kKey.size());
  const auto digits = text.substr(0, std::min(text.find_first_not_of("0123456789"), text.size()));
  const auto seconds = ParseNumber<std::int32_t>(digits);
  if (!seconds.has_value()) return own;
  return std::min<Duration>(own, std::chrono::seconds(*seconds) - kIdleMargin);
}

auto Connection::FinishIfComplete() -> void {
  if (!responses_.done()) return;
  const auto idle_timeout = IdleTimeout(responses_.response());
  const bool may_be_copy = responses_.may_be_copy();
  const bool reusable = !may_be_copy && write_done_ && !write_failed_ && responses_.keep_alive() &&
                        responses_.is_in_step() && idle_timeout > Duration::zero();
  // A complete response that overtakes the notice of the write waits for it; one that came before
  // the whole request was sent costs the connection.
  if (!write_done_ && output_.size() + request_.body.size() <= kMaxCopiedBodyBytes) return;
  HttpResult result;
  result.progress = SendProgress::kCompleted;
  result.may_be_copy = may_be_copy;
  result.trace = FinalTrace();
  result.response = responses_.Take();
  ++earlier_exchanges_;
  const auto callback = std::exchange(callback_, nullptr);
  request_ = HttpRequest();
  if (reusable) {
    state_ = State::kIdle;
    responses_.Shrink();
    SetDeadline(SteadyClock::now() + idle_timeout);
    WaitForInput();
    if (!client_->GiveBack(endpoint_, shared_from_this())) CloseSocket();
  } else {
    CloseSocket();
    client_->Forget(endpoint_, shared_from_this());
  }
  callback(std::move(result));
}

auto Connection::TraceForeignResponses(int count_before) -> void {
  const auto dropped = responses_.foreign_responses() - count_before;
  if (dropped == 0) return;
  trace_.foreign_answers += dropped;
  trace_.events.Add(ExchangeEvent::kOtherAnswer);
}

auto Connection::FinalTrace() const -> ExchangeTrace {
  auto trace = trace_;
  trace.connection = connection_number_;
  trace.earlier_exchanges = earlier_exchanges_;
  trace.identity = responses_.identity();
  return trace;
}

auto Connection::Fail(absl::Status status) -> void {
  const auto event = EventOf(status);
  Fail(std::move(status), event, ConnectionEnd::kOther);
}

auto Connection::Fail(absl::Status status, const ErrorCode& error) -> void {
  Fail(std::move(status), EventOf(error), ConnectionEndOf(error));
}

auto Connection::Fail(absl::Status status, ExchangeEvent event, ConnectionEnd end) -> void {
  trace_.events.Add(event);
  HttpResult result;
  result.status = std::move(status);
  result.progress = progress_;
  result.response = responses_.HeadOfResponse();
  result.connection_end = end;
  result.trace = FinalTrace();
  CloseSocket();
  // The connection may live on in handlers that are pending.
  responses_.Abandon();
  client_->Forget(endpoint_, shared_from_this());
  const auto callback = std::exchange(callback_, nullptr);
  request_ = HttpRequest();
  callback(std::move(result));
}

auto Connection::CloseSocket() -> void {
  ++socket_number_;
  state_ = State::kClosed;
  ErrorCode ignored;
  socket_.close(ignored);
  deadline_ = SteadyClock::time_point::max();
  if (armed_until_ != SteadyClock::time_point::max()) timer_.cancel();
  armed_until_ = SteadyClock::time_point::max();
}

/// The timer is armed anew only for an earlier deadline; a later one is set when it fires.
auto Connection::SetDeadline(SteadyClock::time_point deadline) -> void {
  deadline_ = deadline;
  if (armed_until_ <= deadline) return;
  armed_until_ = deadline;
  timer_.expires_at(deadline);
  timer_.async_wait([self = shared_from_this()](const ErrorCode& cancelled) {
    if (!cancelled) self->OnTimer();
  });
}

auto Connection::OnTimer() -> void {
  // A wait that was replaced after it had fired.
  if (SteadyClock::now() < armed_until_) return;
  armed_until_ = SteadyClock::time_point::max();
  if (deadline_ == SteadyClock::time_point::max()) return;
  if (SteadyClock::now() < deadline_) {
    SetDeadline(deadline_);
    return;
  }
  if (callback_ == nullptr) return OnClose();
  Fail(absl::DeadlineExceededError(fmt::format(
      "{} {} in time", endpoint_.Text(),
      state_ == State::kConnecting ? "did not accept the connection" : "did not answer")));
}

}  // namespace

auto HttpClientConnection::Create(WorkerPool& workers, const Endpoint& endpoint,
                                  std::shared_ptr<HttpClientState> client)
    -> std::shared_ptr<HttpClientConnection> {
  return std::make_shared<Connection>(workers, endpoint, std::move(client));
}

}  // namespace heatherspan
