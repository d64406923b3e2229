#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace heatherspan {

/// Identifies the object that requests concern; zero for requests without one.
using ObjectHash = std::uint64_t;

/// The objects of the latest requests that this node sent to one target, most recent first. The
/// list is an estimate of the target's cache. Its length is bounded because the target's cache is
/// bounded as well and evicts objects.
class CachedObjects {
 public:
  /// Targets are not known to cache more objects than this.
  static constexpr std::size_t kMaxObjects = 32;

  enum class State {
    kUnknown,
    kSent,     ///< A request was sent and has no response yet. The target is about to cache the
               ///< object.
    kHandled,  ///< The target has answered a request for the object.
  };

  auto Find(ObjectHash object) const -> State;
  auto OnSent(ObjectHash object) -> void;
  auto OnHandled(ObjectHash object) -> void;
  auto Clear() -> void { entries_.clear(); }

 private:
  struct Entry {
    ObjectHash object;
    State state;
  };

  auto MoveToFront(ObjectHash object, State state) -> void;

  std::vector<Entry> entries_;
};

}  // namespace heatherspan
