#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/random.h"
#include "config/store.h"

namespace heatherspan {

/// A store in memory that can be down, lose answers, answer watches late and be reset to an older
/// copy.
class FakeStore {
 public:
  auto Read(const std::string& key) -> absl::StatusOr<std::optional<StoredValue>>;
  auto Write(const std::string& key, const std::string& value, std::uint64_t revision,
             const std::optional<StoreLeaseId>& lease) -> StoreWriteResult;
  /// Doesn't wait. With stale_watches, it returns the value that the present one replaced.
  auto Wait(const std::string& key, std::uint64_t revision, Duration wait)
      -> absl::StatusOr<std::optional<StoredValue>>;
  auto GrantLease(Duration ttl) const -> absl::StatusOr<StoreLeaseId>;
  auto KeepAlive(StoreLeaseId lease) const -> absl::Status;

  auto Save() -> void { saved_ = values_; }
  auto Restore() -> void { values_ = saved_; }

  bool down = false;
  bool stale_watches = false;
  int responses_to_lose = 0;  ///< Answers to lose after the next writes took effect.
  std::string lose_key_part;  ///< Part of the keys whose answers are lost.
  bool down_after_lost_response = false;
  double response_loss = 0;  ///< Of answers to writes, at random.
  Random random;
  std::function<void()> before_write;  ///< Runs once, before the next write; for races.
  int writes = 0;

 private:
  std::map<std::string, StoredValue> values_;
  std::map<std::string, StoredValue> replaced_;
  std::map<std::string, StoredValue> saved_;
  std::uint64_t revision_ = 0;
};

static_assert(Store<FakeStore>);

}  // namespace heatherspan
