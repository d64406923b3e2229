#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <string>

#include "net/http_reader.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "platform/policy_format.h"
#include "platform/request_format.h"
#include "platform/store_client.h"

namespace heatherspan {
namespace {

/// Messages that a gateway of an earlier build sent to its peers, as recorded from its process. The
/// parameter is the build.
class EarlierBuildTest : public testing::TestWithParam<std::string> {
 protected:
  ~EarlierBuildTest() override { workers_.Stop(); }

  static auto Recorded(const std::string& name) -> HttpResponse {
    const auto path = std::filesystem::path(HS_TEST_DATA_DIR) / "earlier_builds" / GetParam();
    std::ifstream file(path / (name + ".txt"), std::ios::binary);
    const std::string text(std::istreambuf_iterator<char>(file), {});
    HttpResponseReader reader(text.size());
    reader.Start(false);
    for (std::string_view rest = text; !rest.empty();) {
      const auto used = reader.Read(rest);
      if (used == 0) break;
      rest.remove_prefix(used);
    }
    EXPECT_TRUE(reader.done()) << path << " " << name;
    return reader.Take();
  }

  /// Makes a call that is answered with the recorded message.
  template <class Result, class Call>
  auto ResultOf(const std::string& name, Call call) -> Result {
    answer_ = Recorded(name);
    std::promise<Result> promise;
    call([&promise](Result result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
  }

  HttpResponse answer_;
  WorkerPool workers_{1};
  HttpClient client_{workers_, {}};
  HttpServer server_{
      workers_, HttpServer::Limits(),
      [this](const HttpRequest&, const HttpServer::Responder& respond) { respond(answer_); }};
  StoreEra era_;
  StoreClient peer_{client_, *server_.Listen({"127.0.0.1", 0}),
                    [this](StoreEra era, MonotonicTime /*called_at*/) { era_ = era; }};
};

// Guards against a VM that starts without the store and can't read the state of a peer of an
// earlier build.
TEST_P(EarlierBuildTest, ItsWholeStateIsRead) {
  const auto page =
      ResultOf<absl::StatusOr<StorePage>>("listing", [this](auto done) { peer_.List("", done); });
  ASSERT_TRUE(page.ok()) << page.status();
  EXPECT_FALSE(page->more);
  EXPECT_GT(page->revision, 0U);
  EXPECT_EQ(page->era, StoreEra(1));
  int policies = 0;
  int targets = 0;
  int entry_vms = 0;
  for (const auto& item : page->items) {
    const auto value = item.value.value_or("");
    if (PolicyFormat::IsPolicyKey(item.key)) {
      EXPECT_TRUE(PolicyFormat::ReadPolicy(value).ok()) << value;
      ++policies;
    } else if (const auto target = PolicyFormat::TargetOf(item.key)) {
      EXPECT_TRUE(PolicyFormat::ReadTarget(*target, value).ok()) << value;
      ++targets;
    } else if (const auto node = PolicyFormat::EntryVmOf(item.key)) {
      const auto vm = PolicyFormat::ReadEntryVm(*node, value);
      ASSERT_TRUE(vm.ok()) << vm.status();
      EXPECT_FALSE(vm->peer_endpoint.address.empty());
      EXPECT_TRUE(vm->reaches_targets);
      ++entry_vms;
    }
  }
  EXPECT_EQ(policies, 1);
  EXPECT_EQ(targets, 8);
  EXPECT_EQ(entry_vms, 4);
}

// Guards against changes of a peer of an earlier build that are dropped.
TEST_P(EarlierBuildTest, ItsChangesAreRead) {
  const auto changes = ResultOf<absl::StatusOr<StoreChanges>>("changes", [this](auto done) {
    peer_.AskPeer({StoreEra(1), 11}, {}, 100'000, StoreClient::kCallTimeout, done);
  });
  ASSERT_TRUE(changes.ok()) << changes.status();
  EXPECT_EQ(changes->era, StoreEra(1));
  EXPECT_EQ(changes->revision, 14U);
  EXPECT_EQ(changes->changes.size(), 3U);
  EXPECT_GT(changes->age, Duration::zero());
  EXPECT_GE(changes->contact_age, changes->age);
}

// Guards against a question about another era that ends otherwise than with the peer's own era.
TEST_P(EarlierBuildTest, ItTellsThatItHasAnotherEra) {
  const auto changes = ResultOf<absl::StatusOr<StoreChanges>>("other_era", [this](auto done) {
    peer_.AskPeer({StoreEra(7), 0}, {}, 100'000, StoreClient::kCallTimeout, done);
  });
  EXPECT_TRUE(absl::IsOutOfRange(changes.status())) << changes.status();
  EXPECT_EQ(era_, StoreEra(1));
}

// Guards against a request that counts as run because an earlier build has refused to pass it on,
// by a verdict or without knowing what it is asked.
TEST_P(EarlierBuildTest, WhatItDoesNotPassOnHasNotRun) {
  HttpResult result;
  result.progress = SendProgress::kCompleted;
  result.response = Recorded("relayed");
  EXPECT_EQ(RequestFormat::ReadRelayed(result).end, AttemptOutcome::kNotSent);
}

INSTANTIATE_TEST_SUITE_P(Builds, EarlierBuildTest, testing::Values("9a2f113", "64a7a0a", "2d5f177"),
                         [](const auto& test) { return "Build" + test.param; });

}  // namespace
}  // namespace heatherspan
