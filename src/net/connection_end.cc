#include "net/connection_end.h"

#include <boost/asio/error.hpp>

namespace heatherspan {

auto ConnectionEndOf(const boost::system::error_code& error) -> ConnectionEnd {
  namespace errors = boost::asio::error;
  if (error == errors::connection_refused) return ConnectionEnd::kRefused;
  const bool closed =
      error == errors::eof || error == errors::connection_reset || error == errors::broken_pipe;
  return closed ? ConnectionEnd::kClosed : ConnectionEnd::kOther;
}

}  // namespace heatherspan
