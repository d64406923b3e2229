#include "daemon/daemon_program.h"

auto main(int argc, char** argv) -> int { return heatherspan::RunDaemonProgram(argc, argv); }
