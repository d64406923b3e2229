#include "net/path_timeouts.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace heatherspan {
namespace {

constexpr int kProbeSeconds = 1;  // The shortest that the option can express.
constexpr int kProbes = 2;        // One may be lost.

auto SetOption(int descriptor, int level, int name, int value) -> void {
  ::setsockopt(descriptor, level, name, &value, sizeof value);
}

}  // namespace

auto SetPathTimeouts(int descriptor, Duration timeout) -> void {
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count();
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(milliseconds));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kProbes);
}

}  // namespace heatherspan
