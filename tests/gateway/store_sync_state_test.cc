#include "gateway/store_sync_state.h"

#include <gtest/gtest.h>

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
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

class StoreSyncStateTest : public testing::Test {
 protected:
  auto ListAll(std::vector<StoreChange> items, std::uint64_t revision) -> std::string {
    return Keys(sync_state_.OnPage({std::move(items), false, revision}, now_));
  }

  MonotonicTime now_ = kStart;
  StoreSyncState sync_state_;
};

// Guards against a missed change between two pages of a listing.
TEST_F(StoreSyncStateTest, WatchesFromRevisionOfFirstPage) {
  EXPECT_TRUE(sync_state_.Next().list);
  EXPECT_EQ(Keys(sync_state_.OnPage({{Put("a", 3), Put("b", 4)}, true, 10}, now_)), "+a+b");
  EXPECT_EQ(sync_state_.Next().after_key, "b");
  EXPECT_FALSE(sync_state_.synced());
  EXPECT_EQ(ListAll({Put("c", 12)}, 13), "+c");
  EXPECT_TRUE(sync_state_.synced());
  EXPECT_FALSE(sync_state_.Next().list);
  EXPECT_EQ(sync_state_.Next().after_revision, 10U);
  // Items that the pages have already shown are not reported again.
  EXPECT_EQ(Keys(sync_state_.OnChanges({{Put("a", 11), Put("c", 12)}, 13}, now_)), "+a");
}

// Guards against a late response that restores an older state.
TEST_F(StoreSyncStateTest, IgnoresOlderRevisions) {
  ListAll({Put("a", 5)}, 5);
  EXPECT_EQ(Keys(sync_state_.OnChanges({{Put("a", 9)}, 9}, now_)), "+a");
  EXPECT_EQ(Keys(sync_state_.OnChanges({{Put("a", 7), {"a", std::nullopt, 8}}, 8}, now_)), "");
  EXPECT_EQ(sync_state_.revision(), 9U);
}

// Guards against missed removals when the store no longer has the recent changes.
TEST_F(StoreSyncStateTest, ListsAgainWhenHistoryIsUnavailable) {
  ListAll({Put("a", 1), Put("b", 2)}, 5);
  sync_state_.OnFailure(absl::OutOfRangeError("gone"));
  EXPECT_TRUE(sync_state_.Next().list);
  EXPECT_EQ(ListAll({Put("b", 2), Put("c", 8)}, 9), "+c-a");
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
  EXPECT_EQ(sync_state_.Next().after_revision, 9U);
}

// Guards against an answer that is too large and counts as an outage, and against a listing without
// pause when that is too large itself.
TEST_F(StoreSyncStateTest, ListsWhenTheChangesAreTooLarge) {
  const auto too_large = absl::ResourceExhaustedError("too large");
  ListAll({Put("a", 1), Put("b", 2)}, 5);
  EXPECT_TRUE(sync_state_.NeedsListing(too_large));
  sync_state_.OnFailure(too_large);
  EXPECT_FALSE(sync_state_.lost());
  EXPECT_TRUE(sync_state_.Next().list);
  EXPECT_FALSE(sync_state_.NeedsListing(too_large));
  EXPECT_EQ(ListAll({Put("b", 2), Put("c", 8)}, 9), "+c-a");
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
}

// Guards against an outage that goes unnoticed because it began while an answer arrived.
TEST_F(StoreSyncStateTest, APartOfAnAnswerIsNoContact) {
  ListAll({Put("a", 1)}, 5);
  sync_state_.OnFailure(absl::DeadlineExceededError("too slow"));
  EXPECT_TRUE(sync_state_.Next().list);
  now_ += seconds(2);
  EXPECT_EQ(ListAll({}, 9), "-a");
  EXPECT_TRUE(sync_state_.RemovalsUnconfirmed());
}

