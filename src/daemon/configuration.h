#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "base/ids.h"
#include "document/document.h"
#include "steering/steering_view.h"

namespace heatherspan {

/// An immutable snapshot of the configuration in force and the live entry VMs.
struct Configuration {
  ConfigVersion version;
  std::int64_t accepted_unix_ms = 0;  ///< When the version was promoted, by the wall clock.
  std::shared_ptr<const Document> document;
  std::shared_ptr<const SteeringView> view;
};

}  // namespace heatherspan
