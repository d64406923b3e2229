#include "admin/admin_api.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "admin/admin_document.h"
#include "config/fake_store.h"

namespace heatherspan {
namespace {

using testing::HasSubstr;
using Json = nlohmann::json;

class AdminApiTest : public testing::Test {
 protected:
  AdminApiTest() : api_(store_, EnvironmentName("test"), "secret", Ports()) {}

  auto Ports() -> AdminPorts {
    AdminPorts ports;
    ports.document_in_force = [] { return std::make_shared<const Document>(AdminDocument()); };
    ports.highest_seen = [this] { return highest_seen_; };
    ports.on_promoted = [this] { ++promoted_; };
    ports.status = [] { return nlohmann::ordered_json{{"node", "entry-1"}}; };
    ports.metrics = [] { return "metric 1\n"; };
    ports.is_ready = [this] { return ready_; };
    ports.audit = [this](std::string_view action, std::string_view author,
                         std::string_view result) {
      audit_.push_back(fmt::format("{} {} {}", action, author, result));
    };
    return ports;
  }

  auto Send(const char* method, const char* path, const std::string& credential = "secret",
            const std::vector<HeaderField>& headers = {}, const std::string& body = "")
      -> HttpResponse {
    HttpRequest request;
    request.method = method;
    request.target = path;
    request.headers = headers;
    request.headers.push_back({"Authorization", "Bearer " + credential});
    request.body = body;
    return api_.Handle(request);
  }
  static auto Change(int base, const std::string& write_id, const char* author = "ana")
      -> std::vector<HeaderField> {
    return {{"Base-Version", std::to_string(base)},
            {"Write-Id", write_id},
            {"Author", author},
            {"Reason", "growth"}};
  }
  auto Put(int base, const std::string& write_id, const std::string& body = AdminDocumentText(),
           const std::string& credential = "secret") -> HttpResponse {
    return Send("PUT", "/admin/v1/trial", credential, Change(base, write_id), body);
  }
  auto Promote(int trial, int base, const std::string& write_id,
               const std::string& credential = "secret") -> HttpResponse {
    auto headers = Change(base, write_id);
    headers.push_back({"Trial-Version", std::to_string(trial)});
    return Send("POST", "/admin/v1/promote", credential, headers);
  }