// Guards against removals after an outage that take effect at once, and against removals that stay
// unconfirmed forever.
TEST_F(StoreSyncStateTest, RemovalsAreUnconfirmedAfterOutage) {
  ListAll({Put("a", 1)}, 5);
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
  sync_state_.OnFailure(absl::UnavailableError("down"));
  EXPECT_FALSE(sync_state_.in_contact());
  now_ += seconds(30);
  EXPECT_EQ(Keys(sync_state_.OnChanges({{{"a", std::nullopt, 6}}, 6}, now_)), "-a");
  EXPECT_TRUE(sync_state_.RemovalsUnconfirmed());
  now_ += seconds(1);
  sync_state_.OnChanges({{}, 6}, now_);
  EXPECT_TRUE(sync_state_.RemovalsUnconfirmed());
  // Time alone shows nothing: the target's new registration may be among changes not yet read.
  now_ += seconds(1);
  EXPECT_TRUE(sync_state_.RemovalsUnconfirmed());
  sync_state_.OnChanges({{}, 6}, now_);
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
}

// Guards against a listing that is interrupted by an outage and whose two halves are treated as one
// listing.
TEST_F(StoreSyncStateTest, RestartsListingAfterFailure) {
  sync_state_.OnPage({{Put("a", 1)}, true, 5}, now_);
  sync_state_.OnFailure(absl::UnavailableError("down"));
  EXPECT_EQ(sync_state_.Next().after_key, "");
  EXPECT_EQ(ListAll({Put("b", 7)}, 7), "+b-a");
}

// Guards against a peer's older state that replaces newer data, and against the late page of a
// listing that was made before it.
TEST_F(StoreSyncStateTest, PeerStateIsUsedOnlyBeforeFirstListing) {
  EXPECT_EQ(Keys(sync_state_.OnPage({{Put("a", 3), Put("c", 9)}, true, 9}, now_)), "+a+c");
  EXPECT_EQ(Keys(sync_state_.OnPeerState({{Put("b", 6)}, false, 6}, now_)), "+b-a");
  EXPECT_TRUE(sync_state_.synced());
  EXPECT_EQ(Keys(sync_state_.OnPage({{Put("a", 3), Put("d", 4)}, false, 9}, now_)), "");
  EXPECT_EQ(Keys(sync_state_.OnPeerState({{Put("a", 5), Put("e", 99)}, false, 99}, now_)), "");
  // The watch repeats what the store has shown after the peer's revision.
  EXPECT_FALSE(sync_state_.Next().list);
  EXPECT_EQ(sync_state_.Next().after_revision, 6U);
  EXPECT_EQ(Keys(sync_state_.OnChanges({{Put("c", 9), {"c", std::nullopt, 10}}, 10}, now_)), "-c");
  // If the store no longer has that history, a listing replaces the peer's state.
  sync_state_.OnFailure(absl::OutOfRangeError("gone"));
  EXPECT_TRUE(sync_state_.Next().list);
  EXPECT_EQ(ListAll({Put("a", 18)}, 19), "+a-b");
}

// Guards against a process that starts from a peer's state and takes it, or what other peers that
// are behind tell, for current.
TEST_F(StoreSyncStateTest, APeersStateIsAsOldAsItsPeersTell) {
  sync_state_.OnPeerState({{Put("a", 6)}, false, 6}, now_);
  EXPECT_GT(sync_state_.Age(now_), seconds(60));
  sync_state_.OnPeerChanges({{}, 6, seconds(20), seconds(20)}, now_);
  EXPECT_EQ(sync_state_.Age(now_), seconds(20));
  now_ += seconds(5);
  EXPECT_EQ(sync_state_.Age(now_), seconds(25));
  EXPECT_FALSE(sync_state_.in_contact());
  EXPECT_EQ(sync_state_.proved_at(), StateProof::kNever);
}

// Guards against a node that the store turns away and that stays at an old revision, against
// changes of a peer that is behind, and against a delayed answer of the store that restores a
// removed item.
TEST_F(StoreSyncStateTest, PeerChangesContinueTheState) {
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges({{Put("a", 2)}, 2}, now_)), "");
  ListAll({Put("a", 1)}, 5);
  sync_state_.OnFailure(absl::UnavailableError("turned away"));
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges({{Put("a", 7), Put("b", 8)}, 9}, now_)), "+a+b");
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges({{{"b", std::nullopt, 10}}, 10}, now_)), "-b");
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges({{Put("a", 6), {"a", std::nullopt, 7}}, 7}, now_)), "");
  EXPECT_EQ(sync_state_.revision(), 10U);
  EXPECT_EQ(sync_state_.Next().after_revision, 10U);
  EXPECT_EQ(Keys(sync_state_.OnChanges({{Put("b", 8)}, 8}, now_)), "");
  // A peer may know an item that this node has never seen.
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges({{{"c", std::nullopt, 12}}, 12}, now_)), "-c");
}

