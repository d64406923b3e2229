#pragma once

#include <chrono>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "document/client_block.h"
#include "document/drain.h"
#include "document/link.h"
#include "document/objectives.h"
#include "document/region.h"
#include "document/service.h"
#include "document/team.h"

namespace heatherspan {

/// The configuration that operators write for one environment.
struct Document {
  EnvironmentName environment;
  Objectives objectives;
  double base_fraction = 0.5;  ///< The fraction of each cap that is divided into base shares.
  Duration lookup_lifetime = std::chrono::seconds(5);  ///< Key lookup_lifetime_ms.
  std::vector<Region> regions;
  std::vector<Link> links;
  std::vector<Team> teams;
  std::vector<Service> services;
  std::vector<Drain> drains;
  std::vector<ClientBlock> clients;

  friend auto operator==(const Document&, const Document&) -> bool = default;
};

}  // namespace heatherspan
