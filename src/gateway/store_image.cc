#include "gateway/store_image.h"

namespace heatherspan {

auto StoreImage::Apply(const StoreChange& change) -> void {
  if (change.value.has_value()) {
    items_[change.key] = change;
  } else {
    items_.erase(change.key);
  }
}

auto StoreImage::Page(std::uint64_t revision) const -> StorePage {
  StorePage page;
  page.revision = revision;
  for (const auto& [key, item] : items_) page.items.push_back(item);
  return page;
}

}  // namespace heatherspan
