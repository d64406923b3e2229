#include "edge/team_quota_gate.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <memory>
#include <ostream>
#include <string>
#include <thread>

#include "edge/quota_link.h"
#include "log_capture.h"
#include "net/http_server.h"
#include "platform/quota_format.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTimeout = seconds(10);
auto Red() -> TeamName { return TeamName("red"); }

/// The quota gate of an entry VM, with its peers' address. One worker runs all of it.
class GateVm {
 public:
  GateVm(const std::string& name, EventLog& log)
      : link_(client_, log, metrics_),
        gate_(NodeName(name), InstanceId(1), workers_, log, metrics_,
              [this](const Endpoint& keeper, const QuotaAsk& ask, Duration timeout,
                     TeamQuotaGate::OnReply on_reply) {
                link_.Send(keeper, ask, timeout, std::move(on_reply));
              }),
        server_(workers_, {}, [this](const HttpRequest& request, const auto& respond) {
          respond(link_.Answer(request, gate_));
        }) {
    entry_.name = NodeName(name);
    entry_.peer_endpoint = server_.Listen({"127.0.0.1", 0}).value();
  }
  ~GateVm() { workers_.Stop(); }
  GateVm(const GateVm&) = delete;
  auto operator=(const GateVm&) -> GateVm& = delete;

  auto entry() const -> const EntryVm& { return entry_; }

  /// Begins as after a restart, beside VMs that know this one.
  auto Start(const std::vector<EntryVm>& announced, const std::vector<Team>& teams) -> void {
    workers_.Post([this, announced, teams] {
      gate_.Apply(teams);
      gate_.OnFirstState(announced, workers_.Now());
      tick_ = workers_.RunEvery(milliseconds(50), [this, announced] {
        gate_.OnAnnouncementRenewed(workers_.Now());
        gate_.OnTick(announced, workers_.Now());
      });
    });
  }

  auto Acquire() -> TeamQuotaRuling {
    auto ruling = std::make_shared<std::promise<TeamQuotaRuling>>();
    workers_.Post([this, ruling] {
      gate_.Acquire(Red(), [ruling](const TeamQuotaRuling& value) { ruling->set_value(value); });
    });
    return ruling->get_future().get();
  }
  auto GiveBack(const TeamQuotaRuling& ruling) -> void {
    workers_.Post([this, ruling] { gate_.GiveBack(Red(), ruling); });
  }
  auto AsksSent() const -> double {
    return metrics_.Value(Metric::kQuotaMessages, {{"end", "asked"}});
  }

 private:
  WorkerPool workers_{1};
  HttpClient client_{workers_, {}};
  MetricsRegistry metrics_;
  QuotaLink<QuotaFormat> link_;
  TeamQuotaGate gate_;
  HttpServer server_;
  EntryVm entry_;
  std::shared_ptr<WorkerPool::Timer> tick_;
};

