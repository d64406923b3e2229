#include "standins/platform_standin.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <vector>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

struct Answer {
  bool arrived = false;
  bool dropped = false;
  HttpResponse response;

  auto status() const -> int { return arrived && !dropped ? response.status : 0; }
  auto revision() const -> std::string { return std::string(response.Header("Revision")); }
};

class PlatformStandinTest : public testing::Test {
 protected:
  auto Call(const std::string& method, const std::string& target, const std::string& body = "",
            std::vector<HeaderField> headers = {}) -> std::shared_ptr<Answer> {
    auto answer = std::make_shared<Answer>();
    last_call_ = standin_.Handle({.method = method,
                                  .target = target,
                                  .headers = std::move(headers),
                                  .body = body,
                                  .remote = {}},
                                 now_, [answer](std::optional<HttpResponse> response) {
                                   answer->arrived = true;
                                   answer->dropped = !response.has_value();
                                   if (response.has_value())
                                     answer->response = *std::move(response);
                                 });
    return answer;
  }
  auto Put(const std::string& key, const std::string& value, const std::string& if_revision)
      -> std::shared_ptr<Answer> {
    return Call("PUT", "/v1/kv/" + key, value, {{"If-Revision", if_revision}});
  }
  auto Control(const std::string& method, const std::string& target, const std::string& body = "")
      -> HttpResponse {
    return standin_.HandleControl(
        {.method = method, .target = target, .headers = {}, .body = body, .remote = {}}, now_);
  }
  auto Count(const char* name) -> int {
    return nlohmann::json::parse(Control("GET", "/control/counts").body).at(name).get<int>();
  }
  auto Advance(Duration step) -> void {
    now_ += step;
    standin_.OnTick(now_);
  }

  PlatformStandin standin_;
  MonotonicTime now_{};
  PlatformStandin::CallId last_call_ = 0;
};

// Two writers that read the same revision: the second must not overwrite the first.
TEST_F(PlatformStandinTest, WritesOnlyAtTheGivenRevision) {
  EXPECT_EQ(Call("GET", "/v1/kv/manifest/production")->status(), 404);
  EXPECT_EQ(Put("manifest/production", "a", "0")->revision(), "1");
  const auto late = Put("manifest/production", "b", "0");
  EXPECT_EQ(late->status(), 412);
  EXPECT_EQ(late->revision(), "1");
  const auto read = Call("GET", "/v1/kv/manifest/production");
  EXPECT_EQ(read->response.body, "a");
  EXPECT_EQ(read->revision(), "1");
  EXPECT_EQ(Put("manifest/production", "c", "1")->revision(), "2");
}

TEST_F(PlatformStandinTest, RefusesMalformedWrites) {
  EXPECT_EQ(Call("PUT", "/v1/kv/k", "a")->status(), 400);
  EXPECT_EQ(Put("k", "a", "1x")->status(), 400);
  EXPECT_EQ(Put("k", std::string(KeyValueStore::kMaxValueBytes, 'v'), "0")->status(), 200);
  EXPECT_EQ(Put("k", std::string(KeyValueStore::kMaxValueBytes + 1, 'v'), "1")->status(), 413);
}

TEST_F(PlatformStandinTest, RemovesOnlyAtTheGivenRevision) {
  Put("k", "a", "0");
  EXPECT_EQ(Call("DELETE", "/v1/kv/k", "", {{"If-Revision", "9"}})->status(), 412);
  EXPECT_EQ(Call("DELETE", "/v1/kv/k", "", {{"If-Revision", "1"}})->status(), 200);
  EXPECT_EQ(Call("GET", "/v1/kv/k")->status(), 404);
}

// A key whose lease has ended must vanish, and a late renewal must not bring the lease back.
TEST_F(PlatformStandinTest, EndsLeasesWithTheirKeys) {
  const auto granted = Call("POST", "/v1/leases?ttl_ms=1000");
  EXPECT_EQ(granted->response.body, R"({"id":1})");
  Call("PUT", "/v1/kv/grantor/sofia", "node-1", {{"If-Revision", "0"}, {"Lease", "1"}});
  Advance(milliseconds(999));
  EXPECT_EQ(Call("PUT", "/v1/leases/1")->status(), 200);
  Advance(milliseconds(999));
  EXPECT_EQ(Call("GET", "/v1/kv/grantor/sofia")->status(), 200);
  Advance(milliseconds(1));
  EXPECT_EQ(Call("PUT", "/v1/leases/1")->status(), 404);
  EXPECT_EQ(Call("GET", "/v1/kv/grantor/sofia")->status(), 404);
  EXPECT_EQ(Call("PUT", "/v1/kv/k", "v", {{"If-Revision", "0"}, {"Lease", "1"}})->status(), 404);
}

