#pragma once

#include <concepts>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "base/time.h"
#include "config/store_lease_id.h"
#include "config/store_write_result.h"
#include "config/stored_value.h"

namespace heatherspan {

/// The platform's key-value service. Calls block until they complete or their deadline passes. The
/// revision increases with each write to the store. Revision 0 stands for an absent key.
template <class T>
concept Store = requires(T& store, const std::string& text, std::uint64_t revision,
                         const std::optional<StoreLeaseId>& lease, StoreLeaseId lease_id,
                         Duration duration) {
  { store.Read(text) } -> std::same_as<absl::StatusOr<std::optional<StoredValue>>>;
  // Writes the value if the current revision of the key equals the given revision.
  { store.Write(text, text, revision, lease) } -> std::same_as<StoreWriteResult>;
  // Waits until the revision of the key differs from the given revision. Returns an empty value if
  // the wait ends without a change.
  {
    store.Wait(text, revision, duration)
    } -> std::same_as<absl::StatusOr<std::optional<StoredValue>>>;
  // A key that was written with a lease is removed when the lease ends.
  { store.GrantLease(duration) } -> std::same_as<absl::StatusOr<StoreLeaseId>>;
  { store.KeepAlive(lease_id) } -> std::same_as<absl::Status>;
};

}  // namespace heatherspan
