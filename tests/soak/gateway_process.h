#pragma once

#include <sys/types.h>

#include <atomic>
#include <optional>
#include <string>

namespace heatherspan {

/// One run after the other of the gateway program, as a process of its own. Its output is appended
/// to a file.
class GatewayProcess {
 public:
  /// How a process has ended.
  struct End {
    bool orderly = false;  ///< Exit status 0.
    std::string text;
  };

  GatewayProcess(std::string program, std::string settings_path, std::string log_path)
      : program_(std::move(program)),
        settings_path_(std::move(settings_path)),
        log_path_(std::move(log_path)) {}
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  auto operator=(const GatewayProcess&) -> GatewayProcess& = delete;

  /// Runs another build from the next start on.
  auto SetProgram(std::string program) -> void { program_ = std::move(program); }
  /// False if the process can't be started.
  auto Start() -> bool;
  auto Signal(int number) const -> void;
  /// Set once after the process has ended.
  auto Reap() -> std::optional<End>;
  auto running() const -> bool { return id_ > 0; }
  /// 0 if no process runs. Thread-safe.
  auto id() const -> pid_t { return id_; }

 private:
  std::string program_;
  const std::string settings_path_;
  const std::string log_path_;
  std::atomic<pid_t> id_ = 0;
};

}  // namespace heatherspan
