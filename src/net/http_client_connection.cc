#include "net/http_client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <string>
#include <utility>
#include <vector>

#include "base/number_text.h"
#include "fmt/format.h"
#include "net/http_client_state.h"
#include "net/http_reader.h"
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
constexpr std::size_t kInitialBufferBytes = std::size_t{4} * 1024;
// Long bodies are read in pieces of this size; a header has to fit in.
constexpr std::size_t kMaxBufferBytes = std::size_t{128} * 1024;
// Bodies up to this size are copied behind the header, which is cheaper than a second buffer.
constexpr std::size_t kMaxCopiedBodyBytes = std::size_t{16} * 1024;
// Bodies up to this size are read whatever others take.
constexpr std::size_t kSmallBodyBytes = std::size_t{64} * 1024;
// More responses to other requests in front of one response come from a peer that sends without
// end.
constexpr int kMaxForeignResponses = 16;

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
        reader_(client_->limits().max_response_bytes, client_->limits().accept_unframed_responses) {
  }

  ~Connection() override { SetReadingBytes(0); }
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
  auto ParseInput() -> void;
  /// Returns false if the response has to be given up.
  auto SetReadingBytes(std::size_t bytes) -> bool;
  auto DropForeignResponse() -> bool;
  auto NamesOtherRequest() const -> bool;
  auto MayBeRepeated() const -> bool;
  auto HeadOfResponse() const -> HttpResponse;
  auto IdleTimeout(const HttpResponse& response) const -> Duration;
  auto FinishIfComplete() -> void;
  auto Fail(absl::Status status, ConnectionEnd end = ConnectionEnd::kOther) -> void;
  auto CloseSocket() -> void;
  auto SetDeadline(SteadyClock::time_point deadline) -> void;
  auto OnTimer() -> void;

  Strand strand_;
  Socket socket_;
  asio::steady_timer timer_;
  const Endpoint endpoint_;
  const std::shared_ptr<HttpClientState> client_;
  HttpResponseReader reader_;
  std::vector<char> buffer_;
  std::size_t end_ = 0;  ///< Bytes in the buffer that are not read yet.
  std::string output_;
  State state_ = State::kClosed;
  std::uint64_t socket_number_ = 0;  ///< Handlers of earlier sockets are told by it.

  // The present exchange.
  std::uint64_t exchange_ = 0;
  HttpRequest request_;
  HttpClient::Callback callback_;
  SendProgress progress_ = SendProgress::kNothingWritten;
  bool write_done_ = false;
  bool write_failed_ = false;
  bool response_started_ = false;
  int foreign_responses_ = 0;
  std::size_t reading_bytes_ = 0;  ///< Memory of the body that is being read, unless it is small.
  bool is_reused_ = false;         ///< The connection has had another exchange.
  bool out_of_step_ = false;  ///< A response to another request came: nothing more may be sent.
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
  if (state_ == State::kIdle && !ClosedByPeer()) {
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

auto Connection::Connect() -> void {
  CloseSocket();
  ErrorCode error;
  const auto address = asio::ip::make_address(endpoint_.address, error);
  if (error) {
    Fail(absl::InvalidArgumentError(fmt::format("\"{}\" is not an IP address", endpoint_.address)));
    return;
  }
  state_ = State::kConnecting;
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
         ConnectionEndOf(error));
    return;
  }
  ErrorCode ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  buffer_.resize(kInitialBufferBytes);
  end_ = 0;
  out_of_step_ = false;
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
  is_reused_ = reused;
  SetDeadline(exchange_deadline_);
  write_done_ = false;
  write_failed_ = false;
  response_started_ = false;
  foreign_responses_ = 0;
  reader_.Start(request_.method == "HEAD");
  output_.clear();
  const auto own_host = request_.Header("Host");
  const bool forward = client_->limits().forward_host && !own_host.empty();
  AppendRequestHead(request_, forward ? std::string(own_host) : endpoint_.Text(), output_);
  const bool copied = request_.body.size() <= kMaxCopiedBodyBytes;
  if (copied) output_.append(request_.body);
  const std::array buffers{
      asio::const_buffer(output_.data(), output_.size()),
      asio::const_buffer(request_.body.data(), copied ? 0 : request_.body.size())};
  asio::async_write(socket_, buffers,
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
  if (!error) {
    FinishIfComplete();
    return;
  }
  write_failed_ = true;
  if (size > 0) {
    // The peer may have answered before it stopped to read; if not, the pending read fails.
    FinishIfComplete();
    return;
  }
  progress_ = SendProgress::kNothingWritten;
  if (reused) {
    Connect();
    return;
  }
  Fail(absl::UnavailableError(
           fmt::format("the connection to {} failed: {}", endpoint_.Text(), error.message())),
       ConnectionEndOf(error));
}

