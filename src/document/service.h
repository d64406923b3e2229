#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "base/units.h"
#include "document/target.h"

namespace heatherspan {

/// A service with its targets and the rules for its requests.
struct Service {
  ServiceName name;
  TeamName team;
  double value =
      1;  ///< Under overload, requests of services with the lowest value are refused first.
  std::vector<std::string> idempotent_methods = {
      "GET", "HEAD", "OPTIONS"};  ///< Requests by other methods need a ticket.
  Duration default_deadline = std::chrono::seconds(2);  ///< Key default_deadline_ms.
  Duration expected_time = std::chrono::milliseconds(
      20);  ///< Key expected_time_ms: the usual processing time of a request.
  int slots_per_target = 3;
  int connections_per_target = 330;
  int shift_percent = 20;  ///< Maximum percentage points of the traffic that may move between
                           ///< regions in an interval.
  Duration shift_interval = std::chrono::seconds(10);  ///< Key shift_interval_s.
  Bytes mean_response = Bytes(8192);  ///< Key mean_response_bytes; for link budgets.
  std::vector<Target> targets;

  friend auto operator==(const Service&, const Service&) -> bool = default;
};

}  // namespace heatherspan
