#include "net/peer_socket.h"

#include <poll.h>

namespace heatherspan {

auto HasPeerClosed(int descriptor) -> bool {
  pollfd state{};
  state.fd = descriptor;
  state.events = POLLRDHUP;
  return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace heatherspan
