#include "net/peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <utility>

#include "fmt/format.h"
#include "net/tcp_acceptor.h"
#include "net/worker_pool.h"
#include "wire/byte_order.h"
#include "wire/envelope.h"
#include "wire/link_handshake.h"
#include "wire/message_codec.h"

namespace heatherspan {
namespace {

namespace asio = boost::asio;
using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
using ErrorCode = boost::system::error_code;
using Role = LinkHandshake::Role;

constexpr std::size_t kCorrelationBytes = 8;
// A node may have links to hundreds of peers, so that an idle link must stay small.
constexpr std::size_t kInitialBufferBytes = std::size_t{8} * 1024;
constexpr std::size_t kMaxBatchBytes = std::size_t{256} * 1024;
constexpr std::size_t kMaxBatchFrames = 64;
// A peer that acknowledges nothing for this long is cut off; TCP itself would try for 15 minutes.
constexpr int kUnacknowledgedLimitMs = 5'000;
constexpr int kKeepAliveIdleSeconds = 10;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 3;

template <int level, int name>
using IntegerOption = asio::detail::socket_option::integer<level, name>;

auto SetOptions(Socket& socket) -> void {
  ErrorCode ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket.set_option(Socket::keep_alive(true), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_USER_TIMEOUT>(kUnacknowledgedLimitMs), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPIDLE>(kKeepAliveIdleSeconds), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPINTVL>(kKeepAliveIntervalSeconds), ignored);
  socket.set_option(IntegerOption<IPPROTO_TCP, TCP_KEEPCNT>(kKeepAliveProbes), ignored);
}

/// Private methods run on the strand.
class TcpLink final : public PeerLink, public std::enable_shared_from_this<TcpLink> {
 public:
  TcpLink(Socket socket, Role role, Endpoint remote, std::shared_ptr<const AuthenticationKey> key,
          InstanceId self)
      : strand_(socket.get_executor()),
        socket_(std::move(socket)),
        timer_(strand_),
        role_(role),
        remote_(std::move(remote)),
        key_(std::move(key)),
        self_(self),
        handshake_(role, *key_, self) {}

  auto Start(Events events) -> void override {
    events_ = std::move(events);
    asio::post(strand_, [self = shared_from_this()] { self->Begin(); });
  }

  auto Send(std::uint64_t correlation, std::string frame) -> bool override {
    const auto size = frame.size();
    if (queued_bytes_.fetch_add(size) + size > kMaxQueuedBytes) {
      queued_bytes_.fetch_sub(size);
      return false;
    }
    asio::post(strand_,
               [self = shared_from_this(), correlation, frame = std::move(frame)]() mutable {
                 self->OnSend(correlation, std::move(frame));
               });
    return true;
  }

  auto Withdraw(std::uint64_t correlation) -> void override {
    asio::post(strand_,
               [self = shared_from_this(), correlation] { self->OnWithdraw(correlation); });
  }

  auto Close(absl::Status status) -> void override {
    asio::post(strand_, [self = shared_from_this(), status = std::move(status)] {
      self->Fail(status, false);
    });
  }

 private:
  enum class Stage { kHello, kProof, kFrames, kClosed };

  struct Frame {
    std::uint64_t correlation;
    std::string bytes;
  };

  auto Begin() -> void;
  auto OnConnected(const ErrorCode& error) -> void;
  auto WriteHandshake(std::string bytes) -> void;
  auto ReadMore() -> void;
  auto OnRead(const ErrorCode& error, std::size_t size) -> void;
  auto NextSize() const -> std::size_t;
  auto OnInput(std::string_view bytes) -> absl::Status;
  auto OnHello(std::string_view bytes) -> absl::Status;
  auto OnProof(std::string_view bytes) -> absl::Status;
  auto OnFrame(std::string_view bytes) -> absl::Status;
  auto SetReady() -> void;
  auto OnSend(std::uint64_t correlation, std::string frame) -> void;
  auto OnWithdraw(std::uint64_t correlation) -> void;
  auto WriteBatch() -> void;
  auto OnWritten(const ErrorCode& error, std::size_t size) -> void;
  auto Fail(absl::Status status, bool rejected) -> void;
  auto Finish(std::size_t batch_bytes_written) -> void;

