#include "edge/vm_announcer.h"

#include <gtest/gtest.h>

#include <map>
#include <ostream>
#include <string>
#include <utility>

#include "experiment/event_scheduler.h"
#include "experiment/virtual_workers.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store with leases, in virtual time, that answers each call after a while.
class DelayedStore {
 public:
  using LeaseCallback = std::function<void(absl::StatusOr<StoreLease>)>;
  using StatusCallback = std::function<void(absl::Status)>;

  static constexpr Duration kDelay = milliseconds(70);
  static constexpr Duration kTimeout = seconds(2);
  static constexpr Duration kLateDelay = milliseconds(2300);

  explicit DelayedStore(EventScheduler& scheduler) : scheduler_(scheduler) {}

  auto Grant(Duration lifetime, LeaseCallback callback) -> void {
    scheduler_.RunAfter(kDelay, [this, lifetime, callback = std::move(callback)] {
      callback(StoreLease{++last_lease_, lifetime});
    });
  }
  auto KeepAlive(std::uint64_t /*lease*/, StatusCallback callback) -> void {
    scheduler_.RunAfter(kDelay, [callback = std::move(callback)] { callback(absl::OkStatus()); });
  }
  auto Revoke(std::uint64_t /*lease*/, StatusCallback callback) -> void {
    scheduler_.RunAfter(kDelay, [callback = std::move(callback)] { callback(absl::OkStatus()); });
  }
  auto Put(const std::string& key, const std::string& value, std::uint64_t /*lease*/,
           StatusCallback callback) -> void {
    if (std::exchange(is_next_late_, false)) {
      scheduler_.RunAfter(kTimeout, [callback = std::move(callback)] {
        callback(absl::UnavailableError("no answer"));
      });
      scheduler_.RunAfter(kLateDelay, [this, key, value] { items_[key] = value; });
      return;
    }
    scheduler_.RunAfter(kDelay, [this, key, value, callback = std::move(callback)] {
      items_[key] = value;
      callback(absl::OkStatus());
    });
  }

  /// Leaves the next write without an answer, and executes it late.
  auto DelayNextWrite() -> void { is_next_late_ = true; }
  auto items() -> std::map<std::string, std::string>& { return items_; }

 private:
  EventScheduler& scheduler_;
  std::map<std::string, std::string> items_;
  std::uint64_t last_lease_ = 0;
  bool is_next_late_ = false;
};

class VmAnnouncerTest : public testing::Test {
 protected:
  auto RunFor(Duration time) -> void { scheduler_.RunUntil(scheduler_.now() + time); }

  EventScheduler scheduler_{MonotonicTime(std::chrono::hours(1))};
  DelayedStore store_{scheduler_};
  VirtualWorkers workers_{[this] { return scheduler_.now(); },
                          [this](Duration delay, VirtualWorkers::Task task) {
                            scheduler_.RunAfter(delay, std::move(task));
                          }};
  std::ostream no_stream_{nullptr};
  EventLog log_{LogLevel::kError, no_stream_};
  VmAnnouncer<DelayedStore, VirtualWorkers> announcer_{
      store_, workers_, log_, "entry/n", "value", [](MonotonicTime /*at*/) {}};
};

// Guards against a VM that no caller is sent to any more: the store, back from a copy that has its
// lease and not its announcement, tells so while the renewal of the lease is on its way.
TEST_F(VmAnnouncerTest, AnAnnouncementThatIsRemovedDuringARenewalIsMadeAgain) {
  announcer_.Start();
  RunFor(3 * DelayedStore::kDelay);
  ASSERT_TRUE(store_.items().contains("entry/n"));
  RunFor(VmAnnouncer<DelayedStore>::kRenewalInterval - DelayedStore::kDelay / 2);
  store_.items().clear();
  announcer_.OnRemoved();
  RunFor(seconds(2));
  EXPECT_TRUE(store_.items().contains("entry/n"));
}

// Guards against an announcement that is not renewed, or not made again after its removal.
TEST_F(VmAnnouncerTest, AnAnnouncementThatIsRemovedBetweenRenewalsIsMadeAgain) {
  announcer_.Start();
  RunFor(seconds(5));
  store_.items().clear();
  announcer_.OnRemoved();
  RunFor(seconds(2));
  EXPECT_TRUE(store_.items().contains("entry/n"));
}

// Guards against a VM that stays announced as one that reaches no target: the store executes a
// write without an answer after the write that follows it.
TEST_F(VmAnnouncerTest, AWriteThatIsExecutedLateDoesNotReplaceTheNext) {
  announcer_.Start();
  RunFor(3 * DelayedStore::kDelay);
  store_.DelayNextWrite();
  announcer_.Change("reaches no target");
  RunFor(milliseconds(300));
  announcer_.Change("value");
  RunFor(2 * DelayedStore::kDelay);
  ASSERT_EQ(store_.items()["entry/n"], "value");
  RunFor(seconds(30));
  EXPECT_EQ(store_.items()["entry/n"], "value");
}

}  // namespace
}  // namespace heatherspan
