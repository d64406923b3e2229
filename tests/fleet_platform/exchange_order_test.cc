#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>
#include <latch>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "blocking_queue.h"
#include "exchange_play.h"
#include "fmt/format.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "platform/request_format.h"
#include "scripted_peer.h"

namespace heatherspan {
namespace {

constexpr auto kLong = std::chrono::seconds(10);
constexpr auto kShort = std::chrono::milliseconds(15);

auto IsNotRun(AttemptOutcome outcome) -> bool { return VerdictOf(outcome) == Verdict::kNotRun; }

struct Parameters {
  std::size_t previous;
  std::size_t workers;
};

/// Plays orders of events on a connection to a target, and compares what the client says of a
/// request with the target's ledger.
class ExchangeOrderTest : public testing::TestWithParam<Parameters> {
 protected:
  ExchangeOrderTest() : workers_(GetParam().workers) {}
  ~ExchangeOrderTest() override { workers_.Stop(); }

  auto previous() const -> const Previous& { return AllPrevious()[GetParam().previous]; }

  auto Run(const Play& play) -> void {
    if (!play.IsPossible()) return;
    ++played_;
    SCOPED_TRACE(play.Name());
    HttpClient::Limits limits;
    limits.accept_unframed_responses = true;
    limits.forward_host = true;
    limits.correlation_header = RequestFormat::CorrelationHeader();
    client_ = std::make_unique<HttpClient>(workers_, limits);
    peer_ = std::make_unique<ScriptedPeer>(listener_);
    UseConnection(play);
    const auto result = PlayRequest(play);
    if (!result.has_value()) {
      ADD_FAILURE() << "no result";
    } else {
      Check(play, *result);
    }
    // The client's idle connection, too, ends by a reset.
    peer_->socket().Reset();
    client_.reset();
    peer_.reset();
  }

  auto Send(const std::string& id, const std::string& body, Duration timeout)
      -> std::shared_ptr<HttpClient::Exchange> {
    HttpRequest request;
    request.method = "POST";
    request.headers = {{"Host", "h.example"}, {RequestFormat::CorrelationHeader(), id}};
    request.body = body;
    peer_->ForgetEnd();
    return client_->Send(peer_->endpoint(), std::move(request), timeout, [this](HttpResult result) {
      peer_->NotifyEnd();
      results_.Push(std::move(result));
    });
  }

  auto UseConnection(const Play& play) -> void {
    if (!play.previous.answer.has_value()) return;
    Send("previous", std::string(kSmallBody), kLong);
    peer_->AwaitRequest();
    peer_->ReadHead();
    peer_->socket().ReadSize(kSmallBody.size());
    const bool with_extra = play.when == When::kWithPrevious;
    peer_->socket().Send(AnswerText(*play.previous.answer, "previous") +
                         (with_extra ? play.ExtraBytes() : ""));
    const auto result = results_.Pop();
    EXPECT_TRUE(result.has_value() &&
                RequestFormat::ReadReply(*result).end == play.previous.answer->end);
    if (with_extra) peer_->SendUntilClosed("");
    if (play.when == When::kIdle) peer_->SendUntilClosed(play.ExtraBytes());
    if (play.when == When::kIdleUnseen) peer_->socket().Send(play.ExtraBytes());
  }

  /// Plays the request under test and returns its result.
  auto PlayRequest(const Play& play) -> std::optional<HttpResult> {
    const auto sent = std::chrono::steady_clock::now();
    exchange_ = Send("this", play.large ? std::string(kLargeBytes, 'x') : std::string(kSmallBody),
                     play.stop == Stop::kDeadline ? Duration(kShort) : Duration(kLong));
    if (play.stop_at == When::kIdle) exchange_->Cancel();
    if (play.script.read == Read::kNothing && peer_->socket().descriptor() >= 0) {
      peer_->socket().Reset();
    }
    on_used_ = play.previous.answer.has_value();
    if (peer_->AwaitRequest() == ScriptedPeer::Input::kRequest) {
      on_used_ = on_used_ && peer_->connections() == 1;
      if (play.script.read == Read::kNothing) {
        peer_->socket().Reset();
      } else {
        AnswerRequest(play, sent);
      }
    }
    // A client that sent the request once more would be served.
    while (peer_->AwaitNewConnection() == ScriptedPeer::Input::kRequest) {
      if (!peer_->ReadHead().empty()) peer_->Run("this");
      peer_->socket().Send(AnswerText(kServed, "this"));
    }
    auto result = results_.Pop();
    if (play.when == When::kAfterOwn) peer_->SendUntilClosed(play.ExtraBytes());
    const bool half_read = play.large && play.script.read < Read::kAll;
    if (play.when == When::kWithOwn || half_read) peer_->SendUntilClosed("");
    return result;
  }

