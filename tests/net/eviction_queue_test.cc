#include "net/eviction_queue.h"

#include <gtest/gtest.h>

#include <memory>
#include <utility>
#include <vector>

#include "net/http_connection.h"

namespace heatherspan {
namespace {

using Clock = EvictionQueue::Clock;
using std::chrono::seconds;

class FakeConnection final : public HttpConnection {
 public:
  explicit FakeConnection(ConnectionUse use) : use_(use) {}

  auto Start() -> void override {}
  auto StartRefused() -> void override {}
  auto CloseIfIdle() -> void override {}
  auto Close() -> void override {}
  auto Overdue(Clock::time_point /*now*/) const -> bool override { return false; }
  auto EndOverdue() -> void override {}
  auto use() const -> ConnectionUse override { return use_; }
  auto GiveWay(ConnectionUse use) -> void override { gave_way_ = use == use_; }

  auto SetUse(ConnectionUse use) -> void { use_ = use; }
  auto gave_way() const -> bool { return gave_way_; }

 private:
  ConnectionUse use_;
  bool gave_way_ = false;
};

class EvictionQueueTest : public testing::Test {
 protected:
  auto Add(ConnectionUse use) -> std::shared_ptr<FakeConnection> {
    auto connection = std::make_shared<FakeConnection>(use);
    connections_.insert(connection);
    return connection;
  }

  /// Evicts one and drops it, as the server does.
  auto Evict() -> bool {
    if (!queue_.EvictOne(connections_, now_)) return false;
    std::erase_if(connections_, [](const auto& connection) {
      return static_cast<const FakeConnection&>(*connection).gave_way();
    });
    return true;
  }

  const Clock::time_point start_ = Clock::now();
  Clock::time_point now_ = start_ + seconds(100);
  EvictionQueue::Connections connections_;
  EvictionQueue queue_;
};

TEST_F(EvictionQueueTest, UnusedThenIdleThenNewOnesGiveWayTheLongestWaitFirst) {
  const std::vector<std::shared_ptr<FakeConnection>> expected{
      Add(ConnectionUse::NeverUsed(start_ + seconds(20))),
      Add(ConnectionUse::NeverUsed(start_ + seconds(30))),
      Add(ConnectionUse::IdleSince(start_ + seconds(10))),
      Add(ConnectionUse::IdleSince(start_ + seconds(40))),
      Add(ConnectionUse::NeverUsed(now_ - std::chrono::milliseconds(20))),
      Add(ConnectionUse::NeverUsed(now_ - std::chrono::milliseconds(10)))};
  const auto busy = Add(ConnectionUse::Busy());
  for (std::size_t i = 0; i < expected.size(); ++i) {
    EXPECT_TRUE(Evict());
    EXPECT_TRUE(expected[i]->gave_way()) << i;
  }
  EXPECT_FALSE(Evict());
  EXPECT_FALSE(busy->gave_way());
}

TEST_F(EvictionQueueTest, OneThatWasUsedSinceTheChoiceStays) {
  std::vector<std::shared_ptr<FakeConnection>> idle;
  constexpr int kConnections = 3 * EvictionQueue::kBatchPart;
  idle.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    idle.push_back(Add(ConnectionUse::IdleSince(start_ + std::chrono::milliseconds(i))));
  }
  EXPECT_TRUE(Evict());
  idle[1]->SetUse(ConnectionUse::Busy());
  EXPECT_TRUE(Evict());
  EXPECT_TRUE(idle[0]->gave_way());
  EXPECT_FALSE(idle[1]->gave_way());
  EXPECT_TRUE(idle[2]->gave_way());
}

TEST_F(EvictionQueueTest, ASearchWithoutAResultIsNotRepeatedAtOnce) {
  const auto connection = Add(ConnectionUse::Busy());
  EXPECT_FALSE(Evict());
  connection->SetUse(ConnectionUse::IdleSince(start_));
  EXPECT_FALSE(Evict());
  now_ += EvictionQueue::kBatchLifetime;
  EXPECT_TRUE(Evict());
}

}  // namespace
}  // namespace heatherspan
