#pragma once

namespace heatherspan {

/// The program heatherspand: reads its settings, serves until SIGTERM or SIGINT, then stops
/// gracefully. Returns the exit code: 0 after a planned stop or a successful --check, 1 if the
/// start fails, 2 for invalid usage, 3 for invalid settings.
auto RunDaemonProgram(int argc, char** argv) -> int;

}  // namespace heatherspan
