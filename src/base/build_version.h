#pragma once

#include <string_view>

namespace heatherspan {

/// The project's version and the revision of its sources, such as "0.1.0+a879eac". Without a
/// repository beside the sources, the version alone.
auto BuildVersion() -> std::string_view;

}  // namespace heatherspan
