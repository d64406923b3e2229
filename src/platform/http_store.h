#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/time.h"
#include "config/store.h"
#include "net/http_request.h"
#include "net/http_result.h"

namespace heatherspan {

class PlatformCaller;

/// The platform's key-value service over HTTP, as section 13 of the design page describes it. The
/// effect of a write is derived from how far the exchange came: a write whose answer was lost is
/// kUnknown, never kNoEffect. Thread-safe; calls block and must not be made on a worker.
class HttpStore {
 public:
  /// The prefix keeps the keys of one environment apart from those of others.
  explicit HttpStore(PlatformCaller& caller, std::string key_prefix = "");

  auto Read(const std::string& key) -> absl::StatusOr<std::optional<StoredValue>>;
  auto Write(const std::string& key, const std::string& value, std::uint64_t if_revision,
             const std::optional<StoreLeaseId>& lease) -> StoreWriteResult;
  /// Empty at the end of the wait; revision 0 if the key was removed. At most one wait may be
  /// outstanding, since a waiting watch counts as a call; a second one fails at once.
  auto Wait(const std::string& key, std::uint64_t revision, Duration duration)
      -> absl::StatusOr<std::optional<StoredValue>>;
  auto GrantLease(Duration lifetime) -> absl::StatusOr<StoreLeaseId>;
  /// NotFound if the lease has ended.
  auto KeepAlive(StoreLeaseId lease) -> absl::Status;

 private:
  auto KeyTarget(const std::string& key) const -> absl::StatusOr<std::string>;
  auto SendWait(const std::string& target, std::uint64_t revision, Duration duration)
      -> absl::StatusOr<std::optional<StoredValue>>;

  PlatformCaller& caller_;
  const std::string key_prefix_;
  std::atomic<bool> waiting_ = false;
};

static_assert(Store<HttpStore>);

}  // namespace heatherspan