  FakeStore store_;
  ConfigVersion highest_seen_;
  int promoted_ = 0;
  bool ready_ = true;
  std::vector<std::string> audit_;
  AdminApi<FakeStore> api_;
};

auto Version(const HttpResponse& response) -> std::string {
  return std::string(response.Header("Heatherspan-Config-Version"));
}

// Guards against a stage that a step of the usual way skips or loses.
TEST_F(AdminApiTest, PutsPlansPromotesAndKeepsHistory) {
  ASSERT_EQ(Put(0, "w1").status, 200);
  EXPECT_EQ(Send("GET", "/admin/v1/document?stage=production").status, 404);
  EXPECT_EQ(Send("GET", "/admin/v1/document?stage=trial").body, WriteCanonical(AdminDocument()));
  const auto plan = Send("GET", "/admin/v1/plan");
  EXPECT_EQ(plan.status, 200);
  EXPECT_EQ(Json::parse(plan.body).at("regions").at(0).at("cap_after_rps"), 100);
  ASSERT_EQ(Promote(1, 0, "p1").status, 200);
  EXPECT_EQ(promoted_, 1);
  EXPECT_EQ(Send("GET", "/admin/v1/document?stage=production").body,
            WriteCanonical(AdminDocument()));

  ASSERT_EQ(Put(1, "w2", AdminDocumentText(80)).status, 200);
  const auto diff = Send("GET", "/admin/v1/diff");
  EXPECT_EQ(Json::parse(diff.body).at("changes").size(), 1) << diff.body;
  EXPECT_THAT(diff.body, HasSubstr("80"));
  EXPECT_EQ(Version(Promote(2, 1, "p2")), "2");
  const auto history = Json::parse(Send("GET", "/admin/v1/history").body).at("history");
  ASSERT_EQ(history.size(), 2);
  EXPECT_EQ(history.at(0).at("write_id"), "p2");
  EXPECT_EQ(history.at(1).at("author"), "ana");
  EXPECT_EQ(audit_, (std::vector<std::string>{"put ana accepted", "promote ana accepted",
                                              "put ana accepted", "promote ana accepted"}));
}

// Guards against a version below one that some node has already in force after a store's restore.
TEST_F(AdminApiTest, PromotesAboveTheHighestVersionSeen) {
  highest_seen_ = ConfigVersion(41);
  ASSERT_EQ(Put(0, "w1").status, 200);
  EXPECT_EQ(Version(Promote(1, 0, "p1")), "42");
}

// Guards against a lost update: the loser of a race must learn whose write is there.
TEST_F(AdminApiTest, ConflictNamesTheOtherWrite) {
  ASSERT_EQ(Put(0, "w1").status, 200);
  const auto put = Put(0, "w2");
  EXPECT_EQ(put.status, 409);
  EXPECT_EQ(put.Header("Heatherspan-Verdict"), "not-run");
  for (const auto* part : {"write w1", "ana", "growth"}) EXPECT_THAT(put.body, HasSubstr(part));
  ASSERT_EQ(Promote(1, 0, "p1").status, 200);
  const auto promote = Promote(1, 0, "p2");
  EXPECT_EQ(promote.status, 409);
  EXPECT_THAT(promote.body, HasSubstr("write p1"));
  EXPECT_EQ(Promote(9, 1, "p3").status, 409);
  EXPECT_EQ(promoted_, 1);
}

// Guards against a repeat after a lost answer that writes a second version.
TEST_F(AdminApiTest, RepeatedWriteIdIsDoneOnce) {
  ASSERT_EQ(Put(0, "w1").status, 200);
  const auto again = Put(0, "w1");
  EXPECT_EQ(again.status, 200);
  EXPECT_EQ(Version(again), "1");
  EXPECT_EQ(Version(Promote(1, 0, "p1")), "1");
  EXPECT_EQ(Version(Promote(1, 0, "p1")), "1");
  EXPECT_EQ(Json::parse(Send("GET", "/admin/v1/history").body).at("history").size(), 1);
}

// Guards against a lost answer that is reported as a write that did not take effect.
TEST_F(AdminApiTest, LostAnswerMayHaveRun) {
  store_.responses_to_lose = 1;
  store_.lose_key_part = "trial";
  store_.down_after_lost_response = true;
  const auto lost = Put(0, "w1");
  EXPECT_EQ(lost.status, 502) << lost.body;
  EXPECT_EQ(lost.Header("Heatherspan-Verdict"), "may-have-run");
  const auto down = Put(0, "w1");
  EXPECT_EQ(down.status, 503) << down.body;
  EXPECT_EQ(down.Header("Heatherspan-Verdict"), "not-run");
  store_.down = false;
  EXPECT_EQ(Version(Put(0, "w1")), "1");
}

// Guards against access without a credential, and against monitoring that needs one.
TEST_F(AdminApiTest, OnlyMonitoringNeedsNoCredential) {
  for (const auto* path : {"/admin/v1/document", "/admin/v1/plan", "/admin/v1/diff",
                           "/admin/v1/history", "/admin/v1/status", "/other"}) {
    EXPECT_EQ(Send("GET", path, "wrong").status, 401) << path;
  }
  EXPECT_EQ(Put(0, "w1", AdminDocumentText(), "wrong").status, 401);
  EXPECT_EQ(Promote(1, 0, "p1", "wrong").status, 401);
  EXPECT_EQ(store_.writes, 0);
  EXPECT_EQ(Send("GET", "/metrics", "").body, "metric 1\n");
  EXPECT_EQ(Send("GET", "/healthz", "").status, 200);
  EXPECT_EQ(Send("GET", "/readyz", "").status, 200);
  ready_ = false;
  EXPECT_EQ(Send("GET", "/readyz", "").status, 503);
  EXPECT_EQ(Send("GET", "/admin/v1/status").status, 200);
}

// Guards against a team that puts or promotes a change of what belongs to others.
TEST_F(AdminApiTest, TeamChangesOnlyItsServices) {
  ASSERT_EQ(Put(0, "w1").status, 200);
  ASSERT_EQ(Promote(1, 0, "p1").status, 200);
  auto own = AdminDocument();
  own.services.at(0).value = 7;
  EXPECT_EQ(Put(1, "w2", WriteCanonical(own), "red").status, 200);
  const auto foreign = Put(2, "w3", WriteCanonical(own), "blue");
  EXPECT_EQ(foreign.status, 403);
  EXPECT_THAT(foreign.body, HasSubstr("red-desk"));
  EXPECT_EQ(Promote(2, 1, "p2", "blue").status, 403);
  EXPECT_EQ(promoted_, 1);
  EXPECT_EQ(Promote(2, 1, "p3", "red").status, 200);
  EXPECT_EQ(audit_.at(3), "put ana forbidden");
}

// Guards against an unsound, incomplete or unknown call that reaches the store.
TEST_F(AdminApiTest, RefusesWhatItCannotDo) {
  const auto unsound = Put(0, "w1", "environment = 5\n");
  EXPECT_EQ(unsound.status, 422);
  EXPECT_THAT(unsound.body, HasSubstr("document:1"));
  for (const auto* missing : {"Base-Version", "Write-Id", "Author"}) {
    auto headers = Change(0, "w1");
    std::erase_if(headers, [&](const HeaderField& header) { return header.name == missing; });
    const auto response = Send("PUT", "/admin/v1/trial", "secret", headers, AdminDocumentText());
    EXPECT_EQ(response.status, 400) << missing;
    EXPECT_THAT(response.body, HasSubstr(missing));
  }
  EXPECT_EQ(Send("POST", "/admin/v1/promote", "secret", Change(0, "p1")).status, 400);
  EXPECT_EQ(Promote(1, 0, "p1").status, 404);
  for (const auto* path : {"/admin/v1/plan", "/admin/v1/diff", "/admin/v1/document",
                           "/admin/v1/trial", "/admin/v1", "/"}) {
    EXPECT_EQ(Send("GET", path).status, 404) << path;
  }
  EXPECT_EQ(store_.writes, 0);
}

// Guards against a drain that the remaining targets cannot bear.
TEST_F(AdminApiTest, RefusesAPlanWithFaults) {
  ASSERT_EQ(Put(0, "w1").status, 200);
  ASSERT_EQ(Promote(1, 0, "p1").status, 200);
  const auto drain = AdminDocumentText() +
                     "[[drain]]\nscope = \"target\"\nname = \"red-1\"\nreason = \"repair\"\n";
  ASSERT_EQ(Put(1, "w2", drain).status, 200);
  const auto promote = Promote(2, 1, "p2");
  EXPECT_EQ(promote.status, 422);
  EXPECT_FALSE(Json::parse(promote.body).at("faults").empty());
  EXPECT_EQ(promoted_, 1);
}

}  // namespace
}  // namespace heatherspan
