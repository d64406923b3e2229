#pragma once

#include <functional>
#include <ostream>
#include <string>

namespace heatherspan {

/// What a command takes from its surroundings.
struct CtlContext {
  std::ostream& out;
  std::ostream& err;
  std::string credential;  ///< Secret; must never be printed.
  std::string user;        ///< The default author of changes.
  std::function<std::string()> random_write_id;
};

}  // namespace heatherspan
