#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"
#include "toml_table/key_table.h"

namespace heatherspan {

/// What a gateway process is told at its start and at a reload.
struct EdgeSettings {
  /// Kept for files; the users' platform reserves as many.
  static constexpr int kReservedDescriptors = 200;

  /// Keys of [bounds]: what the deployment promises its users.
  struct Bounds {
    double retry_ratio = 0.1;
    Duration retry_window = std::chrono::seconds(10);
    double retry_allowance = 10;
    double max_shift = 0.15;
    Duration stop_grace = std::chrono::seconds(6);
    Duration answer_lifetime = std::chrono::seconds(2);
  };

  NodeName node;
  ZoneName zone;
  RegionName region;
  int descriptors = 1024;  ///< Files and sockets that the process may open.
  Endpoint callers;
  Endpoint readiness;
  Endpoint directory;
  Endpoint metrics;
  Endpoint peers;  ///< Empty: peers are told nothing.
  Endpoint store;
  std::vector<Endpoint> seeds;  ///< Where some peers listen.
  Duration heartbeat = std::chrono::milliseconds(1500);
  Bounds bounds;
  std::string log_level = "info";
  int log_lines_per_second = 300;
  absl::flat_hash_map<ZoneName, RegionName> zones;  ///< All zones of the deployment.
};

/// One table of a settings file.
struct EdgeSettingsSection {
  std::string name;
  KeyTable<EdgeSettings> keys;
  bool required = false;
};

auto EdgeSettingsSections() -> const std::vector<EdgeSettingsSection>&;

/// Reads and checks a settings file; an error lists all its faults with their places.
auto ReadEdgeSettings(std::string_view text, const std::string& file)
    -> absl::StatusOr<EdgeSettings>;

}  // namespace heatherspan
