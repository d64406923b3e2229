#pragma once

#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "base/build_version.h"
#include "base/file_text.h"
#include "base/process_memory.h"
#include "edge/edge_node.h"
#include "edge/edge_settings.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Handles the command line and the signals of the gateway process.
template <PlatformAdapter Platform>
class EdgeProgram {
 public:
  static constexpr int kExitSuccess = 0;
  static constexpr int kExitFailure = 1;
  static constexpr int kExitUsage = 2;
  static constexpr int kExitInvalidSettings = 3;

  static auto Run(int argc, char** argv) -> int {
    CLI::App app("heatherspan-gateway: forwards requests on an entry VM of the users' platform");
    std::string path;
    bool check = false;
    app.add_option("--settings", path, "Settings file (TOML)")->required();
    app.add_flag("--check", check, "Check the settings and exit");
    app.set_version_flag("--version", std::string(BuildVersion()));
    try {
      app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
      return app.exit(error) == 0 ? kExitSuccess : kExitUsage;
    }
    const auto settings = Read(path);
    if (!settings.ok()) {
      std::cerr << settings.status().message() << '\n';
      return absl::IsNotFound(settings.status()) ? kExitUsage : kExitInvalidSettings;
    }
    if (check) {
      std::cout << path << ": sound\n";
      return kExitSuccess;
    }
    return Serve(path, *settings);
  }

 private:
  static auto Read(const std::string& path) -> absl::StatusOr<EdgeSettings> {
    const auto text = ReadFileText(path);
    if (!text.has_value()) return absl::NotFoundError(path + ": cannot be read");
    return ReadEdgeSettings(*text, path);
  }

  /// Blocks the signals in every thread, so that sigwait() receives them.
  static auto BlockSignals() -> sigset_t {
    ::signal(SIGPIPE, SIG_IGN);
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal_number : {SIGTERM, SIGINT, SIGHUP, SIGUSR1})
      sigaddset(&signals, signal_number);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
  }

  static auto Serve(const std::string& path, const EdgeSettings& settings) -> int {
    KeepFreedMemorySmall();
    const auto signals = BlockSignals();
    EventLog log(ParseLogLevel(settings.log_level).value_or(LogLevel::kInfo),
                 settings.log_lines_per_second);
    // When the node has stopped, the process sends itself SIGUSR1 to end the wait for signals.
    EdgeNode<Platform> node(settings, log, [] { ::kill(::getpid(), SIGUSR1); });
    if (const auto status = node.Start(); !status.ok()) {
      log.Write(LogLevel::kError, "start-failed", {{"error", std::string(status.message())}});
      log.Drain();
      return kExitFailure;
    }
    while (true) {
      int signal_number = 0;
      sigwait(&signals, &signal_number);
      if (signal_number == SIGUSR1) break;
      if (signal_number == SIGHUP) {
        Reload(path, node, log);
      } else {
        node.BeginStop();
      }
    }
    log.Drain();
    // Destructors would wait for the reader of the log, which may no longer read.
    std::_Exit(kExitSuccess);
  }

  static auto Reload(const std::string& path, EdgeNode<Platform>& node, EventLog& log) -> void {
    auto settings = Read(path);
    if (!settings.ok()) {
      log.Write(LogLevel::kError, "reload-failed",
                {{"error", std::string(settings.status().message())}});
      return;
    }
    log.SetLevel(ParseLogLevel(settings->log_level).value_or(LogLevel::kInfo));
    node.Reload(*std::move(settings));
  }
};

}  // namespace heatherspan
