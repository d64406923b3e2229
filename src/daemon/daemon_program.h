#pragma once

namespace heatherspan {

/// The program heatherspand: reads its settings, serves until SIGTERM or SIGINT, stops gracefully.
/// Returns the exit code: 0 after a planned stop or a sound --check, 1 if it can't start, 2 for
/// wrong usage, 3 for unsound settings.
auto RunDaemonProgram(int argc, char** argv) -> int;

}  // namespace heatherspan
