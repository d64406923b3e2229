#include "platform/http_store.h"

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <string>
#include <thread>

#include "net/http_client.h"
#include "net/worker_pool.h"
#include "platform/platform_caller.h"
#include "platform/vm_list_client.h"
#include "standins/platform_host.h"
#include "standins/platform_standin.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The stand-in on loopback, on a thread of its own.
class PlatformOnLoopback {
 public:
  PlatformOnLoopback() : host_(context_, standin_) {
    service_ = host_.Listen({"127.0.0.1", 0}).value();
    control_ = host_.ListenControl({"127.0.0.1", 0}).value();
    thread_ = std::thread([this] { context_.run(); });
  }
  ~PlatformOnLoopback() {
    context_.stop();
    thread_.join();
  }
  PlatformOnLoopback(const PlatformOnLoopback&) = delete;
  auto operator=(const PlatformOnLoopback&) -> PlatformOnLoopback& = delete;

  auto service() const -> const Endpoint& { return service_; }
  auto control() const -> const Endpoint& { return control_; }

 private:
  boost::asio::io_context context_{1};
  PlatformStandin standin_;
  PlatformHost host_;
  Endpoint service_;
  Endpoint control_;
  std::thread thread_;
};

class HttpStoreTest : public testing::Test {
 protected:
  auto Control(const std::string& target, const std::string& body) -> HttpResponse {
    const auto* method = body.empty() ? "GET" : "PUT";
    return client_
        .SendAndWait(
            platform_.control(),
            {.method = method, .target = target, .headers = {}, .body = body, .remote = {}},
            seconds(5))
        .response;
  }
  auto SetFaults(const std::string& body) -> void {
    EXPECT_EQ(Control("/control/faults", body).status, 200);
  }

  PlatformOnLoopback platform_;
  WorkerPool workers_{2};
  HttpClient client_{workers_, {}};
  PlatformCaller caller_{client_, {.endpoint = platform_.service(), .pace = {}}, Random(1)};
  HttpStore store_{caller_, "trial/"};
};

TEST_F(HttpStoreTest, WritesByCompareAndSwap) {
  EXPECT_EQ(store_.Read("manifest/production").value(), std::nullopt);
  const auto first = store_.Write("manifest/production", "a", 0, std::nullopt);
  EXPECT_EQ(first.effect, WriteEffect::kTookEffect);
  const auto late = store_.Write("manifest/production", "b", 0, std::nullopt);
  EXPECT_EQ(late.effect, WriteEffect::kConflict);
  EXPECT_EQ(late.revision, first.revision);
  const auto read = store_.Read("manifest/production").value();
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->value, "a");
  EXPECT_EQ(read->revision, first.revision);
}

TEST_F(HttpStoreTest, CarriesTheLargestValue) {
  const std::string value(std::size_t{1024} * 1024, 'v');
  EXPECT_EQ(store_.Write("chunk/x", value, 0, std::nullopt).effect, WriteEffect::kTookEffect);
  EXPECT_EQ(store_.Read("chunk/x").value()->value, value);
  const auto refused = store_.Write("chunk/y", value + "v", 0, std::nullopt);
  EXPECT_EQ(refused.effect, WriteEffect::kNoEffect);
}

// The write took effect and its answer was lost: claiming "none" would make a promote run twice.
TEST_F(HttpStoreTest, ReportsALostAnswerAsUnknown) {
  SetFaults(R"({"forget_writes": 1})");
  EXPECT_EQ(store_.Write("k", "a", 0, std::nullopt).effect, WriteEffect::kUnknown);
  PlatformCaller other(client_, {.endpoint = platform_.service(), .pace = {}}, Random(1));
  EXPECT_EQ(HttpStore(other, "trial/").Read("k").value()->value, "a");
}

TEST_F(HttpStoreTest, ReportsATimeoutAfterSendingAsUnknown) {
  SetFaults(R"({"slow_ms": 60000})");
  PlatformCaller impatient(
      client_, {.endpoint = platform_.service(), .call_timeout = milliseconds(50), .pace = {}},
      Random(1));
  EXPECT_EQ(HttpStore(impatient).Write("k", "a", 0, std::nullopt).effect, WriteEffect::kUnknown);
}

