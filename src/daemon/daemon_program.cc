#include "daemon/daemon_program.h"

#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <thread>

#include "base/process_memory.h"
#include "daemon/daemon.h"
#include "observe/event_log.h"
#include "settings/settings_reader.h"

namespace heatherspan {
namespace {

constexpr int kExitSuccess = 0;
constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;
constexpr int kExitInvalidSettings = 3;

/// Blocks the stop signals in all threads, because a thread waits for them with sigwait.
auto BlockStopSignals() -> sigset_t {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

auto ReadFile(const std::string& path) -> std::optional<std::string> {
  std::ifstream file(path, std::ios::binary);
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (!file) return std::nullopt;
  return text;
}

auto Serve(const Settings& settings) -> int {
  KeepFreedMemorySmall();
  const auto signals = BlockStopSignals();
  EventLog log(ParseLogLevel(settings.log_level).value_or(LogLevel::kInfo));
  Daemon daemon(settings, log);
  if (const auto status = daemon.Start(); !status.ok()) {
    log.Write(LogLevel::kError, "start-failed", {{"error", std::string(status.message())}});
    return kExitFailure;
  }
  std::thread signal_thread([&] {
    int signal = 0;
    sigwait(&signals, &signal);
    daemon.BeginLeave();
  });
  daemon.WaitUntilStopped();
  // If a drain started the stop, signal_thread still waits for a signal.
  ::kill(::getpid(), SIGTERM);
  signal_thread.join();
  log.Write(LogLevel::kInfo, "stopped", {});
  return kExitSuccess;
}

}  // namespace

auto RunDaemonProgram(int argc, char** argv) -> int {
  CLI::App app("heatherspand: the daemon of an entry VM");
  std::string path;
  bool check = false;
  app.add_option("--settings", path, "Settings file (TOML)")->required();
  app.add_flag("--check", check, "Check the settings and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitSuccess : kExitUsage;
  }
  const auto text = ReadFile(path);
  if (!text.has_value()) {
    std::cerr << path << ": cannot be read\n";
    return kExitUsage;
  }
  const auto settings = ReadSettings(*text, path, ProcessEnvironment());
  if (!settings.ok()) {
    std::cerr << settings.status().message() << '\n';
    return kExitInvalidSettings;
  }
  if (check) {
    std::cout << path << ": sound\n";
    return kExitSuccess;
  }
  return Serve(*settings);
}

}  // namespace heatherspan
