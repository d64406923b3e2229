#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace heatherspan {

/// Identifies the object that requests concern; zero for requests without one.
using ObjectHash = std::uint64_t;

/// The objects that this node has lately sent to one target, the latest first. Targets forget
/// objects as well; the length is bounded because a target's own memory is.
class CachedObjects {
 public:
  /// More than a target is known to keep would be remembered in vain.
  static constexpr std::size_t kMaxObjects = 32;

  enum class State {
    kUnknown,
    kSent,     ///< Sent, not answered yet: the target is about to know it.
    kHandled,  ///< Answered.
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
