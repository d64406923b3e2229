#include <cstdlib>
#include <iostream>
#include <random>

#include "ctl/http_transport.h"
#include "ctl/run_ctl.h"
#include "fmt/format.h"

namespace {

// Longer than the time in which a node answers that its store is down.
constexpr heatherspan::Duration kTimeout = std::chrono::seconds(30);

auto Variable(const char* name) -> std::string {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

auto RandomWriteId() -> std::string {
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}{:08x}", device(), device(), device(), device());
}

}  // namespace

auto main(int argc, char** argv) -> int {
  const auto user = Variable("USER");
  heatherspan::CtlContext context{std::cout, std::cerr, Variable("HEATHERSPAN_ADMIN_CREDENTIAL"),
                                  user.empty() ? "unknown" : user, RandomWriteId};
  heatherspan::HttpTransport transport(kTimeout);
  return static_cast<int>(heatherspan::RunCtl({argv + 1, argv + argc}, context, transport));
}