auto Connection::ReadMore() -> void {
  if (end_ == buffer_.size()) {
    if (buffer_.size() >= kMaxBufferBytes) {
      Fail(absl::DataLossError(fmt::format("malformed response from {}", endpoint_.Text())));
      return;
    }
    buffer_.resize(buffer_.size() * 2);
  }
  socket_.async_read_some(asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
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
  end_ += size;
  if (end_ == buffer_.size() && end_ < kMaxBufferBytes) buffer_.resize(buffer_.size() * 2);
  ParseInput();
}

auto Connection::OnReadError(const ErrorCode& error) -> void {
  if (error == asio::error::eof) {
    reader_.OnEndOfInput();
    if (reader_.done() && reader_.error() == HttpReadError::kNone && !DropForeignResponse()) {
      FinishIfComplete();
      return;
    }
  }
  if (response_started_) {
    Fail(absl::DataLossError(
             fmt::format("truncated response from {}: {}", endpoint_.Text(), error.message())),
         ConnectionEndOf(error));
    return;
  }
  Fail(absl::UnavailableError(fmt::format("{} closed the connection without a response: {}",
                                          endpoint_.Text(), error.message())),
       ConnectionEndOf(error));
}

auto Connection::ParseInput() -> void {
  response_started_ = true;
  const auto used = reader_.Read({buffer_.data(), end_});
  std::copy(buffer_.begin() + static_cast<std::ptrdiff_t>(used),
            buffer_.begin() + static_cast<std::ptrdiff_t>(end_), buffer_.begin());
  end_ -= used;
  if (!SetReadingBytes(reader_.response().body.capacity())) {
    Fail(absl::ResourceExhaustedError(fmt::format(
        "the response from {} is one of the largest, and all that are being read take more than "
        "{} bytes",
        endpoint_.Text(), client_->limits().max_reading_bytes)));
    return;
  }
  switch (reader_.error()) {
    case HttpReadError::kNone:
      break;
    case HttpReadError::kHeaderTooLarge:
    case HttpReadError::kBodyTooLarge:
      Fail(absl::ResourceExhaustedError(fmt::format("the response from {} is larger than {} bytes",
                                                    endpoint_.Text(),
                                                    client_->limits().max_response_bytes)));
      return;
    case HttpReadError::kNoLength:
      Fail(absl::DataLossError(fmt::format(
          "the response from {} has neither Content-Length nor chunked encoding, so that a "
          "truncation would go unnoticed",
          endpoint_.Text())));
      return;
    case HttpReadError::kMalformed:
      Fail(absl::DataLossError(fmt::format("malformed response from {}", endpoint_.Text())));
      return;
  }
  if (!reader_.done()) {
    ReadMore();
  } else if (DropForeignResponse()) {
    if (++foreign_responses_ > kMaxForeignResponses) {
      Fail(absl::DataLossError(
          fmt::format("{} sends responses to other requests without end", endpoint_.Text())));
      return;
    }
    end_ > 0 ? ParseInput() : ReadMore();
  } else {
    FinishIfComplete();
  }
}

auto Connection::SetReadingBytes(std::size_t bytes) -> bool {
  if (bytes <= kSmallBodyBytes) bytes = 0;
  return client_->response_memory().Change(std::exchange(reading_bytes_, bytes), bytes);
}

/// A late second response to an earlier request stands where the response to this one is due.
auto Connection::DropForeignResponse() -> bool {
  if (!NamesOtherRequest()) return false;
  out_of_step_ = true;
  reader_.Start(request_.method == "HEAD");
  return true;
}

auto Connection::NamesOtherRequest() const -> bool {
  const auto& name = client_->limits().correlation_header;
  if (name.empty()) return false;
  const auto expected = request_.Header(name);
  const auto found = reader_.response().Header(name);
  return !expected.empty() && !found.empty() && expected != found;
}

auto Connection::MayBeRepeated() const -> bool {
  const auto& name = client_->limits().correlation_header;
  return is_reused_ && !name.empty() && !request_.Header(name).empty() &&
         reader_.response().Header(name).empty();
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
  if (!reader_.done()) return;
  const auto idle_timeout = IdleTimeout(reader_.response());
  const bool may_be_repeated = MayBeRepeated();
  const bool reusable = !may_be_repeated && write_done_ && !write_failed_ && reader_.keep_alive() &&
                        end_ == 0 && !out_of_step_ && idle_timeout > Duration::zero();
  // A complete response that overtakes the notice of the write waits for it; one that came before
  // the whole request was sent costs the connection.
  if (!write_done_ && output_.size() + request_.body.size() <= kMaxCopiedBodyBytes) return;
  HttpResult result;
  result.progress = SendProgress::kCompleted;
  result.may_be_repeated = may_be_repeated;
  result.response = reader_.Take();
  SetReadingBytes(0);
  const auto callback = std::exchange(callback_, nullptr);
  request_ = HttpRequest();
  if (reusable) {
    state_ = State::kIdle;
    if (buffer_.size() > kInitialBufferBytes) buffer_ = std::vector<char>(kInitialBufferBytes);
    SetDeadline(SteadyClock::now() + idle_timeout);
    WaitForInput();
    if (!client_->GiveBack(endpoint_, shared_from_this())) CloseSocket();
  } else {
    CloseSocket();
    client_->Forget(endpoint_, shared_from_this());
  }
  callback(std::move(result));
}

/// The status and the fields of a response that is known to answer the request.
auto Connection::HeadOfResponse() const -> HttpResponse {
  HttpResponse head;
  if (!response_started_ || !reader_.head_done() || MayBeRepeated() || NamesOtherRequest()) {
    return head;
  }
  head.status = reader_.response().status;
  head.headers = reader_.response().headers;
  return head;
}

auto Connection::Fail(absl::Status status, ConnectionEnd end) -> void {
  auto head = HeadOfResponse();
  CloseSocket();
  // The connection may live on in handlers that are pending.
  reader_.Start(false);
  SetReadingBytes(0);
  client_->Forget(endpoint_, shared_from_this());
  const auto callback = std::exchange(callback_, nullptr);
  request_ = HttpRequest();
  HttpResult result;
  result.status = std::move(status);
  result.progress = progress_;
  result.response = std::move(head);
  result.connection_end = end;
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
  if (callback_ == nullptr) {
    OnClose();
    return;
  }
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
