#include "gateway/store_snapshot.h"

namespace heatherspan {

auto StoreSnapshot::Apply(const StoreChange& change) -> void {
  if (change.value.has_value()) {
    items_[change.key] = change;
  } else {
    items_.erase(change.key);
  }
}

auto StoreSnapshot::Page(std::uint64_t revision) const -> StorePage {
  StorePage page;
  page.revision = revision;
  for (const auto& [key, item] : items_) page.items.push_back(item);
  return page;
}

}  // namespace heatherspan
