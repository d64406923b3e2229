#pragma once

#include <memory>

#include "absl/status/status.h"
#include "daemon/node_identity.h"
#include "settings/settings.h"

namespace heatherspan {

class EventLog;

/// The process of an entry VM: its listeners, services and timers.
class Daemon {
 public:
  Daemon(Settings settings, EventLog& log);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;

  /// Binds the listeners and starts to serve. Port 0 in the settings selects a free port.
  auto Start() -> absl::Status;

  /// Begins the planned stop and returns immediately.
  auto BeginLeave() -> void;

  /// Waits until the planned stop has completed all requests in flight.
  auto WaitUntilStopped() -> void;

  /// The identity with the port numbers in use; valid after Start.
  auto identity() const -> const NodeIdentity&;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
