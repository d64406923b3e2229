#include "gateway/state_proof.h"

#include <gtest/gtest.h>

#include <array>
#include <map>
#include <random>
#include <vector>

#include "gateway/store_read_timing.h"
#include "gateway/store_sync_state.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kStart = BootTime(std::chrono::hours(5));

auto Page(std::uint64_t revision, BootTime called_at, std::uint64_t era = 1) -> StorePage {
  return {{}, false, revision, StoreEra(era), called_at};
}

auto Answer(std::uint64_t revision, BootTime proved_at, std::uint64_t era = 1) -> StoreChanges {
  StoreChanges changes;
  changes.revision = revision;
  changes.era = StoreEra(era);
  changes.proved_at = proved_at;
  return changes;
}

class StateProofTest : public testing::Test {
 protected:
  StateProofTest() {
    state_.OnStoreEra(StoreEra(1), MonotonicTime(), MonotonicTime());
    state_.OnPage(Page(10, kStart), MonotonicTime());
  }
  auto Age(Duration since_start) const -> Duration {
    return kStart + since_start - state_.proved_at();
  }

  StoreSyncState state_;
};

// Guards against a proof by the arrival of an answer that was made long before, and against one
// that goes back when the answer to an earlier call arrives last.
TEST_F(StateProofTest, CountsFromTheCall) {
  EXPECT_EQ(Age(seconds(2)), seconds(2));
  state_.OnChanges(Answer(12, kStart + seconds(3)), MonotonicTime(seconds(6)));
  EXPECT_EQ(Age(seconds(6)), seconds(3));
  state_.OnChanges(Answer(12, kStart + seconds(1)), MonotonicTime(seconds(6)));
  EXPECT_EQ(Age(seconds(6)), seconds(3));
}

// Guards against a proof by a store or a peer that is behind this state.
TEST_F(StateProofTest, OnlyAStateThatIsNoOlderCounts) {
  state_.OnChanges(Answer(9, kStart + seconds(3)), MonotonicTime());
  state_.OnPeerChanges(Answer(9, kStart + seconds(3)), MonotonicTime());
  EXPECT_EQ(Age(seconds(3)), seconds(3));
  state_.OnPeerChanges(Answer(10, kStart + seconds(2)), MonotonicTime());
  EXPECT_EQ(Age(seconds(3)), seconds(1));
}

// Guards against a proof by a peer that states none, or whose whole state has been taken over.
TEST_F(StateProofTest, AnEarlierBuildAndAPeersListingProveNothing) {
  state_.OnPeerChanges(Answer(20, StateProof::kNever), MonotonicTime());
  EXPECT_EQ(state_.revision(), 20U);
  EXPECT_EQ(Age(seconds(3)), seconds(3));
  StoreSyncState fresh;
  fresh.OnPeerState(Page(10, kStart), MonotonicTime());
  EXPECT_TRUE(fresh.synced());
  EXPECT_EQ(fresh.proved_at(), StateProof::kNever);
  state_.OnStoreEra(StoreEra(2), MonotonicTime(seconds(1)), MonotonicTime(seconds(1)));
  state_.OnPeerState(Page(5, kStart + seconds(2), 2), MonotonicTime());
  EXPECT_EQ(state_.revision(), 5U);
  EXPECT_EQ(state_.proved_at(), StateProof::kNever);
}

// Guards against a proof by a store that is back from an older copy, before its state is read.
TEST_F(StateProofTest, ARestoredStoreProvesNothingUntilItIsRead) {
  ASSERT_TRUE(state_.OnStoreEra(StoreEra(2), MonotonicTime(seconds(1)), MonotonicTime(seconds(1))));
  state_.OnChanges(Answer(40, kStart + seconds(3), 2), MonotonicTime());
  state_.OnPeerChanges(Answer(40, kStart + seconds(3), 2), MonotonicTime());
  auto first = Page(5, kStart + seconds(4), 2);
  first.more = true;
  first.items = {{"a", "value", 3}};
  state_.OnPage(first, MonotonicTime());
  EXPECT_EQ(Age(seconds(5)), seconds(5));
  state_.OnPage(Page(7, kStart + seconds(5), 2), MonotonicTime());
  EXPECT_EQ(Age(seconds(5)), seconds(1));
}

auto InCalm(Duration limit) -> Duration { return limit * StoreReadTiming::kCalmPercent / 100; }

// Guards against a timing in which a VM in calm refuses requests for the age of its proof.
TEST(StoreReadTiming, ProvesInTimeInCalm) {
  const auto unbounded = StoreReadTiming::For(seconds(3));
  EXPECT_EQ(unbounded.max_proved_age, Duration::max());
  EXPECT_EQ(unbounded.ProvedWithin(seconds(30)).answer_interval, unbounded.answer_interval);
  EXPECT_EQ(unbounded.ProvedWithin(seconds(30)).batch_delay, unbounded.batch_delay);
  for (const auto limit : {seconds(2), seconds(3), seconds(5), seconds(30)}) {
    const auto timing = unbounded.ProvedWithin(limit);
    EXPECT_LE(2 * timing.answer_interval + milliseconds(450), InCalm(limit));
    EXPECT_LE(timing.batch_delay, timing.answer_interval);
    EXPECT_LT(timing.max_proved_age, limit);
  }
}

