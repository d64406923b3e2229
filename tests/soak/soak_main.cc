#include <signal.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <string>

#include "fmt/format.h"
#include "soak/soak_run.h"

namespace {

/// Plays one seed and prints what was broken. The exit status is 1 if something was.
auto Play(const heatherspan::SoakRun::Options& options) -> int {
  heatherspan::SoakRun run(options);
  if (!run.Play()) {
    std::cout << fmt::format("seed {}: FAILED, not ready in time\n", options.seed);
    return 1;
  }
  return run.ledger().With([&](const heatherspan::PromiseLedger& ledger) {
    for (const auto& violation : ledger.violations()) {
      std::cout << fmt::format("  {}: {}\n", violation.promise, violation.text);
    }
    const bool held = ledger.violations().empty();
    std::string rejected;
    for (const auto& [status, count] : ledger.rejected()) {
      rejected += fmt::format(", {} times {}", count, status);
    }
    const auto& homes = ledger.home_counts();
    std::cout << fmt::format(
        "seed {}: {}, {} requests, {} served, {} refused{}, homes: {} arrivals, {} at former ones, "
        "{} misdirected, {} broken promises\n",
        options.seed, held ? "held" : "FAILED", ledger.sent(), ledger.served(), ledger.refused(),
        rejected, homes.arrivals, homes.former_homes, homes.misdirected,
        ledger.violations().size());
    return held ? 0 : 1;
  });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  CLI::App app("heatherspan-soak: plays one seed of random faults against gateway processes");
  heatherspan::SoakRun::Options options;
  int length_s = 15;
  int recovery_s = 15;
  bool print_plan = false;
  app.add_option("--gateway", options.program, "The gateway program")->required();
  app.add_option("--previous", options.previous,
                 "The gateway program of the build before; each start changes the build");
  app.add_option("--folder", options.folder, "An existing folder for settings and logs")
      ->required();
  app.add_option("--seed", options.seed, "Seed of the faults and of the callers");
  app.add_option("--length", length_s, "Time over which faults begin, in seconds");
  app.add_option("--recovery", recovery_s, "Time from their end to the last check, in seconds");
  std::string shape = "standard";
  app.add_option("--shape", shape, "The deployment: standard or rotabio-litoral")
      ->check(CLI::IsMember({"standard", "rotabio-litoral"}))
      ->each([&options](const std::string& name) {
        options.shape = heatherspan::FindSoakShape(name);
        options.size = options.shape->size;
        options.callers = options.shape->callers;
      });
  app.add_option("--gateways", options.size.gateways, "Gateway processes, at most 16")
      ->check(CLI::Range(1, 16));
  app.add_option("--targets", options.size.targets, "Targets, at most 48")
      ->check(CLI::Range(4, 48));
  app.add_option("--callers", options.callers, "Callers")->check(CLI::Range(1, 500));
  app.add_flag("--plan", print_plan, "Only print the steps of the seed");
  CLI11_PARSE(app, argc, argv);
  options.length = std::chrono::seconds(length_s);
  options.recovery = std::chrono::seconds(recovery_s);
  if (print_plan) {
    for (const auto& step : heatherspan::DrawSoakPlan(options.seed, options.length, options.size)) {
      std::cout << heatherspan::StepText(step) << '\n';
    }
    return 0;
  }
  ::signal(SIGPIPE, SIG_IGN);
  return Play(options);
}
