#include "net/peer_link.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "blocking_queue.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "net/worker_pool.h"
#include "raw_socket.h"
#include "wire/envelope.h"
#include "wire/link_handshake.h"
#include "wire/message_codec.h"

namespace heatherspan {
namespace {

constexpr auto kLong = std::chrono::seconds(10);
constexpr InstanceId kServer{2};
constexpr InstanceId kClient{1};
constexpr InstanceId kAny{0};

auto Ask(const std::string& text) -> PeerRequest { return ChunkRequest{.hashes = {text}}; }
auto Reply(const std::string& text) -> PeerResponse { return ChunkResponse{.chunks = {text}}; }

auto TextOf(const PeerResult& result) -> std::string {
  if (!result.status.ok()) return result.status.ToString();
  return std::get<ChunkResponse>(result.response).chunks.at(0);
}

struct ServerCall {
  InstanceId sender;
  PeerRequest request;
  PeerServer::Responder respond;

  auto text() const -> std::string { return std::get<ChunkRequest>(request).hashes.at(0); }
};

/// One side of a link that the test drives by hand.
class RawPeer {
 public:
  RawPeer(RawSocket socket, LinkHandshake::Role role, InstanceId self,
          const std::string& key = "key")
      : socket_(std::move(socket)), self_(self), key_(key), handshake_(role, key_, self) {
    if (role == LinkHandshake::Role::kClient) {
      socket_.Send(handshake_.hello());
      const auto answer = socket_.ReadSize(LinkHandshake::kHelloBytes + LinkHandshake::kProofBytes);
      if (!handshake_.OnHello(answer.substr(0, LinkHandshake::kHelloBytes)).ok()) return;
      socket_.Send(handshake_.Proof());
    } else {
      if (!handshake_.OnHello(socket_.ReadSize(LinkHandshake::kHelloBytes)).ok()) return;
      socket_.Send(handshake_.hello() + handshake_.Proof());
      socket_.ReadSize(LinkHandshake::kProofBytes);
    }
  }

  template <class Message>
  auto Frame(std::uint64_t correlation, std::uint64_t sequence, const Message& message) const
      -> std::string {
    auto frame = PeerLink::BeginFrame(correlation);
    AppendMessage(message, frame);
    SealEnvelope(handshake_.MakeSendKey(), self_, sequence, frame);
    return frame;
  }

  /// Reads one frame without looking into it.
  auto ReadFrame() const -> std::string {
    auto bytes = socket_.ReadSize(kEnvelopeHeaderBytes);
    const auto header = ReadEnvelopeHeader(bytes);
    if (!header.ok()) return bytes;
    return bytes + socket_.ReadSize(header->payload_bytes + kEnvelopeBytes - bytes.size());
  }

  auto socket() -> RawSocket& { return socket_; }

 private:
  RawSocket socket_;
  InstanceId self_;
  AuthenticationKey key_;
  LinkHandshake handshake_;
};

class PeerLinkTest : public testing::Test {
 protected:
  PeerLinkTest() {
    const auto bound = server_->Listen({"127.0.0.1", 0});
    EXPECT_TRUE(bound.ok()) << bound.status();
    endpoint_ = *bound;
  }

  ~PeerLinkTest() override {
    client_.reset();
    server_.reset();
    workers_.Stop();
  }

  auto Call(const Endpoint& peer, const PeerRequest& request, InstanceId expected = kServer,
            Duration timeout = kLong) -> void {
    client_->Call(peer, expected, request, timeout,
                  [this](PeerResult result) { results_.Push(std::move(result)); });
  }

  auto Result() -> PeerResult {
    return results_.Pop().value_or(PeerResult{absl::InternalError("no result"), {}, {}});
  }

  /// Calls the server and answers, to show that the link works.
  auto ExpectWorkingLink() -> void {
    Call(endpoint_, Ask("works"));
    auto call = calls_.Pop();
    ASSERT_TRUE(call.has_value());
    call->respond(Reply("yes"));
    EXPECT_EQ(TextOf(Result()), "yes");
  }

