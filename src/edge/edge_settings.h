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

/// The settings of a gateway process, read at its start and at a reload.
struct EdgeSettings {
  /// Descriptors reserved for files. The users' platform reserves the same number.
  static constexpr int kReservedDescriptors = 200;

  /// Keys of [bounds]: limits that the deployment guarantees to its users.
  struct Bounds {
    double retry_ratio = 0.1;
    Duration retry_window = std::chrono::seconds(10);
    double retry_allowance = 10;
    double max_shift = 0.15;
    Duration stop_grace = std::chrono::seconds(6);
    Duration drain = std::chrono::milliseconds(2500);
    Duration apply = std::chrono::milliseconds(2500);
    Duration answer_lifetime = std::chrono::seconds(2);
    /// Time after which no request with a withdrawn access key runs; 0 if that has no bound.
    Duration revocation = Duration::zero();
    Duration quota_window = std::chrono::seconds(5);
    double quota_overage = 0.1;
    double quota_slack = 20;
  };

  NodeName node;
  ZoneName zone;
  RegionName region;
  int descriptors = 1024;  ///< Files and sockets that the process may open.
  int memory_mb = 0;       ///< Of the process, in MiB; 0 for the machine's memory.
  double cpu_share = 1;    ///< Of one core.
  double link_mbps = 0;    ///< Of the machine's own link, in Mbit/s; 0 if it is not known.
  Endpoint callers;
  Endpoint readiness;
  Endpoint directory;
  Endpoint metrics;
  Endpoint peers;  ///< If empty, peers get no state.
  Endpoint store;
  std::vector<Endpoint> seeds;  ///< Listen addresses of some peers.
  DigestKey digest_key = DigestKey("heatherspan");
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

/// Reads and checks a settings file. The returned status lists all errors with their positions.
auto ReadEdgeSettings(std::string_view text, const std::string& file)
    -> absl::StatusOr<EdgeSettings>;

}  // namespace heatherspan
