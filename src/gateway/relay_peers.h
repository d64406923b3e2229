#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "gateway/entry_vm_directory.h"
#include "gateway/placement.h"
#include "gateway/route.h"

namespace heatherspan {

/// Chooses the entry VM that serves a request in place of a node which reaches no target: the
/// nearest one, at random among equals, within the regions that the route allows.
class RelayPeers {
 public:
  /// How long a VM is left out for a service after it could not be reached, or had no target of the
  /// service either.
  static constexpr Duration kBlock = std::chrono::seconds(1);

  auto OnFailure(const NodeName& vm, const ServiceName& service, MonotonicTime now) -> void {
    blocked_until_[{vm, service}] = now + kBlock;
  }
  /// The VM has answered a request that was passed on, with a verdict or as one that knows no such
  /// requests.
  auto OnAnswer(const NodeName& vm, bool has_verdict) -> void {
    if (has_verdict) {
      knowing_.insert(vm);
    } else {
      knowing_.erase(vm);
    }
  }
  /// Whether the VM's latest answer had a verdict.
  auto KnowsRelays(const NodeName& vm) const -> bool { return knowing_.contains(vm); }
  auto Choose(const std::vector<EntryVm>& vms, const NodeName& self, const NodeLocation& location,
              const Route& route, const ServiceName& service, MonotonicTime now, Random& random)
      -> std::optional<EntryVm>;

 private:
  absl::flat_hash_set<NodeName> knowing_;
  absl::flat_hash_map<std::pair<NodeName, ServiceName>, MonotonicTime> blocked_until_;
};

}  // namespace heatherspan