/// A store, a VM that reads it and a chain of VMs that ask the one before, in virtual time. Answers
/// are held up and lost, machines are suspended.
class ProofChain {
 public:
  static constexpr std::size_t kVms = 4;
  static constexpr auto kStep = milliseconds(10);
  static constexpr Duration kLimit = seconds(5);
  static constexpr auto kTiming = StoreReadTiming::For(seconds(3)).ProvedWithin(kLimit);

  explicit ProofChain(unsigned seed) : random_(seed) {
    for (auto& vm : vms_) vm.state.OnPage(Page(0, now_, 0), MonotonicTime());
  }

  auto Step(bool trouble) -> void {
    now_ += kStep;
    if (Draw(20) == 0) changes_[++revision_] = now_;
    for (auto call = calls_.begin(); call != calls_.end();) {
      call = now_ < call->arrives ? std::next(call) : Deliver(call);
    }
    for (std::size_t i = 0; i < kVms; ++i) {
      auto& vm = vms_[i];
      if (trouble && Draw(1000) == 0) vm.suspended_until = now_ + milliseconds(Draw(4000));
      if (now_ < vm.suspended_until || now_ < vm.next_call) continue;
      vm.next_call = now_ + (i == 0 ? kTiming.answer_interval : Duration(milliseconds(300)));
      Ask(i, trouble);
    }
  }

  /// The age of the proof of a VM that asks the reader.
  auto Age() const -> Duration { return now_ - vms_[1].state.proved_at(); }

  /// Every VM has all changes that were acknowledged before the time that its proof states.
  auto IsSound() const -> bool {
    return std::all_of(vms_.begin(), vms_.end(), [&](const Vm& vm) {
      const auto missing = changes_.upper_bound(vm.state.revision());
      return missing == changes_.end() || missing->second >= vm.state.proved_at();
    });
  }

 private:
  struct Vm {
    StoreSyncState state;
    BootTime suspended_until;
    BootTime next_call;
  };
  struct Call {
    std::size_t vm = 0;
    BootTime arrives;
    StoreChanges answer;
  };
  using Calls = std::vector<Call>;

  auto Draw(int below) -> int { return std::uniform_int_distribution<int>(0, below - 1)(random_); }

  auto Ask(std::size_t vm, bool trouble) -> void {
    if (trouble && Draw(3) == 0) return;
    const Duration back = milliseconds(trouble ? Draw(2000) : 40);
    if (vm == 0) {
      // Made at any time since the call, at its beginning at worst.
      const auto wait = trouble ? Duration::zero() : kTiming.answer_interval;
      calls_.push_back({vm, now_ + wait + back, Answer(revision_, now_, 0)});
      return;
    }
    const auto& peer = vms_[vm - 1].state;
    // What crosses the wire is an age.
    const auto age = now_ - peer.proved_at();
    calls_.push_back({vm, now_ + back, Answer(peer.revision(), now_ - age, 0)});
  }

  auto Deliver(Calls::iterator call) -> Calls::iterator {
    auto& vm = vms_[call->vm];
    if (now_ < vm.suspended_until) return std::next(call);
    auto& state = vm.state;
    call->vm == 0 ? state.OnChanges(call->answer, MonotonicTime())
                  : state.OnPeerChanges(call->answer, MonotonicTime());
    return calls_.erase(call);
  }

  std::mt19937 random_;
  BootTime now_ = kStart;
  std::uint64_t revision_ = 0;
  std::map<std::uint64_t, BootTime> changes_;  ///< When each was acknowledged.
  std::array<Vm, kVms> vms_;
  Calls calls_;
};

// Guards against a proof that says more than the state has, whatever is lost, late or asleep, and
// against one that is old before an outage begins.
TEST(ProofChain, NeverSaysMoreThanTheStateHas) {
  constexpr int kSteps = 6000;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    ProofChain troubled(seed);
    for (int i = 0; i < kSteps; ++i) {
      troubled.Step(true);
      ASSERT_TRUE(troubled.IsSound()) << "seed " << seed << ", step " << i;
    }
  }
  ProofChain calm(1);
  for (int i = 0; i < kSteps; ++i) {
    calm.Step(false);
    ASSERT_TRUE(calm.IsSound()) << "step " << i;
    ASSERT_LT(calm.Age(), InCalm(ProofChain::kLimit)) << "step " << i;
  }
}

}  // namespace
}  // namespace heatherspan
