#include "platform/store_client.h"

#include <gtest/gtest.h>

#include <future>

#include "net/http_server.h"
#include "net/worker_pool.h"
#include "raw_socket.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs a store that answers each call with the scripted response and records the last request.
class StoreClientTest : public testing::Test {
 protected:
  StoreClientTest()
      : server_(workers_, {},
                [this](const HttpRequest& request, const HttpServer::Responder& respond) {
                  last_ = request;
                  asked_at_ = BootClock().Now();
                  HttpResponse response;
                  response.status = status_;
                  response.headers = answer_headers_;
                  response.body = body_;
                  respond(std::move(response));
                }),
        server_endpoint_(*server_.Listen({"127.0.0.1", 0})),
        store_(client_, server_endpoint_) {}

  ~StoreClientTest() override { workers_.Stop(); }

  auto Answer(int status, std::string body) -> void {
    status_ = status;
    body_ = std::move(body);
  }

  /// Makes a call and waits for its result.
  template <class Result, class Call>
  auto ResultOf(Call call) -> Result {
    std::promise<Result> promise;
    call([&promise](Result result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
  }
  auto List() -> absl::StatusOr<StorePage> {
    return ResultOf<absl::StatusOr<StorePage>>([this](auto done) { store_.List("a b/c", done); });
  }
  auto Watch() -> absl::StatusOr<StoreChanges> {
    return ResultOf<absl::StatusOr<StoreChanges>>(
        [this](auto done) { store_.Watch(41, milliseconds(1500), done); });
  }

  WorkerPool workers_{1};
  HttpClient client_{workers_, {}};
  int status_ = 200;
  std::string body_;
  std::vector<HeaderField> answer_headers_;
  HttpRequest last_;
  BootTime asked_at_;  ///< When the last request has arrived.
  HttpServer server_;
  Endpoint server_endpoint_;
  StoreClient store_;
};

TEST_F(StoreClientTest, ReadsAPage) {
  Answer(200, R"({"items":[{"key":"k","value":"dmFs","revision":7,"created":7,"lease":0},
                  {"key":"bad","value":"***","revision":8},{"value":"x"},3],"has_more":true,"current_rev":9})");
  const auto page = List();
  ASSERT_TRUE(page.ok()) << page.status();
  EXPECT_EQ(last_.target, "/heatherspan/kv-range?path_prefix=&after=a%20b/c");
  ASSERT_EQ(page->items.size(), 2U);
  EXPECT_EQ(page->items[0].value, "val");
  EXPECT_EQ(page->items[1].value, "");
  EXPECT_TRUE(page->more);
  EXPECT_EQ(page->revision, 9U);
}

TEST_F(StoreClientTest, ReadsChanges) {
  Answer(200, R"({"events":[{"key":"k","revision":42,"tombstone":true}],"current_rev":42})");
  const auto changes = Watch();
  ASSERT_TRUE(changes.ok()) << changes.status();
  EXPECT_EQ(last_.target, "/heatherspan/kv-watch?path_prefix=&after=41&wait_ms=1500");
  ASSERT_EQ(changes->changes.size(), 1U);
  EXPECT_FALSE(changes->changes[0].value.has_value());
}

// Guards against a failure that is read as an empty result, and against discarded history that is
// read as an outage.
TEST_F(StoreClientTest, MapsHttpStatusToErrorCode) {
  Answer(410, "{}");
  EXPECT_TRUE(absl::IsOutOfRange(Watch().status()));
  for (const int status : {429, 500, 503}) {
    Answer(status, "{}");
    EXPECT_TRUE(absl::IsUnavailable(Watch().status())) << status;
  }
  Answer(200, "not json");
  EXPECT_TRUE(absl::IsUnavailable(List().status()));
}

// Guards against an answer that is too large and is taken for a store that doesn't answer, and the
// other way round.
TEST_F(StoreClientTest, TellsAnAnswerThatIsTooLarge) {
  const auto watch = [&](HttpClient::Limits limits) {
    HttpClient client(workers_, std::move(limits));
    StoreClient store(client, server_endpoint_);
    return ResultOf<absl::StatusOr<StoreChanges>>(
               [&](auto done) { store.Watch(1, Duration::zero(), done); })
        .status();
  };
  Answer(200, R"({"events":[],"current_rev":41})");
  EXPECT_TRUE(watch({.max_response_bytes = body_.size()}).ok());
  EXPECT_TRUE(absl::IsResourceExhausted(watch({.max_response_bytes = body_.size() - 1})));
  EXPECT_TRUE(absl::IsUnavailable(watch({.max_connections_per_endpoint = 0})));
}