  Strand strand_;
  Socket socket_;
  asio::steady_timer timer_;
  const Role role_;
  const Endpoint remote_;
  const std::shared_ptr<const AuthenticationKey> key_;
  const InstanceId self_;
  Events events_;

  Stage stage_ = Stage::kHello;
  LinkHandshake handshake_;
  std::string handshake_output_;
  std::unique_ptr<AuthenticationKey> send_key_;
  std::unique_ptr<AuthenticationKey> receive_key_;
  std::uint64_t send_sequence_ = 0;
  std::uint64_t receive_sequence_ = 0;

  std::vector<char> buffer_ = std::vector<char>(kInitialBufferBytes);
  std::size_t begin_ = 0;
  std::size_t end_ = 0;

  std::atomic<std::size_t> queued_bytes_{0};
  std::deque<Frame> queue_;
  std::vector<Frame> batch_;  ///< The frames that are being written.
  bool handshake_write_ = false;
  End close_;
};

auto TcpLink::Begin() -> void {
  if (stage_ == Stage::kClosed) return;
  timer_.expires_after(kHandshakeTimeout);
  timer_.async_wait([self = shared_from_this()](const ErrorCode& cancelled) {
    if (cancelled) return;
    self->Fail(absl::UnavailableError(
                   fmt::format("{} did not end the handshake in time", self->remote_.Text())),
               false);
  });
  if (role_ == Role::kServer) {
    SetOptions(socket_);
    ReadMore();
    return;
  }
  ErrorCode error;
  const auto address = asio::ip::make_address(remote_.address, error);
  if (error) {
    Fail(absl::InvalidArgumentError(fmt::format("\"{}\" is not an IP address", remote_.address)),
         false);
    return;
  }
  socket_.async_connect({address, remote_.port},
                        [self = shared_from_this()](const ErrorCode& connect_error) {
                          self->OnConnected(connect_error);
                        });
}

auto TcpLink::OnConnected(const ErrorCode& error) -> void {
  if (stage_ == Stage::kClosed) return;
  if (error) {
    Fail(absl::UnavailableError(
             fmt::format("cannot connect to {}: {}", remote_.Text(), error.message())),
         false);
    return;
  }
  SetOptions(socket_);
  WriteHandshake(handshake_.hello());
  ReadMore();
}

auto TcpLink::WriteHandshake(std::string bytes) -> void {
  handshake_output_ = std::move(bytes);
  handshake_write_ = true;
  asio::async_write(socket_, asio::buffer(handshake_output_),
                    [self = shared_from_this()](const ErrorCode& error, std::size_t /*size*/) {
                      self->handshake_write_ = false;
                      if (error) {
                        self->Fail(absl::UnavailableError(error.message()), false);
                        return;
                      }
                      self->WriteBatch();
                    });
}

auto TcpLink::ReadMore() -> void {
  if (begin_ > 0) {
    std::copy(buffer_.begin() + static_cast<std::ptrdiff_t>(begin_),
              buffer_.begin() + static_cast<std::ptrdiff_t>(end_), buffer_.begin());
    end_ -= begin_;
    begin_ = 0;
  }
  const auto wanted = std::max(NextSize(), kInitialBufferBytes);
  if (buffer_.size() < wanted) buffer_.resize(wanted);
  if (end_ == 0 && buffer_.size() > wanted) buffer_ = std::vector<char>(wanted);
  socket_.async_read_some(asio::buffer(buffer_.data() + end_, buffer_.size() - end_),
                          [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
                            self->OnRead(error, size);
                          });
}

/// The size of the next part of the protocol, as far as the bytes read so far tell.
auto TcpLink::NextSize() const -> std::size_t {
  switch (stage_) {
    case Stage::kHello:
      return LinkHandshake::kHelloBytes + (role_ == Role::kClient ? LinkHandshake::kProofBytes : 0);
    case Stage::kProof:
      return LinkHandshake::kProofBytes;
    case Stage::kFrames:
    case Stage::kClosed:
      break;
  }
  const auto header = ReadEnvelopeHeader({buffer_.data() + begin_, end_ - begin_});
  if (!header.ok()) return kEnvelopeHeaderBytes;
  return header->payload_bytes + kEnvelopeBytes;
}

auto TcpLink::OnRead(const ErrorCode& error, std::size_t size) -> void {
  if (stage_ == Stage::kClosed) return;
  if (error) {
    Fail(absl::UnavailableError(
             fmt::format("the link to {} closed: {}", remote_.Text(), error.message())),
         false);
    return;
  }
  end_ += size;
  while (stage_ != Stage::kClosed) {
    const auto next = NextSize();
    if (next > kMaxFrameBytes) {
      Fail(absl::InvalidArgumentError(
               fmt::format("{} sent a frame of {} bytes; at most {} are allowed", remote_.Text(),
                           next, kMaxFrameBytes)),
           true);
      return;
    }
    if (end_ - begin_ < next) break;
    const auto status = OnInput({buffer_.data() + begin_, next});
    if (!status.ok()) {
      Fail(status, true);
      return;
    }
    begin_ += next;
  }
  if (stage_ != Stage::kClosed) ReadMore();
}

auto TcpLink::OnInput(std::string_view bytes) -> absl::Status {
  switch (stage_) {
    case Stage::kHello:
      return OnHello(bytes);
    case Stage::kProof:
      return OnProof(bytes);
    default:
      return OnFrame(bytes);
  }
}

auto TcpLink::OnHello(std::string_view bytes) -> absl::Status {
  auto status = handshake_.OnHello(bytes.substr(0, LinkHandshake::kHelloBytes));
  if (!status.ok()) return status;
  if (role_ == Role::kServer) {
    WriteHandshake(handshake_.hello() + handshake_.Proof());
    stage_ = Stage::kProof;
    return status;
  }
  status = handshake_.CheckProof(bytes.substr(LinkHandshake::kHelloBytes));
  if (!status.ok()) return status;
  WriteHandshake(handshake_.Proof());
  SetReady();
  return status;
}

auto TcpLink::OnProof(std::string_view bytes) -> absl::Status {
  auto status = handshake_.CheckProof(bytes);
  if (status.ok()) SetReady();
  return status;
}

auto TcpLink::SetReady() -> void {
  stage_ = Stage::kFrames;
  timer_.cancel();
  send_key_ = std::make_unique<AuthenticationKey>(handshake_.MakeSendKey());
  receive_key_ = std::make_unique<AuthenticationKey>(handshake_.MakeReceiveKey());
  events_.ready(handshake_.peer());
}

auto TcpLink::OnFrame(std::string_view bytes) -> absl::Status {
  const auto opened = OpenEnvelope(*receive_key_, bytes);
  if (!opened.ok()) return opened.status();
  if (opened->sender != handshake_.peer() || opened->sequence != receive_sequence_) {
    return absl::UnauthenticatedError(fmt::format(
        "{} sent frame {} of instance {:016x}; expected frame {} of {:016x}", remote_.Text(),
        opened->sequence, opened->sender.value(), receive_sequence_, handshake_.peer().value()));
  }
  ++receive_sequence_;
  if (opened->payload.size() < kCorrelationBytes) {
    return absl::InvalidArgumentError("a frame has no correlation id");
  }
  const auto correlation = ReadLittleEndian<std::uint64_t>(opened->payload.data());
  if (events_.frame(correlation, opened->payload.substr(kCorrelationBytes))) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(fmt::format("{} sent a malformed message", remote_.Text()));
}

auto TcpLink::OnSend(std::uint64_t correlation, std::string frame) -> void {
  if (stage_ == Stage::kClosed) return;
  queue_.push_back({correlation, std::move(frame)});
  WriteBatch();
}

auto TcpLink::OnWithdraw(std::uint64_t correlation) -> void {
  if (stage_ == Stage::kClosed) return;
  const auto found = std::find_if(queue_.begin(), queue_.end(), [&](const Frame& frame) {
    return frame.correlation == correlation;
  });
  const bool unwritten = found != queue_.end();
  if (unwritten) {
    queued_bytes_.fetch_sub(found->bytes.size());
    queue_.erase(found);
  }
  events_.withdrawn(correlation, unwritten);
}

auto TcpLink::WriteBatch() -> void {
  if (stage_ != Stage::kFrames || handshake_write_ || !batch_.empty() || queue_.empty()) return;
  std::size_t bytes = 0;
  std::vector<asio::const_buffer> buffers;
  while (!queue_.empty() && bytes < kMaxBatchBytes && batch_.size() < kMaxBatchFrames) {
    auto& frame = batch_.emplace_back(std::move(queue_.front()));
    queue_.pop_front();
    queued_bytes_.fetch_sub(frame.bytes.size());
    SealEnvelope(*send_key_, self_, send_sequence_++, frame.bytes);
    bytes += frame.bytes.size();
  }
  buffers.reserve(batch_.size());
  for (const auto& frame : batch_) buffers.emplace_back(frame.bytes.data(), frame.bytes.size());
  asio::async_write(socket_, buffers,
                    [self = shared_from_this()](const ErrorCode& error, std::size_t size) {
                      self->OnWritten(error, size);
                    });
}

auto TcpLink::OnWritten(const ErrorCode& error, std::size_t size) -> void {
  if (stage_ == Stage::kClosed) {
    Finish(size);
    return;
  }
  if (error) {
    stage_ = Stage::kClosed;
    close_.status = absl::UnavailableError(
        fmt::format("the link to {} failed: {}", remote_.Text(), error.message()));
    ErrorCode ignored;
    socket_.close(ignored);
    Finish(size);
    return;
  }
  batch_.clear();
  WriteBatch();
}

auto TcpLink::Fail(absl::Status status, bool rejected) -> void {
  if (stage_ == Stage::kClosed) return;
  stage_ = Stage::kClosed;
  close_.status = std::move(status);
  close_.rejected = rejected;
  timer_.cancel();
  // A write under way still has to tell how many bytes it wrote.
  if (batch_.empty()) Finish(0);
  ErrorCode ignored;
  socket_.close(ignored);
}

auto TcpLink::Finish(std::size_t batch_bytes_written) -> void {
  std::size_t start = 0;
  for (const auto& frame : batch_) {
    if (start >= batch_bytes_written) close_.unwritten.push_back(frame.correlation);
    start += frame.bytes.size();
  }
  for (const auto& frame : queue_) close_.unwritten.push_back(frame.correlation);
  batch_.clear();
  queue_.clear();
  const auto events = std::exchange(events_, {});
  events.closed(close_);
}

}  // namespace

auto PeerLink::Connect(WorkerPool& workers, const Endpoint& endpoint,
                       std::shared_ptr<const AuthenticationKey> key, InstanceId self, Events events)
    -> std::shared_ptr<PeerLink> {
  auto link = std::make_shared<TcpLink>(Socket(asio::make_strand(workers.context())), Role::kClient,
                                        endpoint, std::move(key), self);
  link->Start(std::move(events));
  return link;
}

auto PeerLink::Accept(WorkerPool& workers, const AcceptedSocket& socket,
                      std::shared_ptr<const AuthenticationKey> key, InstanceId self)
    -> std::shared_ptr<PeerLink> {
  const auto protocol = socket.is_v6 ? asio::ip::tcp::v6() : asio::ip::tcp::v4();
  Socket own(asio::make_strand(workers.context()), protocol, socket.descriptor);
  return std::make_shared<TcpLink>(std::move(own), Role::kServer, socket.remote, std::move(key),
                                   self);
}

auto PeerLink::BeginFrame(std::uint64_t correlation) -> std::string {
  auto frame = BeginEnvelope();
  AppendLittleEndian(correlation, frame);
  return frame;
}

auto PeerLink::FrameFits(const std::string& frame) -> bool {
  return frame.size() + std::tuple_size_v<AuthenticationTag> <= kMaxFrameBytes;
}

}  // namespace heatherspan