  auto OnPoint(const Play& play, When point) -> void {
    if (play.when == point && on_used_) peer_->socket().Send(play.ExtraBytes());
    if (play.stop == Stop::kCancel && play.stop_at == point) exchange_->Cancel();
  }

  auto AnswerRequest(const Play& play, std::chrono::steady_clock::time_point sent) -> void {
    const auto& script = play.script;
    OnPoint(play, When::kFirstByte);
    if (script.read >= Read::kHead) {
      const bool has_head = peer_->ReadHead() == "this";
      OnPoint(play, When::kHead);
      const auto size = play.large ? kLargeBytes : kSmallBody.size();
      const bool has_all =
          script.read == Read::kAll && peer_->socket().ReadSize(size).size() == size;
      if (script.runs && has_head && (has_all || script.read == Read::kHead)) peer_->Run("this");
      OnPoint(play, When::kRequest);
    }
    const auto answer =
        AnswerText(script, "this") + (play.when == When::kWithOwn ? play.ExtraBytes() : "");
    if (play.stop_at == When::kWithOwn) {
      SendWithStop(play, answer, sent);
    } else {
      peer_->socket().Send(answer);
    }
    if (play.end == End::kFin) peer_->socket().Shutdown();
    if (play.end == End::kReset) peer_->socket().Reset();
  }

  /// Holds the workers until both the answer and the stop are there.
  auto SendWithStop(const Play& play, const std::string& answer,
                    std::chrono::steady_clock::time_point sent) -> void {
    const auto count = static_cast<std::ptrdiff_t>(GetParam().workers);
    const auto held = std::make_shared<std::latch>(count);
    const auto released = std::make_shared<std::latch>(1);
    for (std::ptrdiff_t i = 0; i < count; ++i) {
      workers_.Post([held, released] {
        held->count_down();
        released->wait();
      });
    }
    held->wait();
    peer_->socket().Send(answer);
    if (play.stop == Stop::kCancel) exchange_->Cancel();
    if (play.stop == Stop::kDeadline) std::this_thread::sleep_until(sent + kShort);
    released->count_down();
  }

  auto Check(const Play& play, const HttpResult& result) -> void {
    const auto end = RequestFormat::ReadReply(result).end;
    const auto next = PlayNext();
    EXPECT_FALSE(IsNotRun(end) && peer_->runs("this") > 0) << "ran, " << static_cast<int>(end);
    EXPECT_LE(peer_->runs("this"), 1);
    EXPECT_LE(peer_->arrivals("this"), 1);
    if (end == AttemptOutcome::kSucceeded || end == AttemptOutcome::kFailed) {
      EXPECT_EQ(result.response.body, BodyFor("this"));
      EXPECT_EQ(result.response.status, play.script.answer.status);
      const auto signature = result.response.Header("Heatherspan-Response-Signature");
      EXPECT_TRUE(signature.empty() || signature == SignatureFor("this")) << signature;
    }
    const bool undisturbed =
        (play.extra == Extra::kNone || play.when >= When::kWithOwn || play.when <= When::kIdle) &&
        play.end != End::kReset && play.stop == Stop::kNone;
    if (undisturbed) {
      const bool known =
          play.IsAnswered() && (!on_used_ || play.script.answer.fields.starts_with('I'));
      EXPECT_EQ(end, known ? play.script.answer.end : AttemptOutcome::kLost);
    }
    ASSERT_TRUE(next.has_value());
    EXPECT_TRUE(next->status.ok()) << next->status;
    EXPECT_EQ(next->response.body, BodyFor("next"));
    EXPECT_EQ(RequestFormat::ReadReply(*next).end, AttemptOutcome::kSucceeded);
    EXPECT_EQ(results_.size(), 0U);
  }