// Guards against an answer that takes too long on the link and is taken for a store that doesn't
// answer, and against a small one that is taken for too large.
TEST_F(StoreClientTest, TellsAnAnswerThatArrivesInPart) {
  const RawListener listener;
  StoreClient store(client_, listener.endpoint());
  const auto watch = [&](const std::string& length) {
    std::promise<absl::Status> promise;
    store.Watch(1, Duration::zero(), [&](const absl::StatusOr<StoreChanges>& changes) {
      promise.set_value(changes.status());
    });
    const auto connection = listener.Accept();
    connection.ReadUntil("\r\n\r\n");
    connection.Send("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n{");
    return promise.get_future().get();
  };
  EXPECT_TRUE(absl::IsDeadlineExceeded(watch("100000")));
  EXPECT_TRUE(absl::IsUnavailable(watch("1000")));
}

/// A crash and an answer.
auto CrashReports() -> std::vector<CrashReport> {
  const RequestDigest digest(0xfedcba9876543210U, 0x123456789abcdefU);
  const TargetCrash crash{TargetName("i-1"), 1'700'000'000'000, {"10.1.2.3", 80}};
  return {{digest, crash, milliseconds(1200), milliseconds(45), 0.25, NodeName("vm-a")},
          {digest, std::nullopt, milliseconds(7), Duration::zero(), 1, NodeName("vm-b")}};
}

// Guards against a peer's answer that the client of the store reads differently, and against a
// question that is taken for another call.
TEST_F(StoreClientTest, ReadsThePeersAnswers) {
  const std::vector<StoreChange> changes = {{"k", "val", 42}, {"gone", std::nullopt, 43}};
  PeerNews news;
  news.limits = {{TargetName("i-1"), RequestsPerSecond(2.5), seconds(1)}};
  news.crashes = CrashReports();
  news.crash_checksum = 12'345'678'901'234'567'890U;
  auto answer =
      StoreClient::WatchAnswer(changes, {StoreEra(3), 44}, milliseconds(2500), seconds(7), news);
  Answer(answer.status, answer.body);
  const auto read = Watch();
  ASSERT_TRUE(read.ok()) << read.status();
  ASSERT_EQ(read->changes.size(), 2U);
  EXPECT_EQ(read->changes[0].value, "val");
  EXPECT_EQ(read->changes[1].key, "gone");
  EXPECT_FALSE(read->changes[1].value.has_value());
  EXPECT_EQ(read->revision, 44U);
  EXPECT_EQ(read->age, milliseconds(2500));
  EXPECT_EQ(read->contact_age, seconds(7));
  EXPECT_EQ(read->news, news);
  EXPECT_EQ(StoreClient::WatchedPosition(last_)->revision, 41U);
  EXPECT_FALSE(StoreClient::IsListCall(last_));
  answer = StoreClient::WatchAnswer(std::nullopt, {StoreEra(3), 44}, Duration::zero(),
                                    Duration::zero(), {});
  Answer(answer.status, answer.body);
  EXPECT_TRUE(absl::IsOutOfRange(Watch().status()));
  for (const auto* target : {"/heatherspan/kv-watch?after=-1", "/heatherspan/kv-watch",
                             "/heatherspan/kv-range?after=4", "/?after=4"}) {
    HttpRequest request;
    request.target = target;
    EXPECT_FALSE(StoreClient::WatchedPosition(request).has_value()) << target;
  }
}

