#include "edge/edge_program.h"
#include "platform/platform_adapter.h"

auto main(int argc, char** argv) -> int {
  return heatherspan::EdgeProgram<heatherspan::FleetPlatform>::Run(argc, argv);
}
