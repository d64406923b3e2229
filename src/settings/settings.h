#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// What one entry VM's daemon is told at its start.
struct Settings {
  struct Limits {
    std::int64_t max_header_bytes = std::int64_t{16} * 1024;
    std::int64_t max_body_bytes = std::int64_t{1024} * 1024;
    int max_connections = 10'000;
    std::int64_t max_response_bytes = std::int64_t{8} * 1024 * 1024;
    Duration request_timeout = std::chrono::seconds(10);  ///< Key request_timeout_ms.
    int ticket_records = 50'000;
  };

  NodeName node;  ///< Key name of [node].
  ZoneName zone;
  Endpoint callers;
  Endpoint peers;
  Endpoint admin;
  std::vector<Endpoint> seeds;  ///< Peers to ask for members and documents at the start.
  Endpoint platform;
  EnvironmentName environment;
  int threads = 2;
  Limits limits;
  std::string log_level = "info";
  Duration drain_linger = std::chrono::seconds(10);  ///< Key linger_ms of [drain].
  std::string peer_key;                              ///< Secret; must never be printed.
  std::string admin_credential;                      ///< Secret; must never be printed.
};

}  // namespace heatherspan
