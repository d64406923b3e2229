#pragma once

#include <boost/system/error_code.hpp>

namespace heatherspan {

/// What became of the connection of a failed exchange.
enum class ConnectionEnd {
  kOther,
  kRefused,  ///< The peer's machine refused it: no process listens there.
  kClosed,   ///< The peer's machine ended it before the response was complete.
};

/// A silent peer's connection ends by a timeout of the operating system, which is not its end.
auto ConnectionEndOf(const boost::system::error_code& error) -> ConnectionEnd;

}  // namespace heatherspan