TEST_F(PlatformStandinTest, WaitsForAChange) {
  Put("k", "a", "0");
  const auto at_once = Call("GET", "/v1/kv/k?after=0&wait_ms=1000");
  EXPECT_EQ(at_once->status(), 200);
  const auto changed = Call("GET", "/v1/kv/k?after=1&wait_ms=1000");
  EXPECT_FALSE(changed->arrived);
  EXPECT_EQ(Count("waiting"), 1);
  Put("k", "b", "1");
  EXPECT_EQ(changed->response.body, "b");
  const auto unchanged = Call("GET", "/v1/kv/k?after=2&wait_ms=1000");
  Advance(milliseconds(1000));
  EXPECT_EQ(unchanged->status(), 304);
  const auto removed = Call("GET", "/v1/kv/k?after=2&wait_ms=1000");
  Call("DELETE", "/v1/kv/k", "", {{"If-Revision", "2"}});
  EXPECT_EQ(removed->status(), 404);
}

// A caller that closed its connection must not stay among the waiting watches.
TEST_F(PlatformStandinTest, ForgetsAnAbandonedWait) {
  const auto answer = Call("GET", "/v1/kv/k?after=0&wait_ms=1000");
  standin_.Abandon(last_call_);
  EXPECT_EQ(Count("waiting"), 0);
  Advance(milliseconds(2000));
  EXPECT_FALSE(answer->arrived);
}

TEST_F(PlatformStandinTest, AppliesAWriteAndDropsItsAnswer) {
  EXPECT_EQ(Control("PUT", "/control/faults", R"({"forget_writes": 1})").status, 200);
  EXPECT_TRUE(Put("k", "a", "0")->dropped);
  EXPECT_EQ(Call("GET", "/v1/kv/k")->response.body, "a");
  EXPECT_EQ(Put("k", "b", "1")->status(), 200);
  EXPECT_EQ(Count("forgotten"), 1);
}

TEST_F(PlatformStandinTest, RefusesWithoutEffect) {
  Control("PUT", "/control/faults", R"({"refuse": true})");
  EXPECT_EQ(Put("k", "a", "0")->status(), 503);
  Control("PUT", "/control/faults", R"({"refuse": false})");
  EXPECT_EQ(Call("GET", "/v1/kv/k")->status(), 404);
  EXPECT_EQ(Control("PUT", "/control/faults", R"({"refuse": 3})").status, 400);
}

TEST_F(PlatformStandinTest, DelaysAnswersButNotEffects) {
  Control("PUT", "/control/faults", R"({"slow_ms": 500})");
  const auto answer = Put("k", "a", "0");
  Advance(milliseconds(499));
  EXPECT_FALSE(answer->arrived);
  Advance(milliseconds(1));
  EXPECT_EQ(answer->status(), 200);
}

// After a restore the store holds older values, and a watch of the newer value must end.
TEST_F(PlatformStandinTest, GoesBackToAnEarlierCopy) {
  Put("k", "old", "0");
  EXPECT_EQ(Control("POST", "/control/copies/monday").status, 200);
  Put("k", "new", "1");
  const auto watch = Call("GET", "/v1/kv/k?after=2&wait_ms=1000");
  EXPECT_EQ(Control("POST", "/control/restore/tuesday").status, 404);
  EXPECT_EQ(Control("POST", "/control/restore/monday").status, 200);
  EXPECT_EQ(watch->response.body, "old");
  EXPECT_EQ(watch->revision(), "1");
  EXPECT_EQ(Put("k", "next", "1")->revision(), "3");
}

TEST_F(PlatformStandinTest, ListsVmsAsSet) {
  const std::string list =
      R"({"vms":[{"address":"127.0.0.1:7","name":"e1","role":"entry","state":"live","zone":"z"}]})";
  EXPECT_EQ(Control("PUT", "/control/vms", R"({"vms":[{"name":"e1"}]})").status, 400);
  EXPECT_EQ(Control("PUT", "/control/vms", list).status, 200);
  EXPECT_EQ(Call("GET", "/v1/vms")->response.body, list);
  EXPECT_EQ(Control("POST", "/control/vms/e2/leaving").status, 404);
  EXPECT_EQ(Control("POST", "/control/vms/e1/leaving").status, 200);
  EXPECT_NE(Call("GET", "/v1/vms")->response.body.find(R"("state":"leaving")"), std::string::npos);
}

}  // namespace
}  // namespace heatherspan