// Guards against a leaving target that stays in use for two seconds more because the store turns
// this node away, although a peer has the removal from the store.
TEST_F(StoreSyncStateTest, APeerInContactVouchesForRemovals) {
  ListAll({Put("a", 1), Put("b", 2)}, 5);
  sync_state_.OnFailure(absl::UnavailableError("turned away"));
  now_ += seconds(5);
  sync_state_.OnPeerChanges({{{"a", std::nullopt, 6}}, 6, Duration::zero(), seconds(9)}, now_);
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
  // The node's next call fails as well, and the store answers again a second later.
  sync_state_.OnFailure(absl::UnavailableError("turned away"));
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
  now_ += seconds(1);
  EXPECT_EQ(Keys(sync_state_.OnChanges({{{"b", std::nullopt, 7}}, 7}, now_)), "-b");
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
}

// Guards against registrations that expired during an outage and are removed at once because a
// peer has not noticed the outage, and against an outage that is not passed on.
TEST_F(StoreSyncStateTest, OnlyAPeerThatHeardTheStoreMeanwhileVouchesForRemovals) {
  ListAll({Put("a", 1)}, 5);
  sync_state_.OnFailure(absl::UnavailableError("down"));
  now_ += seconds(4);
  // What was removed three seconds ago was removed before the outage.
  sync_state_.OnPeerChanges({{}, 5, seconds(3), seconds(60)}, now_);
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
  sync_state_.OnPeerChanges({{{"a", std::nullopt, 6}}, 6, Duration::zero(), seconds(1)}, now_);
  EXPECT_TRUE(sync_state_.RemovalsUnconfirmed());
  EXPECT_EQ(sync_state_.ContactAge(now_), seconds(1));
  now_ += seconds(1);
  sync_state_.OnPeerChanges({{}, 6, Duration::zero(), seconds(2)}, now_);
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
}

// Guards against VMs that renew each other's doubt: all of them count from the store's first answer
// after the outage, whoever got it and whenever they heard of it.
TEST_F(StoreSyncStateTest, DoubtCountsFromTheFirstAnswerAfterTheOutage) {
  ListAll({Put("a", 1)}, 5);
  sync_state_.OnFailure(absl::UnavailableError("down"));
  now_ += seconds(10);
  sync_state_.OnChanges({{{"a", std::nullopt, 6}}, 6}, now_);
  EXPECT_TRUE(sync_state_.RemovalsUnconfirmed());
  sync_state_.OnPeerChanges({{}, 6, milliseconds(500), milliseconds(1900)}, now_);
  EXPECT_EQ(sync_state_.ContactAge(now_), milliseconds(1900));
  now_ += milliseconds(100);
  sync_state_.OnPeerChanges({{}, 6, Duration::zero(), milliseconds(200)}, now_);
  EXPECT_EQ(sync_state_.ContactAge(now_), seconds(2));
  EXPECT_FALSE(sync_state_.RemovalsUnconfirmed());
}

// Guards against a node, and peers that ask it, which take the state for current while a listing is
// under way and the changes on its further pages are missing.
TEST_F(StoreSyncStateTest, AListingInProgressDoesNotMakeTheStateYounger) {
  ListAll({Put("a", 1), Put("b", 2)}, 5);
  EXPECT_EQ(sync_state_.Age(now_), Duration::zero());
  now_ += seconds(2);
  sync_state_.OnFailure(absl::OutOfRangeError("gone"));
  EXPECT_EQ(sync_state_.Age(now_), seconds(2));
  sync_state_.OnPage({{Put("a", 6)}, true, 12}, now_);
  now_ += seconds(1);
  EXPECT_EQ(sync_state_.Age(now_), seconds(3));
  ListAll({Put("c", 7)}, 14);
  EXPECT_EQ(sync_state_.Age(now_), seconds(1));
}

