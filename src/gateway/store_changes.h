#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"

namespace heatherspan {

/// One item of the platform's store as it was written, or its removal.
struct StoreChange {
  std::string key;
  std::optional<std::string> value;  ///< Empty: removed.
  std::uint64_t revision = 0;        ///< Of this change.
};

/// Part of a listing. The pages of a listing are not of one moment.
struct StorePage {
  std::vector<StoreChange> items;
  bool more = false;           ///< The listing goes on after the last item.
  std::uint64_t revision = 0;  ///< Of the store when the page was made.
};

/// What has changed since a revision.
struct StoreChanges {
  std::vector<StoreChange> changes;
  std::uint64_t revision = 0;  ///< Up to which the changes are complete.
};

struct StoreLease {
  std::uint64_t id = 0;
  Duration lifetime{};
};

}  // namespace heatherspan
