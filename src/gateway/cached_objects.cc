#include "gateway/cached_objects.h"

#include <algorithm>

namespace heatherspan {

auto CachedObjects::Find(ObjectHash object) const -> State {
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [&](const Entry& entry) { return entry.object == object; });
  return found == entries_.end() ? State::kUnknown : found->state;
}

auto CachedObjects::OnSent(ObjectHash object) -> void {
  const auto previous = Find(object);
  MoveToFront(object, previous == State::kHandled ? previous : State::kSent);
}

auto CachedObjects::OnHandled(ObjectHash object) -> void { MoveToFront(object, State::kHandled); }

auto CachedObjects::MoveToFront(ObjectHash object, State state) -> void {
  if (object == 0) return;
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [&](const Entry& entry) { return entry.object == object; });
  if (found != entries_.end()) {
    entries_.erase(found);
  } else if (entries_.size() == kMaxObjects) {
    entries_.pop_back();
  }
  entries_.insert(entries_.begin(), {object, state});
}

}  // namespace heatherspan