// Guards against a node whose listing takes seconds while a peer already has the changes, and
// against a page of that listing that is applied after them.
TEST_F(StoreSyncStateTest, PeerChangesReplaceAListing) {
  ListAll({Put("a", 1), Put("b", 2)}, 5);
  sync_state_.OnFailure(absl::OutOfRangeError("gone"));
  EXPECT_EQ(Keys(sync_state_.OnPage({{Put("a", 6)}, true, 12}, now_)), "+a");
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges({{Put("a", 6), {"b", std::nullopt, 14}}, 15}, now_)),
            "-b");
  EXPECT_FALSE(sync_state_.Next().list);
  EXPECT_EQ(Keys(sync_state_.OnPage({{Put("b", 2)}, false, 13}, now_)), "");
  EXPECT_EQ(sync_state_.Next().after_revision, 15U);
  EXPECT_EQ(sync_state_.history_start(), 5U);
}

// Guards against changes that are dropped because the store gave their revisions to others before
// it came back from a copy, and against items of the lost history that stay.
TEST_F(StoreSyncStateTest, TheStateOfAnotherEraReplacesTheState) {
  EXPECT_FALSE(sync_state_.OnStoreEra(StoreEra(1), now_, now_));
  ListAll({Put("a", 3), Put("b", 59), Put("c", 60)}, 60);
  now_ += seconds(5);
  EXPECT_TRUE(sync_state_.OnStoreEra(StoreEra(2), now_, now_));
  EXPECT_TRUE(sync_state_.is_outdated());
  EXPECT_TRUE(sync_state_.Next().list);
  EXPECT_EQ(Keys(sync_state_.OnPage({{Put("a", 3)}, true, 50}, now_)), "");
  EXPECT_EQ(sync_state_.revision(), 60U);
  EXPECT_EQ(ListAll({Put("c", 50), Put("d", 49)}, 51), "-b+a+c+d");
  EXPECT_EQ(sync_state_.era(), StoreEra(2));
  EXPECT_EQ(sync_state_.Next().after_revision, 50U);
  EXPECT_TRUE(sync_state_.RemovalsUnconfirmed());
  EXPECT_EQ(Keys(sync_state_.OnChanges({{Put("b", 51)}, 51}, now_)), "+b");
  // Peers of the era before know nothing of this one.
  StoreChanges earlier{{Put("e", 70)}, 70};
  earlier.era = StoreEra(1);
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges(earlier, now_)), "");
}

// Guards against a node that lists the store without end because it has a revision which the store
// doesn't have: the store has gone back and tells no era, or a peer has told a false revision.
TEST_F(StoreSyncStateTest, AListingBehindTheStateReplacesIt) {
  ListAll({Put("a", 3), Put("b", 60)}, 60);
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges({{Put("c", 900)}, 900}, now_)), "+c");
  sync_state_.OnFailure(absl::OutOfRangeError("the store doesn't have revision 900"));
  EXPECT_EQ(Keys(sync_state_.OnPage({{Put("a", 3)}, true, 59}, now_)), "");
  EXPECT_EQ(ListAll({Put("b", 59)}, 59), "-c+a+b");
  EXPECT_EQ(sync_state_.Next().after_revision, 59U);
  EXPECT_EQ(Keys(sync_state_.OnChanges({{Put("b", 60)}, 60}, now_)), "+b");
}

// Guards against answers that were made before the restore and arrive after it, and against a node
// that never again believes a store whose era has gone back.
TEST_F(StoreSyncStateTest, OnlyAnswersToLaterCallsTellAnEarlierEra) {
  sync_state_.OnStoreEra(StoreEra(7), now_, now_);
  ListAll({Put("a", 3)}, 60);
  const auto before = now_;
  now_ += seconds(1);
  EXPECT_TRUE(sync_state_.OnStoreEra(StoreEra(8), now_, now_));
  EXPECT_FALSE(sync_state_.OnStoreEra(StoreEra(7), before, now_));
  EXPECT_EQ(ListAll({Put("a", 2)}, 40), "+a");
  now_ += seconds(1);
  const auto listing = sync_state_.listing_number();
  EXPECT_TRUE(sync_state_.OnStoreEra(StoreEra(2), now_, now_));
  EXPECT_NE(sync_state_.listing_number(), listing);
}