TEST_F(HttpStoreTest, ReportsARefusedOrUnreachableStoreAsNone) {
  SetFaults(R"({"refuse": true})");
  const auto refused = store_.Write("k", "a", 0, std::nullopt);
  EXPECT_EQ(refused.effect, WriteEffect::kNoEffect);
  SetFaults(R"({"refuse": false, "down": true})");
  PlatformCaller other(client_, {.endpoint = platform_.service(), .pace = {}}, Random(1));
  EXPECT_EQ(HttpStore(other).Write("k", "a", 0, std::nullopt).effect, WriteEffect::kNoEffect);
  EXPECT_FALSE(HttpStore(other).Read("k").ok());
}

// During an outage a node must not send a call for each attempt of its loops.
TEST_F(HttpStoreTest, PausesAfterAFailureWithoutCalling) {
  PlatformCaller patient(client_,
                         {.endpoint = platform_.service(),
                          .pace = {.backoff_min = seconds(60), .backoff_max = seconds(60)}},
                         Random(1));
  HttpStore store(patient);
  SetFaults(R"({"refuse": true})");
  EXPECT_FALSE(store.Read("k").ok());
  SetFaults(R"({"refuse": false})");
  EXPECT_EQ(store.Read("k").status().code(), absl::StatusCode::kUnavailable);
  EXPECT_EQ(store.Write("k", "a", 0, std::nullopt).effect, WriteEffect::kNoEffect);
  EXPECT_NE(Control("/control/counts", "").body.find(R"("reads":0,"refused":1)"),
            std::string::npos);
}

TEST_F(HttpStoreTest, RefusesCallsBeyondItsRate) {
  PlatformCaller slow(client_,
                      {.endpoint = platform_.service(),
                       .call_timeout = seconds(1),
                       .pace = {.calls_per_second = 0.01, .burst = 1}},
                      Random(1));
  HttpStore store(slow);
  EXPECT_TRUE(store.Read("k").ok());
  EXPECT_EQ(store.Read("k").status().code(), absl::StatusCode::kResourceExhausted);
  EXPECT_EQ(store.Write("k", "a", 0, std::nullopt).effect, WriteEffect::kNoEffect);
}

TEST_F(HttpStoreTest, RefusesKeysThatWouldNeedEncoding) {
  EXPECT_EQ(store_.Read("a b").status().code(), absl::StatusCode::kInvalidArgument);
  EXPECT_EQ(store_.Read("").status().code(), absl::StatusCode::kInvalidArgument);
  EXPECT_EQ(store_.Write("a?b", "", 0, std::nullopt).effect, WriteEffect::kNoEffect);
}

TEST_F(HttpStoreTest, WaitsForChangesAndRemovals) {
  const auto lease = store_.GrantLease(milliseconds(100)).value();
  const auto first = store_.Write("k", "a", 0, lease);
  EXPECT_EQ(store_.Wait("k", 0, seconds(5)).value()->value, "a");
  const auto removed = store_.Wait("k", first.revision, seconds(5)).value();
  ASSERT_TRUE(removed.has_value());
  EXPECT_EQ(removed->revision, 0U);
  EXPECT_EQ(store_.Wait("k", 0, milliseconds(20)).value(), std::nullopt);
  EXPECT_EQ(store_.KeepAlive(lease).code(), absl::StatusCode::kNotFound);
}

// Each waiting watch counts as a call to the platform, so a node holds at most one.
TEST_F(HttpStoreTest, HoldsOneWaitAtATime) {
  auto first = std::async(std::launch::async, [this] { return store_.Wait("k", 0, seconds(5)); });
  while (Control("/control/counts", "").body.find(R"("waiting":1)") == std::string::npos) {
    std::this_thread::yield();
  }
  EXPECT_EQ(store_.Wait("k", 0, seconds(5)).status().code(), absl::StatusCode::kResourceExhausted);
  EXPECT_EQ(store_.Write("k", "a", 0, std::nullopt).effect, WriteEffect::kTookEffect);
  EXPECT_EQ(first.get().value()->value, "a");
}

TEST_F(HttpStoreTest, FetchesTheVmList) {
  Control(
      "/control/vms",
      R"({"vms":[{"name":"e1","zone":"z","role":"entry","state":"live","address":"127.0.0.1:7"}]})");
  VmListClient client(caller_);
  const auto vms = client.Fetch();
  ASSERT_TRUE(vms.ok()) << vms.status();
  EXPECT_EQ(vms->size(), 1U);
  SetFaults(R"({"down": true})");
  EXPECT_FALSE(client.Fetch().ok());
}

}  // namespace
}  // namespace heatherspan
