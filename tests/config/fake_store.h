#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/random.h"
#include "config/store.h"

namespace heatherspan {

/// An in-memory store that can be down, lose responses, return stale values to watches and be reset
/// to an older copy.
class FakeStore {
 public:
  auto Read(const std::string& key) -> absl::StatusOr<std::optional<StoredValue>>;
  auto Write(const std::string& key, const std::string& value, std::uint64_t revision,
             const std::optional<StoreLeaseId>& lease) -> StoreWriteResult;
  /// Returns without waiting. With stale_watches, returns the value before the current value.
  auto Wait(const std::string& key, std::uint64_t revision, Duration wait)
      -> absl::StatusOr<std::optional<StoredValue>>;
  auto GrantLease(Duration ttl) const -> absl::StatusOr<StoreLeaseId>;
  auto KeepAlive(StoreLeaseId lease) const -> absl::Status;

  auto Save() -> void { saved_ = values_; }
  auto Restore() -> void { values_ = saved_; }

  bool down = false;
  bool stale_watches = false;
  int responses_to_lose = 0;  ///< Responses to lose after the next writes took effect.
  std::string lose_key_part;  ///< Substring of the keys whose responses are lost.
  bool down_after_lost_response = false;
  double response_loss = 0;  ///< Probability that the response to a write is lost.
  Random random;
  std::function<void()> before_write;  ///< Runs once before the next write, to simulate races.
  int writes = 0;

 private:
  std::map<std::string, StoredValue> values_;
  std::map<std::string, StoredValue> replaced_;
  std::map<std::string, StoredValue> saved_;
  std::uint64_t revision_ = 0;
};

static_assert(Store<FakeStore>);

}  // namespace heatherspan
