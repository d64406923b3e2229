#pragma once

#include <chrono>
#include <cstddef>

#include "base/time.h"

namespace heatherspan {

/// Times and sizes of the ticket table.
struct TicketLimits {
  Duration start_window = std::chrono::seconds(10);  ///< From issue to the last possible start.
  Duration record_lifetime =
      std::chrono::seconds(600);  ///< From issue to the removal of the record.
  /// 218 started requests/s for the whole life of the records.
  std::size_t max_records = 131'072;
  std::size_t max_total_saved_bytes = std::size_t{16} << 20;     ///< Over all saved answers.
  std::size_t max_saved_response_bytes = std::size_t{64} << 10;  ///< Of one saved answer.
};

}  // namespace heatherspan
