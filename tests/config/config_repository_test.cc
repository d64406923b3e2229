#include "config/config_repository.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "fake_store.h"

namespace heatherspan {
namespace {

using testing::HasSubstr;

auto Text(const std::string& mark) -> std::string {
  std::string text;
  for (int i = 0; i < 5'000; ++i) text += fmt::format("client\t10.{}.{}.0/24\n", i / 250, i % 250);
  return text + mark + "\n";
}

auto Write(const std::string& id, std::uint64_t base) -> ConfigWrite {
  return ConfigWrite{id, ConfigVersion(base), "ivo", "reason of " + id, 1'000};
}

class ConfigRepositoryTest : public testing::Test {
 protected:
  auto Put(const std::string& mark, const std::string& id, std::uint64_t base)
      -> absl::StatusOr<Manifest> {
    return repository_.PutTrial(Text(mark), Write(id, base));
  }
  auto Promote(std::uint64_t trial, const std::string& id, std::uint64_t base,
               std::uint64_t seen = 0) -> absl::StatusOr<Manifest> {
    return repository_.Promote(ConfigVersion(trial), Write(id, base), ConfigVersion(seen));
  }

  FakeStore store_;
  ConfigRepository<FakeStore> repository_{store_, EnvironmentName("prod")};
};

TEST_F(ConfigRepositoryTest, PromotesTrialAndReadsItBack) {
  ASSERT_TRUE(Put("one", "t1", 0).ok());
  const auto promoted = Promote(1, "p1", 0);
  ASSERT_TRUE(promoted.ok()) << promoted.status().message();
  EXPECT_EQ(promoted->version, ConfigVersion(1));
  EXPECT_EQ(repository_.ReadDocument(*repository_.ReadProduction().value()).value(), Text("one"));
}

// Guards against writes of chunks that are already in the store.
TEST_F(ConfigRepositoryTest, SharesChunksBetweenVersions) {
  const auto first = Put("one", "t1", 0).value();
  ASSERT_GT(first.chunks.size(), 1);
  store_.writes = 0;
  ASSERT_TRUE(Put("two", "t2", 1).ok());
  EXPECT_EQ(store_.writes, 2) << "one chunk and the manifest";
}

TEST_F(ConfigRepositoryTest, ReportsTheOtherWriteInConflict) {
  ASSERT_TRUE(Put("one", "t1", 0).ok());
  const auto late = Put("two", "t2", 0);
  EXPECT_EQ(late.status().code(), absl::StatusCode::kFailedPrecondition);
  EXPECT_THAT(std::string(late.status().message()), HasSubstr("by ivo (reason of t1), write t1"));
  EXPECT_FALSE(Promote(2, "p1", 0).ok()) << "the operator checked another trial";
}

// Guards against a reported failure, and against a second version, when the response to a write was
// lost and the operator repeats the write.
TEST_F(ConfigRepositoryTest, RecognizesOwnWriteAfterLostResponse) {
  ASSERT_TRUE(Put("one", "t1", 0).ok());
  store_.responses_to_lose = 1;
  store_.lose_key_part = "manifest/production";
  EXPECT_EQ(Promote(1, "p1", 0).value().version, ConfigVersion(1));
  EXPECT_EQ(Promote(1, "p1", 0).value().version, ConfigVersion(1));
  EXPECT_EQ(Promote(1, "p2", 1).value().version, ConfigVersion(2));
  EXPECT_EQ(Promote(1, "p1", 0).value().version, ConfigVersion(1)) << "found in the history";
}

TEST_F(ConfigRepositoryTest, ReportsWhetherWriteMayHaveTakenEffect) {
  ASSERT_TRUE(Put("one", "t1", 0).ok());
  store_.down = true;
  EXPECT_EQ(Put("two", "t2", 1).status().code(), absl::StatusCode::kUnavailable);
  store_.down = false;
  store_.before_write = [this] { store_.down = true; };
  EXPECT_EQ(Promote(1, "p1", 0).status().code(), absl::StatusCode::kUnavailable);
  store_.down = false;
  store_.responses_to_lose = 1;
  store_.lose_key_part = "manifest/production";
  store_.down_after_lost_response = true;
  EXPECT_EQ(Promote(1, "p1", 0).status().code(), absl::StatusCode::kUnknown);
  store_.down = false;
  EXPECT_EQ(Promote(1, "p1", 0).value().version, ConfigVersion(1));
}

// Guards against the reuse of a version: a node that applied version 5 ignores another version 5.
TEST_F(ConfigRepositoryTest, PromotesAboveTheHighestVersionSeen) {
  ASSERT_TRUE(Put("one", "t1", 0).ok());
  EXPECT_EQ(Promote(1, "p1", 0, 5).value().version, ConfigVersion(6));
}

TEST_F(ConfigRepositoryTest, WritesBackAfterStoreIsReset) {
  ASSERT_TRUE(Put("one", "t1", 0).ok());
  ASSERT_TRUE(Promote(1, "p1", 0).ok());
  store_.Save();
  ASSERT_TRUE(Put("two", "t2", 1).ok());
  const auto newest = Promote(2, "p2", 1).value();
  std::map<std::string, std::string> held;
  for (const auto& hash : newest.chunks) held[hash] = repository_.ReadChunk(hash).value();
  store_.Restore();
  EXPECT_EQ(repository_.ReadProduction().value()->version, ConfigVersion(1));
  const auto chunks = [&held](const std::string& hash) { return held.at(hash); };
  EXPECT_TRUE(repository_.WriteBack(newest, chunks).value());
  EXPECT_FALSE(repository_.WriteBack(newest, chunks).value());
  EXPECT_EQ(repository_.ReadDocument(*repository_.ReadProduction().value()).value(), Text("two"));
}

TEST_F(ConfigRepositoryTest, ListsHistory) {
  ASSERT_TRUE(Put("one", "t1", 0).ok());
  for (std::uint64_t i = 0; i < 5; ++i) {
    ASSERT_TRUE(Promote(1, "p" + std::to_string(i), i).ok());
  }
  const auto history = repository_.History(3).value();
  ASSERT_EQ(history.size(), 3);
  EXPECT_EQ(history[0].write_id, "p4");
  EXPECT_EQ(history[2].write_id, "p2");
}

TEST_F(ConfigRepositoryTest, WaitsForAnotherRevision) {
  std::uint64_t revision = 0;
  EXPECT_FALSE(repository_.WaitProduction(revision, Duration(1)).value().has_value());
  ASSERT_TRUE(Put("one", "t1", 0).ok());
  ASSERT_TRUE(Promote(1, "p1", 0).ok());
  EXPECT_TRUE(repository_.WaitProduction(revision, Duration(1)).value().has_value());
  EXPECT_FALSE(repository_.WaitProduction(revision, Duration(1)).value().has_value());
}

}  // namespace
}  // namespace heatherspan
