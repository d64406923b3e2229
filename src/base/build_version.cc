#include "base/build_version.h"

namespace heatherspan {

auto BuildVersion() -> std::string_view { return HS_BUILD_VERSION; }

}  // namespace heatherspan
