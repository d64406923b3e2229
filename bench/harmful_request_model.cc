#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>

#include "experiment/harmful_request_simulation.h"

/// Plays the model of harmful requests once and prints what it shows, as one line of JSON.
auto main(int argc, char** argv) -> int {
  heatherspan::HarmfulRequestSimulation::Options options;
  int length = 15;
  bool unguarded = false;
  bool once = false;
  CLI::App app("harmful_request_model: requests that end the targets which run them");
  app.add_option("--vms", options.vm_count, "Entry VMs");
  app.add_option("--seed", options.seed, "Seed");
  app.add_option("--harmful", options.harmful_requests, "Different harmful requests");
  app.add_option("--harmful-rate", options.harmful_per_second, "Of each harmful request, a second");
  app.add_option("--rate", options.requests_per_vm, "Innocent requests a second and VM");
  app.add_option("--targets", options.targets_per_vm, "Targets a VM");
  app.add_option("--attempts", options.max_attempts, "Attempts of a request at one VM");
  app.add_option("--retries", options.callers_retries, "Retries of an innocent request's caller");
  app.add_option("--copies", options.copies, "Copies of an innocent request at once");
  app.add_option("--flapping", options.flapping_share, "Targets that end again and again");
  app.add_option("--crash-share", options.crash_share, "Targets that crash every 4 s");
  app.add_option("--length", length, "Virtual time, s");
  app.add_flag("--at-most-once", once, "VMs repeat no lost request");
  app.add_flag("--unguarded", unguarded, "Without the guard");
  CLI11_PARSE(app, argc, argv);
  options.idempotent = !once;
  options.guarded = !unguarded;
  heatherspan::HarmfulRequestSimulation model(options);
  model.RunFor(std::chrono::seconds(length));
  const auto& outcome = model.outcome();
  const std::chrono::duration<double> spread = outcome.slowest_spread;
  std::printf(R"({"vms":%zu,"seed":%llu,"targets_ended":%d,"sent_late":%d,"innocent_condemned":%d,)"
              R"("innocent_held":%d,"innocent_refused":%d,"innocent_sent":%d,"innocent_served":%d,)"
              R"("sent_after_news":%d,"slowest_spread_s":%.3f})"
              "\n",
              options.vm_count, static_cast<unsigned long long>(options.seed),
              outcome.targets_ended, outcome.sent_late, outcome.innocent_condemned,
              outcome.innocent_held, outcome.innocent_refused, outcome.innocent_sent,
              outcome.innocent_served, outcome.sent_after_news, spread.count());
  return 0;
}
