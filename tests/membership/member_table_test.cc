#include "membership/member_table.h"

#include <gtest/gtest.h>

#include <chrono>

#include "membership/membership_timing.h"

namespace heatherspan {
namespace {

using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(1'000)};

auto Update(std::uint64_t instance, std::uint64_t incarnation, MemberState state) -> MemberUpdate {
  MemberUpdate update;
  update.name = NodeName("n" + std::to_string(instance % 100));
  update.instance = InstanceId(instance);
  update.incarnation = incarnation;
  update.state = state;
  update.peer_endpoint = Endpoint{"10.0.0." + std::to_string(instance % 100), 7'000};
  update.started_unix_ms = static_cast<std::int64_t>(instance);
  return update;
}

class MemberTableTest : public testing::Test {
 protected:
  MemberTableTest() : table_(Update(1, 0, MemberState::kAlive), health_, updates_) {
    table_.Merge(Update(2, 0, MemberState::kAlive), false, kNow);
  }
  auto State(std::uint64_t instance) -> MemberState {
    return table_.Find(InstanceId(instance))->state;
  }

  LocalHealth health_;
  UpdateQueue updates_;
  MemberTable table_;
};

TEST_F(MemberTableTest, RefutesReportsThatOwnInstanceIsDead) {
  table_.Merge(Update(1, 4, MemberState::kDead), false, kNow);
  EXPECT_EQ(table_.self().incarnation, 5);
  EXPECT_EQ(table_.self().state, MemberState::kAlive);
  EXPECT_EQ(health_.score(), 1);
  table_.Merge(Update(1, 3, MemberState::kDead), false, kNow);
  EXPECT_EQ(table_.self().incarnation, 5);
}

TEST_F(MemberTableTest, DeclaresMemberDeadOnlyAfterOwnProbesFail) {
  table_.Merge(Update(2, 0, MemberState::kDead), false, kNow);
  table_.OnTick(kNow + seconds(60));
  EXPECT_EQ(State(2), MemberState::kSuspected);
  for (int i = 0; i < kFailedProbesToConfirmDead; ++i) table_.OnProbeFailed(InstanceId(2), kNow);
  table_.OnTick(kNow + seconds(60));
  EXPECT_EQ(State(2), MemberState::kDead);
}

TEST_F(MemberTableTest, HigherIncarnationRevivesSuspectedAndDeadMember) {
  table_.Merge(Update(2, 0, MemberState::kSuspected), false, kNow);
  table_.Merge(Update(2, 0, MemberState::kAlive), false, kNow);
  EXPECT_EQ(State(2), MemberState::kSuspected);
  table_.Merge(Update(2, 1, MemberState::kAlive), false, kNow);
  EXPECT_EQ(State(2), MemberState::kAlive);
  table_.OnReplaced(InstanceId(2), kNow);
  table_.Merge(Update(2, 1, MemberState::kAlive), false, kNow);
  EXPECT_EQ(State(2), MemberState::kDead);
  table_.Merge(Update(2, 2, MemberState::kAlive), true, kNow);
  EXPECT_EQ(State(2), MemberState::kAlive);
  EXPECT_EQ(table_.live_count(), 1);
}

// Guards against a late update about an old instance that displaces the current instance.
TEST_F(MemberTableTest, LaterInstanceReplacesEarlierInstanceAtSameAddress) {
  table_.Merge(Update(102, 0, MemberState::kAlive), false, kNow);
  EXPECT_EQ(State(2), MemberState::kDead);
  table_.Merge(Update(2, 9, MemberState::kAlive), false, kNow);
  EXPECT_EQ(State(2), MemberState::kDead);
  EXPECT_EQ(State(102), MemberState::kAlive);
}

// Guards against the rejection of a new instance whose wall clock is behind the clock of the VM
// that it replaces.
TEST_F(MemberTableTest, InstanceWithEarlierStartReplacesSilentInstanceOnlyByOwnMessage) {
  table_.Merge(Update(102, 0, MemberState::kAlive), false, kNow);
  auto late = Update(202, 0, MemberState::kAlive);
  late.started_unix_ms = 1;
  table_.OnDatagramReceived(InstanceId(102), kNow);
  table_.Merge(late, true, kNow + seconds(1));
  EXPECT_EQ(State(102), MemberState::kAlive);
  table_.Merge(late, false, kNow + seconds(5));
  EXPECT_EQ(State(102), MemberState::kAlive);
  table_.Merge(late, true, kNow + seconds(5));
  EXPECT_EQ(State(102), MemberState::kDead);
  EXPECT_EQ(State(202), MemberState::kAlive);
}

TEST_F(MemberTableTest, LimitsNumberOfRecords) {
  for (std::uint64_t i = 0; i < 2 * kMaxMembers; ++i) {
    auto update = Update(1'000 + i, 0, MemberState::kAlive);
    update.name = NodeName("m" + std::to_string(i));
    update.peer_endpoint.port = static_cast<std::uint16_t>(i + 1);
    table_.Merge(update, false, kNow);
  }
  EXPECT_EQ(table_.size(), kMaxMembers);
}

}  // namespace
}  // namespace heatherspan
