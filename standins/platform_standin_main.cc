#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include "fmt/format.h"
#include "standins/platform_host.h"
#include "standins/platform_standin.h"

namespace {

using heatherspan::Endpoint;

struct Options {
  std::string listen = "127.0.0.1:20000";
  std::string control = "127.0.0.1:20001";
  std::string vms_file;
};

auto LoadVms(heatherspan::PlatformStandin& standin, const std::string& file) -> bool {
  if (file.empty()) return true;
  std::ifstream stream(file);
  const std::string text{std::istreambuf_iterator<char>(stream), {}};
  if (stream && standin.SetVms(text)) return true;
  fmt::print(stderr, "{}: expected a VM list in the form of GET /v1/vms\n", file);
  return false;
}

template <class Listen>
auto Start(const std::string& text, const Listen& listen) -> bool {
  const auto endpoint = Endpoint::Parse(text);
  const auto taken = endpoint.ok() ? listen(*endpoint) : endpoint;
  if (taken.ok()) return true;
  fmt::print(stderr, "{}\n", taken.status().ToString());
  return false;
}

auto Run(const Options& options) -> int {
  boost::asio::io_context context(1);
  heatherspan::PlatformStandin standin;
  if (!LoadVms(standin, options.vms_file)) return EXIT_FAILURE;
  heatherspan::PlatformHost host(context, standin);
  const bool started =
      Start(options.listen, [&host](const Endpoint& at) { return host.Listen(at); }) &&
      Start(options.control, [&host](const Endpoint& at) { return host.ListenControl(at); });
  if (!started) return EXIT_FAILURE;
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](auto /*error*/, int /*signal*/) { context.stop(); });
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  Options options;
  CLI::App app("Stand-in for the platform's key-value service and VM list");
  app.add_option("--listen", options.listen, "Address of the service (IP:PORT)");
  app.add_option("--control", options.control, "Address of the control requests (IP:PORT)");
  app.add_option("--vms", options.vms_file, "VM list (JSON, as in GET /v1/vms)");
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}
