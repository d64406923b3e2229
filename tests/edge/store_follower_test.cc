#include "edge/store_follower.h"

#include <gtest/gtest.h>

#include <sstream>
#include <utility>

#include "experiment/event_scheduler.h"
#include "experiment/virtual_workers.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store whose answers a test gives when it wants to.
class HeldStore {
 public:
  using PageCallback = std::function<void(absl::StatusOr<StorePage>)>;
  using ChangesCallback = std::function<void(absl::StatusOr<StoreChanges>)>;

  auto List(const std::string& /*after_key*/, PageCallback callback) -> void {
    page_ = std::move(callback);
  }
  auto Watch(std::uint64_t /*after*/, Duration wait, ChangesCallback callback) -> void {
    wait_ = wait;
    changes_ = std::move(callback);
  }
  auto IsReceiving() const -> bool { return true; }
  auto wait() const -> Duration { return wait_; }

  auto AnswerList() -> void { std::exchange(page_, nullptr)(StorePage{{{"a", "1", 1}}, false, 1}); }
  auto AnswerWatch(StoreChanges changes) -> void {
    std::exchange(changes_, nullptr)(std::move(changes));
  }

 private:
  Duration wait_{};  ///< Of the last watch.
  PageCallback page_;
  ChangesCallback changes_;
};

class StoreFollowerTest : public testing::Test {
 protected:
  auto RunFor(Duration duration) -> void { scheduler_.RunUntil(scheduler_.now() + duration); }
  auto StateAge() const -> Duration { return follower_.sync_state().Age(scheduler_.now()); }
  auto CompleteAge() const -> Duration {
    return scheduler_.now() - follower_.sync_state().complete_at();
  }

  EventScheduler scheduler_{MonotonicTime(std::chrono::hours(1))};
  VirtualWorkers workers_{[this] { return scheduler_.now(); },
                          [this](Duration delay, VirtualWorkers::Task task) {
                            scheduler_.RunAfter(delay, std::move(task));
                          }};
  std::ostringstream log_stream_;
  EventLog log_{LogLevel::kError, log_stream_};
  HeldStore store_;
  StoreFollower<HeldStore, VirtualWorkers> follower_{
      store_, workers_, log_, [](const StoreChange&, bool) {}, [] {}, [] {}};
};

// Guards against a state that counts as younger than it is, because the answer that it comes from
// was long on a slow link.
TEST_F(StoreFollowerTest, AnAnswerMayBeAsOldAsItsCall) {
  follower_.Start();
  RunFor(seconds(2));
  store_.AnswerList();
  EXPECT_GE(StateAge(), seconds(2));
  EXPECT_GE(CompleteAge(), seconds(2));
  // The next call, after the pause in which further changes come.
  RunFor(seconds(1));
  const auto called_before = scheduler_.now();
  RunFor(seconds(2));
  store_.AnswerWatch({{{"a", "2", 2}}, 2, {}, {}});
  EXPECT_GE(CompleteAge(), scheduler_.now() - called_before);
}

// Guards against a state that counts as old in calm: an answer without changes was made at the end
// of its wait.
TEST_F(StoreFollowerTest, AnAnswerWithoutChangesIsAsOldAsItsEnd) {
  follower_.SetTiming(StoreReadTiming());
  follower_.Start();
  store_.AnswerList();
  RunFor(StoreReadTiming().batch_delay);
  for (int i = 0; i < 3; ++i) {
    RunFor(store_.wait());
    store_.AnswerWatch({{}, 1, {}, {}});
    EXPECT_EQ(CompleteAge(), Duration::zero()) << i;
  }
}

}  // namespace
}  // namespace heatherspan
