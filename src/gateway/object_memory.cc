#include "gateway/object_memory.h"

#include <algorithm>

namespace heatherspan {

auto ObjectMemory::Find(ObjectHash object) const -> Knowledge {
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [&](const Entry& entry) { return entry.object == object; });
  return found == entries_.end() ? Knowledge::kUnknown : found->knowledge;
}

auto ObjectMemory::OnSent(ObjectHash object) -> void {
  const auto known = Find(object);
  MoveToFront(object, known == Knowledge::kHandled ? known : Knowledge::kSent);
}

auto ObjectMemory::OnHandled(ObjectHash object) -> void {
  MoveToFront(object, Knowledge::kHandled);
}

auto ObjectMemory::MoveToFront(ObjectHash object, Knowledge knowledge) -> void {
  if (object == 0) return;
  const auto found = std::find_if(entries_.begin(), entries_.end(),
                                  [&](const Entry& entry) { return entry.object == object; });
  if (found != entries_.end()) {
    entries_.erase(found);
  } else if (entries_.size() == kMaxObjects) {
    entries_.pop_back();
  }
  entries_.insert(entries_.begin(), {object, knowledge});
}

}  // namespace heatherspan
