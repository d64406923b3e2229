#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "ctl/exit_code.h"
#include "net/http_response.h"

namespace heatherspan {

/// The end of a request to the administration interface.
struct AdminResult {
  ExitCode code = ExitCode::kDone;
  std::string error;  ///< Empty when done.
  HttpResponse response;

  auto ok() const -> bool { return code == ExitCode::kDone; }
  /// The configuration version in the response; zero when it names none.
  auto Version() const -> std::uint64_t;
};

}  // namespace heatherspan