// Guards against a peer that makes a node deaf to the store, or to its other peers, with an era
// that does not exist.
TEST_F(StoreSyncStateTest, TheStoreRefutesThePeersEra) {
  sync_state_.OnStoreEra(StoreEra(1), now_, now_);
  ListAll({Put("a", 3)}, 60);
  now_ += seconds(1);
  EXPECT_FALSE(sync_state_.OnPeerEra(StoreEra(1), now_));
  EXPECT_TRUE(sync_state_.OnPeerEra(StoreEra(99), now_));
  EXPECT_TRUE(sync_state_.Next().list);
  EXPECT_FALSE(sync_state_.OnPeerEra(StoreEra(100), now_));
  StoreChanges changes{{Put("b", 61)}, 61};
  changes.era = StoreEra(1);
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges(changes, now_)), "+b");
  EXPECT_FALSE(sync_state_.OnStoreEra(StoreEra(1), now_, now_));
  EXPECT_FALSE(sync_state_.Next().list);
  EXPECT_EQ(sync_state_.Next().after_revision, 61U);
  // It is not asked at once again.
  now_ += milliseconds(500);
  EXPECT_FALSE(sync_state_.OnPeerEra(StoreEra(99), now_));
}

// Guards against a node that the store turns away and that keeps the state of the lost history.
TEST_F(StoreSyncStateTest, APeersStateOfALaterEraReplacesTheState) {
  sync_state_.OnStoreEra(StoreEra(1), now_, now_);
  ListAll({Put("a", 3), Put("b", 60)}, 60);
  EXPECT_EQ(Keys(sync_state_.OnPeerState({{Put("c", 9)}, false, 70, StoreEra(1)}, now_)), "");
  EXPECT_TRUE(sync_state_.OnPeerEra(StoreEra(2), now_));
  EXPECT_EQ(Keys(sync_state_.OnPeerState({{Put("c", 9)}, false, 70, StoreEra(1)}, now_)), "");
  const auto changes = Keys(sync_state_.OnPeerState({{Put("a", 5)}, false, 50, StoreEra(2)}, now_));
  EXPECT_EQ(changes, "-b+a");
  EXPECT_EQ(sync_state_.era(), StoreEra(2));
  EXPECT_EQ(sync_state_.Next().after_revision, 50U);
  EXPECT_TRUE(sync_state_.RemovalsUnconfirmed());
}

// Guards against a state of two eras: a peer's state of the era after keeps items of the pages that
// were read before, whose revisions hide the peer's items and their later changes.
TEST_F(StoreSyncStateTest, APeersStateOfALaterEraReplacesThePagesReadBefore) {
  sync_state_.OnStoreEra(StoreEra(1), now_, now_);
  EXPECT_EQ(Keys(sync_state_.OnPage({{Put("a", 50), Put("b", 60)}, true, 60, StoreEra(1)}, now_)),
            "+a+b");
  sync_state_.OnFailure(absl::UnavailableError("away"));
  EXPECT_EQ(
      Keys(sync_state_.OnPeerState({{Put("a", 20), Put("c", 21)}, false, 22, StoreEra(2)}, now_)),
      "-b+a+c");
  EXPECT_EQ(sync_state_.era(), StoreEra(2));
  StoreChanges changes{{Put("a", 30)}, 30};
  changes.era = StoreEra(2);
  EXPECT_EQ(Keys(sync_state_.OnPeerChanges(changes, now_)), "+a");
}

// Guards against items of a later era's first pages beside a peer's state of the era before.
TEST_F(StoreSyncStateTest, APeersStateOfAnEarlierEraReplacesThePagesReadBefore) {
  sync_state_.OnStoreEra(StoreEra(2), now_, now_);
  sync_state_.OnPage({{Put("a", 20), Put("b", 21)}, true, 22, StoreEra(2)}, now_);
  EXPECT_EQ(Keys(sync_state_.OnPeerState({{Put("a", 10)}, false, 60, StoreEra(1)}, now_)), "-b+a");
  EXPECT_TRUE(sync_state_.is_outdated());
}

}  // namespace
}  // namespace heatherspan