// Guards against a large value that a peer packs for a build that can't read it, or that comes back
// changed.
TEST_F(StoreClientTest, LargeValuesOfPeersArePackedForThoseThatReadThem) {
  const std::vector<StoreChange> changes = {{"large", std::string(100'000, 'x'), 43},
                                            {"small", "val", 44}};
  PackedValues packed_values;
  const auto body = [&](PackedValues* packed) {
    return StoreClient::WatchAnswer(changes, {StoreEra(3), 44}, {}, {}, {}, std::nullopt, packed)
        .body;
  };
  const auto ask = [&] {
    return ResultOf<absl::StatusOr<StoreChanges>>([&](auto done) {
      store_.AskPeer({StoreEra(3), 41}, {}, 100'000, StoreClient::kCallTimeout, done);
    });
  };
  for (auto* packed : {static_cast<PackedValues*>(nullptr), &packed_values, &packed_values}) {
    Answer(200, body(packed));
    const auto read = ask();
    ASSERT_TRUE(read.ok()) << read.status();
    ASSERT_EQ(read->changes.size(), 2U);
    EXPECT_EQ(read->changes[0].value, changes[0].value);
    EXPECT_EQ(read->changes[1].value, changes[1].value);
  }
  EXPECT_TRUE(StoreClient::ReadsPacked(last_));
  EXPECT_LT(body(&packed_values).size(), 2000U);
  HttpRequest earlier;
  earlier.target = "/heatherspan/kv-watch?path_prefix=&after=41&wait_ms=0&era=3";
  EXPECT_FALSE(StoreClient::ReadsPacked(earlier));
  EXPECT_EQ(StoreClient::WatchedPosition(last_)->revision, 41U);
}

// Guards against changes that were left out of an answer and count as known.
TEST_F(StoreClientTest, WithheldChangesShowNothingOfTheState) {
  PeerNews news;
  news.crash_checksum = 7;
  const auto withheld = StoreClient::WithheldAnswer({StoreEra(3), 41}, {StoreEra(3), 44}, news);
  Answer(withheld.status, withheld.body);
  const auto read = ResultOf<absl::StatusOr<StoreChanges>>([&](auto done) {
    store_.AskPeer({StoreEra(3), 41}, {}, 100'000, StoreClient::kCallTimeout, done);
  });
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_TRUE(read->are_withheld);
  EXPECT_TRUE(read->changes.empty());
  EXPECT_EQ(read->revision, 41U);
  EXPECT_EQ(read->proved_at, StateProof::kNever);
  EXPECT_EQ(read->news, news);
  EXPECT_EQ(StoreClient::MaxAnswerBytes(last_), 100'000U);
  HttpRequest earlier;
  earlier.target = "/heatherspan/kv-watch?path_prefix=&after=41&wait_ms=0&era=3";
  EXPECT_FALSE(StoreClient::MaxAnswerBytes(earlier).has_value());
}

// Guards against changes that count as complete without a value that could not be read.
TEST_F(StoreClientTest, APeersAnswerWithABrokenPackedValueIsDropped) {
  for (const auto* item : {R"("packed":"AA==","size":100)", R"("packed":"?","size":1)",
                           R"("packed":"AA==")", R"("packed":"AA==","size":99999999999)"}) {
    Answer(200,
           std::string(R"({"current_rev":44,"events":[{"key":"k","revision":44,)") + item + "}]}");
    const auto read = ResultOf<absl::StatusOr<StoreChanges>>([&](auto done) {
      store_.AskPeer({StoreEra(3), 41}, {}, 100'000, StoreClient::kCallTimeout, done);
    });
    EXPECT_TRUE(absl::IsUnavailable(read.status())) << item;
  }
}

// Guards against a state that counts as proved for the time of an answer, which may have been made
// long before, and against a peer that is taken at its word without having given any.
TEST_F(StoreClientTest, TellsUpToWhenChangesAreProved) {
  const auto ask = [&] {
    return ResultOf<absl::StatusOr<StoreChanges>>([&](auto done) {
      store_.AskPeer({StoreEra(3), 41}, {}, 100'000, StoreClient::kCallTimeout, done);
    });
  };
  const auto answer = [&](std::optional<Duration> proved_age) {
    const auto made = StoreClient::WatchAnswer(std::vector<StoreChange>(), {StoreEra(3), 41}, {},
                                               {}, {}, proved_age);
    Answer(made.status, made.body);
  };
  answer(std::nullopt);
  EXPECT_EQ(ask()->proved_at, StateProof::kNever);
  const auto before = BootClock().Now();
  const auto by_store = Watch()->proved_at;
  EXPECT_GE(by_store, before);
  EXPECT_LE(by_store, asked_at_);
  EXPECT_LE(List()->proved_at, asked_at_);
  answer(milliseconds(2500));
  const auto by_peer = ask()->proved_at;
  EXPECT_GE(by_peer, before - milliseconds(2500));
  EXPECT_LE(by_peer, asked_at_ - milliseconds(2500));
}

// Guards against a peer's state of unknown age, or of an age that can't be read, that counts as
// fresh.
TEST_F(StoreClientTest, APeerThatTellsNoAgeIsNotFresh) {
  const auto ask = [&] {
    return ResultOf<absl::StatusOr<StoreChanges>>([&](auto done) {
      store_.AskPeer({StoreEra(3), 41}, {}, 100'000, StoreClient::kCallTimeout, done);
    });
  };
  // The machine of a peer that started from another one's state has run for two days.
  const auto made = StoreClient::WatchAnswer(std::vector<StoreChange>(), {StoreEra(3), 41},
                                             std::chrono::hours(49), std::chrono::hours(1), {});
  Answer(made.status, made.body);
  EXPECT_GE(ask()->age, std::chrono::hours(24));
  for (const auto* age : {"", R"(,"state_age_s":null)", R"(,"state_age_s":-1)",
                          R"(,"state_age_s":"3")", R"(,"state_age_s":1e300)"}) {
    Answer(200, std::string(R"({"events":[],"current_rev":41)") + age + "}");
    EXPECT_GE(ask()->age, std::chrono::hours(24)) << age;
    EXPECT_GE(ask()->contact_age, std::chrono::hours(24)) << age;
  }
}

// Guards against limits that are lost or changed on their way to a peer, and against a call to the
// store that has them.
TEST_F(StoreClientTest, TellsPeersOfLimits) {
  const std::vector<LimitReport> reports = {
      {TargetName("i-1"), RequestsPerSecond(0.25), milliseconds(1200)},
      {TargetName("i 2&x"), std::nullopt, Duration::zero()}};
  const auto ask = [&](const std::vector<LimitReport>& told) {
    return ResultOf<absl::StatusOr<StoreChanges>>([&](auto done) {
      store_.AskPeer({StoreEra(3), 41}, {told, CrashReports(), 7}, 100'000,
                     StoreClient::kCallTimeout, done);
    });
  };
  Answer(200, R"({"events":[],"current_rev":41})");
  EXPECT_TRUE(ask({reports[0]}).ok());
  EXPECT_EQ(StoreClient::WatchedPosition(last_)->revision, 41U);
  EXPECT_EQ(StoreClient::WatchedPosition(last_)->era, StoreEra(3));
  EXPECT_EQ(StoreClient::NewsIn(last_).limits, std::vector<LimitReport>{reports[0]});
  EXPECT_EQ(StoreClient::NewsIn(last_).crashes, CrashReports());
  EXPECT_EQ(StoreClient::NewsIn(last_).crash_checksum, 7U);
  // A name that the text can't hold is left out.
  EXPECT_TRUE(ask({reports[1], reports[0]}).ok());
  EXPECT_EQ(StoreClient::NewsIn(last_).limits, std::vector<LimitReport>{reports[0]});
  EXPECT_TRUE(Watch().ok());
  EXPECT_TRUE(StoreClient::NewsIn(last_).limits.empty());
}

TEST_F(StoreClientTest, SendsLeaseCallsAndWrites) {
  Answer(200, R"({"lease":77,"ttl_s_time":3.5})");
  const auto lease =
      ResultOf<absl::StatusOr<StoreLease>>([this](auto done) { store_.Grant(seconds(3), done); });
  ASSERT_TRUE(lease.ok());
  EXPECT_EQ(lease->id, 77U);
  EXPECT_EQ(lease->lifetime, milliseconds(3500));
  EXPECT_EQ(last_.body, R"({"ttl_s_time":3.0})");
  Answer(404, "{}");
  EXPECT_TRUE(
      absl::IsNotFound(ResultOf<absl::Status>([this](auto done) { store_.KeepAlive(77, done); })));
  EXPECT_EQ(last_.target, "/heatherspan/kv-keep/77");
  Answer(200, R"({"revision":5})");
  EXPECT_TRUE(ResultOf<absl::Status>([this](auto done) { store_.Put("k", "val", 77, done); }).ok());
  EXPECT_EQ(last_.body,
            R"({"expected":[],"puts":[{"key":"k","lease":77,"value":"dmFs"}],"remove":[]})");
  EXPECT_TRUE(ResultOf<absl::Status>([this](auto done) { store_.Revoke(77, done); }).ok());
  EXPECT_EQ(last_.method, "DELETE");
}

// Guards against an era that is missed because an answer reports a failure, and against one that is
// made up from a field that can't be read.
TEST_F(StoreClientTest, TellsTheEraOfEachAnswer) {
  std::vector<StoreEra> eras;
  StoreClient store(client_, server_endpoint_,
                    [&](StoreEra era, MonotonicTime /*called_at*/) { eras.push_back(era); });
  const auto watch = [&] {
    return ResultOf<absl::StatusOr<StoreChanges>>(
        [&](auto done) { store.Watch(1, Duration::zero(), done); });
  };
  answer_headers_ = {{"Store-Era", "7"}};
  Answer(200, R"({"events":[],"current_rev":41})");
  EXPECT_EQ(watch()->era, StoreEra(7));
  answer_headers_ = {{"Heatherspan-Store-Era", " 8 "}};
  Answer(410, "{}");
  EXPECT_TRUE(absl::IsOutOfRange(watch().status()));
  Answer(503, "{}");
  EXPECT_TRUE(absl::IsUnavailable(watch().status()));
  EXPECT_EQ(eras, (std::vector<StoreEra>{StoreEra(7), StoreEra(8), StoreEra(8)}));
  for (const auto* value : {"", "-1", "1.5", "seven", "99999999999999999999999"}) {
    answer_headers_ = {{"Store-Era", value}};
    Answer(200, R"({"events":[],"current_rev":41})");
    EXPECT_EQ(watch()->era, StoreEra()) << value;
  }
  EXPECT_EQ(eras.size(), 3U);
  const auto listing = StoreClient::ListAnswer({{{"k", "v", 3}}, false, 5, StoreEra(9)});
  EXPECT_EQ(listing.Header("Store-Era"), "9");
}

}  // namespace
}  // namespace heatherspan
