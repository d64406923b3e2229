#include "gateway/store_snapshot.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "gateway/listing_budget.h"
#include "gateway/peer_selection.h"
#include "gateway/store_reader_role.h"

namespace heatherspan {
namespace {

auto Text(const std::optional<std::vector<StoreChange>>& changes) -> std::string {
  if (!changes.has_value()) return "unknown";
  std::string text;
  for (const auto& change : *changes) {
    text += (change.value.has_value() ? "+" : "-") + change.key + std::to_string(change.revision);
  }
  return text;
}

// Guards against a peer that misses a removal, and against answers that grow with the number of
// changes of one item.
TEST(StoreSnapshot, GivesTheLastChangeOfEachKeyAfterARevision) {
  StoreSnapshot snapshot;
  snapshot.Apply({"a", "1", 1});
  snapshot.Apply({"b", "1", 2});
  snapshot.Apply({"c", "1", 2});
  snapshot.Apply({"a", "2", 3});
  snapshot.Apply({"b", std::nullopt, 4});
  EXPECT_EQ(Text(snapshot.ChangesAfter(0)), "+c2+a3-b4");
  EXPECT_EQ(Text(snapshot.ChangesAfter(3)), "-b4");
  EXPECT_EQ(Text(snapshot.ChangesAfter(4)), "");
  EXPECT_EQ(snapshot.Page(4).items.size(), 2U);
  snapshot.Apply({"b", "2", 5});
  EXPECT_EQ(Text(snapshot.ChangesAfter(3)), "+b5");
}

// Guards against memory that grows with every target that ever was, and against a peer that takes
// an answer without the forgotten removals for complete.
TEST(StoreSnapshot, ForgetsTheOldestRemovals) {
  StoreSnapshot snapshot;
  const auto removals = StoreSnapshot::kMaxRemovals + 10;
  for (std::uint64_t i = 1; i <= removals; ++i) {
    snapshot.Apply({std::to_string(i), std::nullopt, i});
  }
  EXPECT_EQ(Text(snapshot.ChangesAfter(9)), "unknown");
  ASSERT_TRUE(snapshot.ChangesAfter(10).has_value());
  EXPECT_EQ(snapshot.ChangesAfter(10)->size(), StoreSnapshot::kMaxRemovals);
}

// Guards against removals of the lost history that a peer gets as changes of the present one, and
// against work for items that are as before.
TEST(StoreSnapshot, BeginsAnewWithAnotherEra) {
  StoreSnapshot snapshot;
  snapshot.Apply({"a", "1", 58});
  snapshot.Apply({"b", "1", 59});
  snapshot.Apply({"b", std::nullopt, 60});
  snapshot.BeginEra();
  EXPECT_EQ(snapshot.Apply({"a", "1", 50}), StoreSnapshot::Effect::kUnchanged);
  EXPECT_EQ(snapshot.Apply({"c", "1", 51}), StoreSnapshot::Effect::kNew);
  EXPECT_EQ(snapshot.Apply({"b", "0", 49}), StoreSnapshot::Effect::kRemovedBefore);
  EXPECT_EQ(snapshot.EarlierWrite("b")->revision, 59U);
  snapshot.EndOfNewState();
  EXPECT_TRUE(snapshot.IsCurrent({"b", "0", 49}));
  EXPECT_EQ(Text(snapshot.ChangesAfter(0)), "+b49+a50+c51");
  EXPECT_EQ(snapshot.Apply({"a", "1", 52}), StoreSnapshot::Effect::kNew);
}

/// The first letter of a zone is its region.
auto Vm(const std::string& name, const std::string& zone) -> EntryVm {
  return {NodeName(name), ZoneName(zone), RegionName(zone.substr(0, 1)), {}, {name, 1}};
}

auto SelectFor(const EntryVm& vm, const std::vector<EntryVm>& vms) -> PeerSelection {
  return SelectPeers(vms, vm.name, vm.zone, vm.region);
}

auto Names(const PeerSelection& selection) -> std::string {
  std::string names;
  for (const auto& peer : selection.zone_readers) names += peer.address + "! ";
  for (const auto& peer : selection.others) names += peer.address + " ";
  return names;
}

// Guards against a node that asks itself, and against one that nobody reads the store for.
TEST(PeerSelection, AVmWithoutPeersInItsZoneReadsTheStore) {
  const auto self = Vm("a", "r1");
  EXPECT_EQ(Names(SelectFor(self, {self})), "");
  EXPECT_TRUE(SelectFor(self, {self}).is_reader);
  EXPECT_TRUE(SelectFor(self, {}).is_reader);
  const auto selection = SelectFor(self, {self, Vm("c", "r2"), Vm("d", "s1"), Vm("e", "t1")});
  EXPECT_TRUE(selection.is_reader);
  EXPECT_EQ(selection.others.size(), 2U);
  auto without_listener = Vm("b", "r2");
  without_listener.peer_endpoint = {};
  EXPECT_EQ(Names(SelectFor(self, {self, without_listener})), "");
}

// Guards against readers that the VMs of a zone don't agree on, against peers that are cut off
// together, and against few peers that are asked by all.
TEST(PeerSelection, EachZoneHasOneReader) {
  constexpr int kVms = 90;
  std::vector<EntryVm> fleet;
  fleet.reserve(kVms);
  for (int i = 0; i < kVms; ++i) {
    fleet.push_back(
        Vm("vm-" + std::to_string(i), std::string(i % 2 == 0 ? "r" : "s") + std::to_string(i % 3)));
  }
  std::map<ZoneName, std::set<std::string>> readers;
  std::map<std::string, int> other_questions;
  for (const auto& vm : fleet) {
    const auto selection = SelectFor(vm, fleet);
    ASSERT_EQ(selection.zone_readers.size(), selection.is_reader ? 0U : 1U);
    readers[vm.zone].insert(selection.is_reader ? vm.name.value()
                                                : selection.zone_readers[0].address);
    ASSERT_EQ(selection.others.size(), 2U);
    for (const auto& peer : selection.others) ++other_questions[peer.address];
  }
  EXPECT_EQ(readers.size(), 6U);
  for (const auto& [zone, names] : readers) EXPECT_EQ(names.size(), 1U) << zone.value();
  for (const auto& [peer, count] : other_questions) EXPECT_LE(count, 10) << peer;
}

constexpr auto kStart = MonotonicTime(std::chrono::hours(1));
constexpr Duration kYoung = StoreReadTiming().max_state_age;
constexpr Duration kOld = kYoung + std::chrono::milliseconds(1);

auto Addresses(const std::vector<Endpoint>& peers) -> std::set<std::string> {
  std::set<std::string> addresses;
  for (const auto& peer : peers) addresses.insert(peer.address);
  return addresses;
}

// Guards against a node that relies on a reader which is lost or has an old state, and against one
// that reads the store beside a reader that is well.
TEST(StoreReaderRole, ReadsTheStoreWhenTheReaderIsSilentOrBehind) {
  const PeerSelection as_follower{
      false, {{"reader", 1}}, {{"near", 1}, {"far", 1}}, {{"reader", 1}, {"near", 1}, {"far", 1}}};
  StoreReaderRole role;
  EXPECT_TRUE(role.ReadsStore(Duration::zero(), kStart));
  EXPECT_TRUE(role.NextQuestions({Duration::zero()}, kStart).empty());
  role.SetPeers(as_follower);
  EXPECT_FALSE(role.ReadsStore(kYoung, kStart));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Addresses(role.NextQuestions({kYoung}, kStart)), std::set<std::string>{"reader"});
  }
  // The reader is silent or has an old state: the store is read and all others are asked at once.
  EXPECT_TRUE(role.ReadsStore(kOld, kStart));
  EXPECT_EQ(Addresses(role.NextQuestions({kOld}, kStart)),
            (std::set<std::string>{"reader", "near", "far"}));
  const auto end = kStart + StoreReaderRole::kReadingTime;
  EXPECT_TRUE(role.ReadsStore(kYoung, end - std::chrono::milliseconds(1)));
  EXPECT_FALSE(role.ReadsStore(kYoung, end));
  // All announcements have expired: the node reads the store and still knows whom to ask.
  role.SetPeers({});
  EXPECT_TRUE(role.ReadsStore(kYoung, end));
  EXPECT_FALSE(role.NextQuestions({kYoung}, end).empty());
}

