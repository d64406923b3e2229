#include <gtest/gtest.h>

#include <functional>
#include <ostream>
#include <string>
#include <utility>

#include "edge/store_follower.h"
#include "experiment/virtual_workers.h"
#include "log_capture.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

/// A store whose answers the test gives.
struct ScriptedStore {
  using PageCallback = std::function<void(absl::StatusOr<StorePage>)>;
  using ChangesCallback = std::function<void(absl::StatusOr<StoreChanges>)>;

  auto List(const std::string& /*after*/, PageCallback callback) -> void {
    on_page = std::move(callback);
  }
  auto Watch(std::uint64_t /*after*/, Duration /*wait*/, ChangesCallback callback) -> void {
    on_changes = std::move(callback);
  }
  auto IsReceiving() const -> bool { return true; }

  PageCallback on_page;
  ChangesCallback on_changes;
};

// Guards against a state that counts as current although its answer was made long before it arrived
// over a full link: the store may have acknowledged changes since.
TEST(AnswerAgeTest, AnAnswerIsAsOldAsItsTimeOnTheWay) {
  constexpr auto kOnTheWay = milliseconds(1900);
  MonotonicTime now(std::chrono::hours(1));
  std::function<void()> task;
  VirtualWorkers workers(
      [&] { return now; },
      [&](Duration /*delay*/, std::function<void()> next) { task = std::move(next); });
  LogCapture capture;
  std::ostream stream(&capture);
  EventLog log(LogLevel::kInfo, stream);
  ScriptedStore store;
  StoreFollower<ScriptedStore, VirtualWorkers> follower(
      store, workers, log, [](const StoreChange&, bool) {}, [] {}, [] {});
  follower.Start();
  now += kOnTheWay;
  store.on_page(StorePage{{{"op/config", "1", 7}}, false, 7});
  EXPECT_GE(follower.sync_state().Age(now), kOnTheWay);
  // The next call.
  task();
  ASSERT_NE(store.on_changes, nullptr);
  now += kOnTheWay;
  store.on_changes(StoreChanges{{{"op/config", "2", 8}}, 8});
  EXPECT_GE(follower.sync_state().Age(now), kOnTheWay);
}

}  // namespace
}  // namespace heatherspan
