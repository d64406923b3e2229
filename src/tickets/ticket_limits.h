#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace heatherspan {

/// Time and size limits of the ticket table.
struct TicketLimits {
  /// From issue to the latest start of the request.
  Duration start_window = std::chrono::seconds(10);
  /// From issue to the removal of the record.
  Duration record_lifetime = std::chrono::seconds(600);
  /// Enough for 218 started requests/s during record_lifetime.
  std::size_t max_records = 131'072;
  std::size_t max_total_saved_bytes = std::size_t{16} << 20;     ///< Sum over all saved responses.
  std::size_t max_saved_response_bytes = std::size_t{64} << 10;  ///< Of one saved response.
};

}  // namespace heatherspan