  BlockingQueue<ServerCall> calls_;
  BlockingQueue<PeerResult> results_;
  WorkerPool workers_{2};
  std::unique_ptr<PeerServer> server_ = std::make_unique<PeerServer>(
      workers_, kServer, "key",
      [this](InstanceId sender, PeerRequest request, PeerServer::Responder respond) {
        calls_.Push({sender, std::move(request), std::move(respond)});
      });
  std::unique_ptr<PeerClient> client_ = std::make_unique<PeerClient>(workers_, kClient, "key");
  Endpoint endpoint_;
};

TEST_F(PeerLinkTest, AnswersInAnyOrderReachTheirOwnCalls) {
  constexpr int kCalls = 200;
  BlockingQueue<std::pair<std::string, PeerResult>> answers;
  for (int i = 0; i < kCalls; ++i) {
    const auto text = std::to_string(i) + std::string(i % 10 == 0 ? 100'000 : 0, 'x');
    client_->Call(endpoint_, kServer, Ask(text), kLong, [&answers, text](PeerResult result) {
      answers.Push({text, std::move(result)});
    });
  }
  std::vector<ServerCall> held;
  for (int i = 0; i < kCalls; ++i) {
    auto call = calls_.Pop();
    ASSERT_TRUE(call.has_value());
    EXPECT_EQ(call->sender, kClient);
    held.push_back(*std::move(call));
  }
  EXPECT_EQ(server_->active_requests(), static_cast<std::size_t>(kCalls));
  for (auto call = held.rbegin(); call != held.rend(); ++call) {
    call->respond(Reply(call->text()));
    // A second answer must not reach anybody.
    call->respond(Reply("second"));
  }
  for (int i = 0; i < kCalls; ++i) {
    const auto answer = answers.Pop();
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->second.progress, SendProgress::kCompleted);
    ASSERT_EQ(TextOf(answer->second), answer->first);
  }
  EXPECT_EQ(server_->active_requests(), 0U);
}

TEST_F(PeerLinkTest, WritesNothingToAnotherInstance) {
  Call(endpoint_, Ask("a"), InstanceId(99));
  const auto result = Result();
  EXPECT_EQ(result.status.code(), absl::StatusCode::kFailedPrecondition) << result.status;
  EXPECT_EQ(result.progress, SendProgress::kNothingWritten);
  ExpectWorkingLink();
  // The link is up now and its instance known.
  Call(endpoint_, Ask("b"), InstanceId(99));
  EXPECT_EQ(Result().progress, SendProgress::kNothingWritten);
  EXPECT_EQ(calls_.size(), 0U);
}

TEST_F(PeerLinkTest, WritesNothingToAPeerWithoutTheKey) {
  PeerClient stranger(workers_, kClient, "other");
  stranger.Call(endpoint_, kAny, Ask("a"), kLong,
                [this](PeerResult result) { results_.Push(std::move(result)); });
  const auto result = Result();
  EXPECT_EQ(result.status.code(), absl::StatusCode::kUnauthenticated) << result.status;
  EXPECT_EQ(result.progress, SendProgress::kNothingWritten);
  // A client that does not check the server's proof fails by its own.
  RawPeer raw(RawSocket::Connect(endpoint_), LinkHandshake::Role::kClient, kClient, "other");
  raw.socket().Send(raw.Frame(1, 0, Ask("a")));
  raw.socket().ReadUntilClosed();
  EXPECT_EQ(server_->rejected_frames(), 1U);
  EXPECT_EQ(calls_.size(), 0U);
}

TEST_F(PeerLinkTest, RefusesReplayedAndMalformedFrames) {
  RawPeer first(RawSocket::Connect(endpoint_), LinkHandshake::Role::kClient, kClient);
  const auto frame = first.Frame(1, 0, Ask("a"));
  first.socket().Send(frame);
  auto call = calls_.Pop();
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(call->text(), "a");
  first.socket().Send(frame);
  first.socket().ReadUntilClosed();
  EXPECT_EQ(server_->rejected_frames(), 1U) << "replayed on its own link";

  RawPeer second(RawSocket::Connect(endpoint_), LinkHandshake::Role::kClient, kClient);
  second.socket().Send(frame);
  second.socket().ReadUntilClosed();
  EXPECT_EQ(server_->rejected_frames(), 2U) << "replayed on another link";

  RawPeer third(RawSocket::Connect(endpoint_), LinkHandshake::Role::kClient, kClient);
  auto too_long = third.Frame(1, 0, Ask("a")).substr(0, kEnvelopeHeaderBytes);
  too_long[kEnvelopeHeaderBytes - 1] = '\x7f';
  third.socket().Send(too_long);
  third.socket().ReadUntilClosed();
  EXPECT_EQ(server_->rejected_frames(), 3U) << "a length above the limit";

  RawPeer fourth(RawSocket::Connect(endpoint_), LinkHandshake::Role::kClient, kClient);
  fourth.socket().Send(fourth.Frame(1, 0, Datagram(ShareGrant{})));
  fourth.socket().ReadUntilClosed();
  EXPECT_EQ(server_->rejected_frames(), 4U) << "authenticated, but no request";

  auto garbage = RawSocket::Connect(endpoint_);
  garbage.Send(std::string(64, 'x'));
  garbage.ReadUntilClosed();
  EXPECT_EQ(server_->rejected_frames(), 5U) << "no handshake";
  EXPECT_EQ(calls_.size(), 0U);
}

TEST_F(PeerLinkTest, DropsTheLateAnswerOfAnExpiredCall) {
  ExpectWorkingLink();
  Call(endpoint_, Ask("slow"), kServer, std::chrono::milliseconds(300));
  auto slow = calls_.Pop();
  ASSERT_TRUE(slow.has_value());
  const auto expired = Result();
  EXPECT_EQ(expired.status.code(), absl::StatusCode::kDeadlineExceeded) << expired.status;
  EXPECT_EQ(expired.progress, SendProgress::kWritten);
  slow->respond(Reply("late"));
  ExpectWorkingLink();
  EXPECT_EQ(results_.size(), 0U);
}

TEST_F(PeerLinkTest, CallsWithoutALinkWriteNothing) {
  Endpoint gone;
  {
    const RawListener listener;
    gone = listener.endpoint();
  }
  Call(gone, Ask("a"));
  auto result = Result();
  EXPECT_EQ(result.status.code(), absl::StatusCode::kUnavailable) << result.status;
  EXPECT_EQ(result.progress, SendProgress::kNothingWritten);

  const RawListener silent;
  Call(silent.endpoint(), Ask("a"), kAny, std::chrono::milliseconds(50));
  result = Result();
  EXPECT_EQ(result.status.code(), absl::StatusCode::kDeadlineExceeded) << result.status;
  EXPECT_EQ(result.progress, SendProgress::kNothingWritten);

  const RawListener closing;
  Call(closing.endpoint(), Ask("a"));
  closing.Accept().Close();
  EXPECT_EQ(Result().progress, SendProgress::kNothingWritten);

  ForwardRequest too_long;
  too_long.body = std::string(kMaxFrameBytes, 'x');
  Call(endpoint_, too_long);
  result = Result();
  EXPECT_EQ(result.status.code(), absl::StatusCode::kInvalidArgument) << result.status;
  EXPECT_EQ(result.progress, SendProgress::kNothingWritten);
}

TEST_F(PeerLinkTest, LinkCutWithinAFrameFailsItsCallsAndTheNextCallReconnects) {
  const RawListener listener;
  Call(listener.endpoint(), Ask("a"));
  RawPeer peer(listener.Accept(), LinkHandshake::Role::kServer, kServer);
  peer.ReadFrame();
  const auto answer = peer.Frame(1, 0, Reply("half"));
  peer.socket().Send(answer.substr(0, answer.size() / 2));
  peer.socket().Close();
  const auto lost = Result();
  EXPECT_EQ(lost.status.code(), absl::StatusCode::kUnavailable) << lost.status;
  EXPECT_EQ(lost.progress, SendProgress::kWritten);

  Call(listener.endpoint(), Ask("b"));
  RawPeer again(listener.Accept(), LinkHandshake::Role::kServer, kServer);
  again.ReadFrame();
  // The correlation id is not that of the lost call.
  again.socket().Send(again.Frame(1, 0, Reply("old")) + again.Frame(2, 1, Reply("new")));
  EXPECT_EQ(TextOf(Result()), "new");
}

// A peer that does not read: what is still queued was not written, and the call that was being
// written was.
TEST_F(PeerLinkTest, TellsQueuedCallsFromWrittenOnes) {
  const RawListener listener;
  ForwardRequest large;
  large.body = std::string(kMaxFrameBytes - 1000, 'x');
  BlockingQueue<std::pair<int, PeerResult>> ended;
  for (int i = 0; i < 2; ++i) {
    client_->Call(listener.endpoint(), kServer, large, kLong, [&ended, i](PeerResult result) {
      ended.Push({i, std::move(result)});
    });
  }
  RawPeer peer(listener.Accept(), LinkHandshake::Role::kServer, kServer);
  peer.socket().ReadSize(1);
  peer.socket().Close();
  for (int i = 0; i < 2; ++i) {
    const auto end = ended.Pop();
    ASSERT_TRUE(end.has_value());
    EXPECT_EQ(end->second.status.code(), absl::StatusCode::kUnavailable) << end->second.status;
    EXPECT_EQ(end->second.progress,
              end->first == 0 ? SendProgress::kWritten : SendProgress::kNothingWritten);
  }
}

// Guards against memory that grows while a peer does not answer the handshake.
TEST_F(PeerLinkTest, BoundsTheCallsThatWaitForALink) {
  const RawListener silent;
  ForwardRequest large;
  large.body = std::string(kMaxFrameBytes - 1000, 'x');
  constexpr std::size_t kFit = PeerLink::kMaxQueuedBytes / kMaxFrameBytes;
  for (std::size_t i = 0; i <= kFit; ++i) Call(silent.endpoint(), large);
  const auto refused = Result();
  EXPECT_EQ(refused.status.code(), absl::StatusCode::kResourceExhausted) << refused.status;
  EXPECT_EQ(refused.progress, SendProgress::kNothingWritten);
  client_->Stop();
  for (std::size_t i = 0; i < kFit; ++i) {
    const auto stopped = Result();
    EXPECT_EQ(stopped.status.code(), absl::StatusCode::kCancelled) << stopped.status;
    EXPECT_EQ(stopped.progress, SendProgress::kNothingWritten);
  }
}

TEST_F(PeerLinkTest, CancelRequestsHaveNoAnswer) {
  Call(endpoint_, CancelRequest{RequestId("r")});
  const auto call = calls_.Pop();
  ASSERT_TRUE(call.has_value());
  EXPECT_EQ(std::get<CancelRequest>(call->request).request_id, RequestId("r"));
  EXPECT_TRUE(Result().status.ok());
  EXPECT_EQ(server_->active_requests(), 0U);
}

TEST_F(PeerLinkTest, StopEndsPendingCalls) {
  Call(endpoint_, Ask("a"));
  const auto call = calls_.Pop();
  ASSERT_TRUE(call.has_value());
  client_->Stop();
  const auto result = Result();
  EXPECT_EQ(result.status.code(), absl::StatusCode::kCancelled);
  EXPECT_EQ(result.progress, SendProgress::kWritten);
  Call(endpoint_, Ask("b"));
  EXPECT_EQ(Result().progress, SendProgress::kNothingWritten);
}

}  // namespace
}  // namespace heatherspan
