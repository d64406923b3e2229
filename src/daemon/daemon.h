#pragma once

#include <memory>

#include "absl/status/status.h"
#include "daemon/node_identity.h"
#include "settings/settings.h"

namespace heatherspan {

class EventLog;

/// One entry VM's process: its listeners, services and timers.
class Daemon {
 public:
  Daemon(Settings settings, EventLog& log);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  auto operator=(const Daemon&) -> Daemon& = delete;

  /// Binds the listeners and starts to serve. Port 0 in the settings takes a free port.
  auto Start() -> absl::Status;

  /// Begins the planned stop; returns at once.
  auto BeginLeave() -> void;

  /// Waits until the planned stop has finished everything in flight.
  auto WaitUntilStopped() -> void;

  /// With the ports taken; valid after Start.
  auto identity() const -> const NodeIdentity&;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace heatherspan