  /// Serves a following request; whatever else arrives runs.
  auto PlayNext() -> std::optional<HttpResult> {
    Send("next", std::string(kSmallBody), kLong);
    while (peer_->AwaitRequest() == ScriptedPeer::Input::kRequest) {
      const auto id = peer_->ReadHead();
      if (id == "next") {
        peer_->socket().ReadSize(kSmallBody.size());
        peer_->socket().Send(AnswerText(kServed, id));
        break;
      }
      if (!id.empty()) peer_->Run(id);
      peer_->socket().Reset();
    }
    return results_.Pop();
  }

  auto Report() const -> void {
    RecordProperty("combinations", played_);
    std::cout << "combinations: " << played_ << "\n";
  }

  WorkerPool workers_;
  BlockingQueue<HttpResult> results_;
  RawListener listener_;
  std::unique_ptr<ScriptedPeer> peer_;
  std::unique_ptr<HttpClient> client_;
  std::shared_ptr<HttpClient::Exchange> exchange_;
  bool on_used_ = false;  ///< The request came on a connection that was used before.
  int played_ = 0;
};

TEST_P(ExchangeOrderTest, ExtraBytesAndEnds) {
  for (const auto& script : AllScripts()) {
    for (const bool large : {false, true}) {
      for (const auto end : {End::kKeep, End::kFin, End::kReset}) {
        Run({.previous = previous(), .script = script, .large = large, .end = end});
        for (int extra = 1; extra <= static_cast<int>(Extra::kCopyOfOwn); ++extra) {
          for (int when = 1; when <= static_cast<int>(When::kAfterOwn); ++when) {
            Run({.previous = previous(),
                 .script = script,
                 .large = large,
                 .extra = static_cast<Extra>(extra),
                 .when = static_cast<When>(when),
                 .end = end});
          }
        }
      }
    }
  }
  Report();
}

TEST_P(ExchangeOrderTest, CancelsAndDeadlines) {
  for (const auto& script : AllScripts()) {
    for (const bool large : {false, true}) {
      for (const auto extra : {Extra::kNone, Extra::kCopyOfPrevious, Extra::kShed}) {
        const auto when = extra == Extra::kNone ? When::kNever : When::kRequest;
        Play play{
            .previous = previous(), .script = script, .large = large, .extra = extra, .when = when};
        play.stop = Stop::kCancel;
        for (const auto point :
             {When::kIdle, When::kFirstByte, When::kHead, When::kRequest, When::kWithOwn}) {
          play.stop_at = point;
          Run(play);
        }
        play.stop = Stop::kDeadline;
        for (const auto point : {When::kNever, When::kWithOwn}) {
          play.stop_at = point;
          Run(play);
        }
      }
    }
  }
  Report();
}

// Guards against the head of an answer that goes on where an extra answer has broken off.
TEST_P(ExchangeOrderTest, AnswersBehindEachPartOfAnExtraAnswer) {
  if (!previous().answer.has_value()) return;
  const auto size = AnswerText(*previous().answer, "previous").size();
  for (const auto& script : AllScripts()) {
    if (script.form != Form::kWhole || script.read != Read::kAll) continue;
    for (std::size_t cut = 1; cut < size; ++cut) {
      Run({.previous = previous(),
           .script = script,
           .extra = Extra::kHalfCopy,
           .when = When::kRequest,
           .end = End::kFin,
           .cut = cut});
    }
  }
  Report();
}

auto AllParameters() -> std::vector<Parameters> {
  std::vector<Parameters> all;
  for (std::size_t previous = 0; previous < AllPrevious().size(); ++previous) {
    all.push_back({previous, 1});
    // Several workers make an order uncertain; one case of each kind of connection will do.
    if (previous < 3) all.push_back({previous, 3});
  }
  return all;
}

auto NameOf(const testing::TestParamInfo<Parameters>& info) -> std::string {
  std::string name(AllPrevious()[info.param.previous].name);
  std::ranges::replace(name, ' ', '_');
  return fmt::format("After_{}_{}_workers", name, info.param.workers);
}

INSTANTIATE_TEST_SUITE_P(Connections, ExchangeOrderTest, testing::ValuesIn(AllParameters()),
                         NameOf);

}  // namespace
}  // namespace heatherspan
