#pragma once

#include <map>
#include <string>

#include "gateway/store_changes.h"

namespace heatherspan {

/// The items of the store as this node last saw them, for peers that can't read the store. The
/// snapshot is as large as the store itself: a few hundred bytes for each target and entry VM, and
/// the configuration.
class StoreSnapshot {
 public:
  auto Apply(const StoreChange& change) -> void;
  auto Page(std::uint64_t revision) const -> StorePage;

 private:
  std::map<std::string, StoreChange> items_;
};

}  // namespace heatherspan
