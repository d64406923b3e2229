#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "config/store_lease_id.h"
#include "config/stored_value.h"

namespace heatherspan {

/// The contents of the platform's key-value service: values with revisions, and leases.
class KeyValueStore {
 public:
  static constexpr std::size_t kMaxValueBytes = std::size_t{1024} * 1024;

  /// The result of a conditional write or removal.
  struct Change {
    bool done = false;
    std::uint64_t revision = 0;  ///< Of the write, or the present one if it was not done.
  };

  auto Read(std::string_view key) const -> std::optional<StoredValue>;
  /// The revision of a key; 0 if it is absent.
  auto Revision(std::string_view key) const -> std::uint64_t;
  auto Write(const std::string& key, std::string value, std::uint64_t if_revision,
             std::optional<StoreLeaseId> lease) -> Change;
  auto Remove(std::string_view key, std::uint64_t if_revision) -> Change;

  auto GrantLease(Duration lifetime, MonotonicTime now) -> StoreLeaseId;
  auto KeepAlive(StoreLeaseId lease, MonotonicTime now) -> bool;
  auto HasLease(StoreLeaseId lease) const -> bool { return leases_.contains(lease); }
  /// Ends the leases whose time has passed and removes their keys.
  auto ExpireLeases(MonotonicTime now) -> void;

  auto SaveCopy(const std::string& name) -> void;
  /// Goes back to a saved copy. The revision counter and the leases stay as they are, so that no
  /// revision is used twice; keys whose lease has ended are not restored.
  auto RestoreCopy(const std::string& name) -> bool;

 private:
  struct Entry {
    StoredValue stored;
    std::optional<StoreLeaseId> lease;
  };
  using Entries = std::map<std::string, Entry, std::less<>>;

  struct Lease {
    Duration lifetime{};
    MonotonicTime end;
  };

  auto RemoveKeysWithoutLease() -> void;

  Entries entries_;
  std::map<StoreLeaseId, Lease> leases_;
  std::map<std::string, Entries> copies_;
  std::uint64_t last_revision_ = 0;
  std::uint64_t last_lease_ = 0;
};

}  // namespace heatherspan