// Guards against a search that asks a few peers only, that never pauses, or that forgets the peer
// which ended it.
TEST(StoreReaderRole, SearchesAllPeersAndKeepsTheSource) {
  constexpr int kPeers = 40;
  PeerSelection peers{false, {{"reader", 1}}, {}, {{"reader", 1}}};
  for (int i = 0; i < kPeers; ++i) peers.all.push_back({"peer-" + std::to_string(i), 1});
  StoreReaderRole role;
  role.SetPeers(peers);
  auto now = kStart;
  std::set<std::string> asked;
  std::size_t questions = 0;
  while (asked.size() < peers.all.size() && now < kStart + std::chrono::seconds(10)) {
    const auto next = role.NextQuestions({kOld}, now);
    EXPECT_LE(next.size(), StoreReaderRole::kSearchWidth);
    questions += next.size();
    asked.merge(Addresses(next));
    now += role.QuestionInterval({kOld}, now);
  }
  EXPECT_EQ(asked.size(), peers.all.size());
  // At most one question in the pause for each peer on average, after the first search.
  EXPECT_LE(questions,
            StoreReaderRole::kMaxSearched + (now - kStart) / StoreReaderRole::kSearchPause);
  role.OnAnswer({"peer-7", 1}, kOld, now);
  EXPECT_EQ(Addresses(role.NextQuestions({kYoung}, now)), std::set<std::string>{"reader"});
  role.OnAnswer({"peer-7", 1}, kYoung, now);
  EXPECT_EQ(Addresses(role.NextQuestions({kYoung}, now)),
            (std::set<std::string>{"reader", "peer-7"}));
  now += StoreReaderRole::kSourceTime;
  EXPECT_EQ(Addresses(role.NextQuestions({kYoung}, now)), std::set<std::string>{"reader"});
}

// Guards against a seed whose link is filled by listings for VMs that start together, so that it
// reads callers' requests seconds late, and against a seed that gives none.
TEST(ListingBudget, BoundsTheRateAlsoOfLargeListings) {
  constexpr std::size_t kLarge = std::size_t{700} * 1024;
  constexpr std::size_t kSmall = std::size_t{40} * 1024;
  constexpr int kTicks = 400;
  for (const auto size : {kLarge, kSmall}) {
    ListingBudget budget;
    std::size_t given = 0;
    for (int tick = 0; tick < kTicks; ++tick) {
      for (int question = 0; question < 64; ++question) {
        if (!budget.MayGive()) continue;
        budget.OnGiven(size);
        given += size;
      }
      budget.OnTick();
    }
    EXPECT_LE(given, (kTicks + 1) * ListingBudget::kBytesPerTick + size);
    EXPECT_GE(given, (kTicks - 1) * ListingBudget::kBytesPerTick);
  }
}

}  // namespace
}  // namespace heatherspan
