#pragma once

namespace heatherspan {

/// Returns whether the other side of a TCP connection has closed it or its sending direction, also
/// if that lies behind bytes that are not read yet.
auto HasPeerClosed(int descriptor) -> bool;

}  // namespace heatherspan
