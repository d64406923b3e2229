#include "gateway/store_mirror.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::seconds;

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));

auto Put(const std::string& key, std::uint64_t revision) -> StoreChange {
  return {key, "value", revision};
}

auto Keys(const std::vector<StoreChange>& changes) -> std::string {
  std::string keys;
  for (const auto& change : changes) keys += (change.value.has_value() ? "+" : "-") + change.key;
  return keys;
}

class StoreMirrorTest : public testing::Test {
 protected:
  auto ListAll(std::vector<StoreChange> items, std::uint64_t revision) -> std::string {
    return Keys(mirror_.OnPage({std::move(items), false, revision}, now_));
  }

  MonotonicTime now_ = kStart;
  StoreMirror mirror_;
};

// Guards against a change between two pages of a listing that is never seen.
TEST_F(StoreMirrorTest, WatchesFromTheFirstPageOn) {
  EXPECT_TRUE(mirror_.Next().list);
  EXPECT_EQ(Keys(mirror_.OnPage({{Put("a", 3), Put("b", 4)}, true, 10}, now_)), "+a+b");
  EXPECT_EQ(mirror_.Next().after_key, "b");
  EXPECT_FALSE(mirror_.synced());
  EXPECT_EQ(ListAll({Put("c", 12)}, 13), "+c");
  EXPECT_TRUE(mirror_.synced());
  EXPECT_FALSE(mirror_.Next().list);
  EXPECT_EQ(mirror_.Next().after_revision, 10U);
  // What the pages have shown already is not news.
  EXPECT_EQ(Keys(mirror_.OnChanges({{Put("a", 11), Put("c", 12)}, 13}, now_)), "+a");
}

// Guards against an older state that comes back by a late answer.
TEST_F(StoreMirrorTest, NeverGoesBack) {
  ListAll({Put("a", 5)}, 5);
  EXPECT_EQ(Keys(mirror_.OnChanges({{Put("a", 9)}, 9}, now_)), "+a");
  EXPECT_EQ(Keys(mirror_.OnChanges({{Put("a", 7), {"a", std::nullopt, 8}}, 8}, now_)), "");
  EXPECT_EQ(mirror_.revision(), 9U);
}

// Guards against removals that are missed when the store forgets its history.
TEST_F(StoreMirrorTest, ListsAnewWhenTheHistoryIsGone) {
  ListAll({Put("a", 1), Put("b", 2)}, 5);
  mirror_.OnFailure(absl::OutOfRangeError("gone"), now_);
  EXPECT_TRUE(mirror_.Next().list);
  EXPECT_EQ(ListAll({Put("b", 2), Put("c", 8)}, 9), "+c-a");
  EXPECT_FALSE(mirror_.InDoubt(now_));
  EXPECT_EQ(mirror_.Next().after_revision, 9U);
}

// Guards against removals after an outage that are believed at once, and doubted for ever.
TEST_F(StoreMirrorTest, DoubtsRemovalsAfterAnOutage) {
  ListAll({Put("a", 1)}, 5);
  EXPECT_FALSE(mirror_.InDoubt(now_));
  mirror_.OnFailure(absl::UnavailableError("down"), now_);
  EXPECT_FALSE(mirror_.in_contact());
  EXPECT_TRUE(mirror_.InDoubt(now_));
  now_ += seconds(30);
  EXPECT_EQ(Keys(mirror_.OnChanges({{{"a", std::nullopt, 6}}, 6}, now_)), "-a");
  EXPECT_TRUE(mirror_.InDoubt(now_ + seconds(2)));
  EXPECT_FALSE(mirror_.InDoubt(now_ + seconds(3)));
}

// Guards against a listing that an outage cut in two and whose halves are taken for one.
TEST_F(StoreMirrorTest, BeginsAListingAgainAfterAFailure) {
  mirror_.OnPage({{Put("a", 1)}, true, 5}, now_);
  mirror_.OnFailure(absl::UnavailableError("down"), now_);
  EXPECT_EQ(mirror_.Next().after_key, "");
  EXPECT_EQ(ListAll({Put("b", 7)}, 7), "+b-a");
}

// Guards against a peer's older state that replaces what the store has said.
TEST_F(StoreMirrorTest, APeersStateOnlyFillsTheGap) {
  EXPECT_EQ(Keys(mirror_.OnPeerState({{Put("a", 5), Put("b", 6)}, false, 6})), "+a+b");
  EXPECT_EQ(Keys(mirror_.OnPeerState({{Put("a", 4), Put("b", 7)}, false, 7})), "+b");
  EXPECT_TRUE(mirror_.usable());
  EXPECT_FALSE(mirror_.synced());
  EXPECT_TRUE(mirror_.Next().list);
  EXPECT_EQ(ListAll({Put("a", 8)}, 9), "+a-b");
  EXPECT_EQ(Keys(mirror_.OnPeerState({{Put("a", 5), Put("c", 99)}, false, 99})), "");
}

}  // namespace
}  // namespace heatherspan
