#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include "fmt/format.h"
#include "standins/target_host.h"

namespace {

using heatherspan::Endpoint;

struct Options {
  std::vector<std::string> targets;
  std::string file;
  std::string control = "127.0.0.1:20010";
  std::size_t connections = 330;
  std::uint64_t seed = 1;
  int service_ms = 15;
  heatherspan::TargetModel::Behaviour behaviour;
};

/// Adds the lines of the file, each NAME=IP:PORT, to the targets of the command line.
auto ReadTargets(Options& options) -> bool {
  if (options.file.empty()) return true;
  std::ifstream stream(options.file);
  if (!stream) {
    fmt::print(stderr, "{}: cannot be read\n", options.file);
    return false;
  }
  for (std::string line; std::getline(stream, line);) {
    if (!line.empty()) options.targets.push_back(line);
  }
  return true;
}

auto AddTarget(heatherspan::TargetHost& host, const std::string& text, const Options& options)
    -> bool {
  const auto equals = text.find('=');
  if (equals == std::string::npos) {
    fmt::print(stderr, "\"{}\" is not a target; expected NAME=IP:PORT\n", text);
    return false;
  }
  const auto endpoint = Endpoint::Parse(std::string_view(text).substr(equals + 1));
  const auto taken = endpoint.ok() ? host.Add(text.substr(0, equals), *endpoint, options.behaviour,
                                              options.connections)
                                   : endpoint;
  if (taken.ok()) return true;
  fmt::print(stderr, "{}\n", taken.status().ToString());
  return false;
}

auto Run(Options& options) -> int {
  boost::asio::io_context context(1);
  heatherspan::TargetHost host(context, options.seed);
  options.behaviour.service_time = std::chrono::milliseconds(options.service_ms);
  if (!ReadTargets(options)) return EXIT_FAILURE;
  for (const auto& target : options.targets) {
    if (!AddTarget(host, target, options)) return EXIT_FAILURE;
  }
  const auto control = Endpoint::Parse(options.control);
  const auto taken = control.ok() ? host.ListenControl(*control) : control;
  if (!taken.ok()) {
    fmt::print(stderr, "{}\n", taken.status().ToString());
    return EXIT_FAILURE;
  }
  boost::asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&context](auto /*error*/, int /*signal*/) { context.stop(); });
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  Options options;
  CLI::App app("Stand-in for the targets of one availability zone");
  app.add_option("targets", options.targets, "Targets, each NAME=IP:PORT");
  app.add_option("--file", options.file, "File with one NAME=IP:PORT on each line");
  app.add_option("--control", options.control, "Address of the control requests (IP:PORT)");
  app.add_option("--slots", options.behaviour.slots, "Requests that a target runs at a time");
  app.add_option("--connections", options.connections, "Most connections of a target");
  app.add_option("--service-ms", options.service_ms, "Mean time of a request when warm (ms)");
  app.add_option("--cold-requests", options.behaviour.cold_requests,
                 "Requests until a target is warm");
  app.add_option("--answer-bytes", options.behaviour.answer_bytes, "Size of an answer (bytes)");
  app.add_option("--seed", options.seed, "Seed of the service times");
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}