class TeamQuotaGateTest : public testing::Test {
 protected:
  auto Start(double rate, double burst) -> void {
    const std::vector<EntryVm> announced = {one_.entry(), two_.entry()};
    const std::vector<Team> teams = {{Red(), {}, {}, {}, {RequestsPerSecond(rate), burst}}};
    one_.Start(announced, teams);
    two_.Start(announced, teams);
  }
  template <class Predicate>
  static auto Eventually(Predicate predicate) -> bool {
    const auto end = std::chrono::steady_clock::now() + kTimeout;
    while (std::chrono::steady_clock::now() < end) {
      if (predicate()) return true;
      std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
  }

  LogCapture capture_;
  std::ostream stream_{&capture_};
  EventLog log_{LogLevel::kInfo, stream_};
  GateVm one_{"one", log_};
  GateVm two_{"two", log_};
};

// Guards against VMs that each give a team its whole quota.
TEST_F(TeamQuotaGateTest, TwoVmsTogetherStayWithinTheQuota) {
  const TeamQuota quota{RequestsPerSecond(4), 4};
  Start(quota.rate.value(), quota.burst);
  ASSERT_TRUE(Eventually([&] { return one_.Acquire().admitted; }));
  ASSERT_TRUE(Eventually([&] { return two_.Acquire().admitted; }));
  const auto begin = std::chrono::steady_clock::now();
  int admitted = 2;
  bool refused = false;
  while (std::chrono::steady_clock::now() - begin < seconds(3)) {
    for (auto* vm : {&one_, &two_}) {
      const auto ruling = vm->Acquire();
      admitted += ruling.admitted ? 1 : 0;
      refused = refused || !ruling.admitted;
      if (!ruling.admitted) {
        EXPECT_GT(ruling.retry_after, Duration::zero());
      }
    }
  }
  EXPECT_TRUE(refused);
  EXPECT_LE(admitted, TeamQuotaRule().Allowed(quota));
  EXPECT_TRUE(capture_.Contains("event=team-over-quota team=red"));
}

TEST_F(TeamQuotaGateTest, WithoutQuotasNothingIsSent) {
  Start(0, 0);
  for (int i = 0; i < 10; ++i) EXPECT_TRUE(one_.Acquire().admitted);
  std::this_thread::sleep_for(milliseconds(300));
  EXPECT_EQ(one_.AsksSent() + two_.AsksSent(), 0);
}

// Guards against a message that does harm beyond its refusal.
TEST_F(TeamQuotaGateTest, MessagesThatCanNotBeReadAreRefused) {
  Start(100, 100);
  WorkerPool workers(1);
  HttpClient client(workers, {});
  for (const std::string body :
       {"", "{", "[]", R"({"node":"x","fraction":1.5,"teams":[]})",
        R"({"node":"","fraction":0,"teams":[]})", R"({"node":"x","fraction":-1,"teams":[]})",
        R"({"node":"x","fraction":0})", R"({"node":"x","fraction":0,"teams":[["red",1,2,3]]})",
        R"({"node":"x","fraction":0,"teams":[["red",0,0,-1,0]]})",
        R"({"node":"x","fraction":0,"teams":[["red",0,0,1e99,0]]})",
        R"({"node":"x","fraction":0,"instance":1,"time_us":-5,"teams":[]})"}) {
    HttpRequest request;
    request.method = "POST";
    request.target = "/heatherspan/quota";
    request.body = body;
    const auto result = client.SendAndWait(one_.entry().peer_endpoint, request, kTimeout);
    EXPECT_EQ(result.response.status, 400) << body;
  }
  EXPECT_TRUE(capture_.Contains("event=quota-message-refused"));
  EXPECT_TRUE(Eventually([&] { return one_.Acquire().admitted; }));
  workers.Stop();
}

TEST(QuotaFormat, MessagesArriveAsTheyWereSent) {
  QuotaAsk ask;
  ask.node = NodeName("vm \"1\"");
  ask.stamp = {InstanceId(~std::uint64_t{0}), MonotonicTime(seconds(7))};
  ask.fraction = 0.04;
  ask.teams = {{TeamName("a"), 1, 2, 3, 4}, {TeamName("b"), 0, 0, 1, 0}};
  const auto read = QuotaFormat::ReadAsk(QuotaFormat::WriteAsk(ask));
  ASSERT_TRUE(read.ok()) << read.status();
  EXPECT_EQ(read->node, ask.node);
  EXPECT_EQ(read->stamp, ask.stamp);
  EXPECT_EQ(read->fraction, ask.fraction);
  ASSERT_EQ(read->teams.size(), 2U);
  EXPECT_EQ(read->teams[0].ahead, 4);
  const QuotaAnswer answer{*ask.stamp, milliseconds(400), {{5, true, milliseconds(30)}}};
  const auto read_answer = QuotaFormat::ReadAnswer(QuotaFormat::WriteAnswer(answer));
  ASSERT_TRUE(read_answer.ok()) << read_answer.status();
  EXPECT_EQ(read_answer->stamp, answer.stamp);
  EXPECT_EQ(read_answer->teams[0].retry_after, milliseconds(30));
}

}  // namespace
}  // namespace heatherspan
