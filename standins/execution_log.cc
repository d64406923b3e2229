#include "standins/execution_log.h"

#include <utility>

#include "nlohmann/json.hpp"

namespace heatherspan {
namespace {

auto StateText(Execution::State state) -> const char* {
  switch (state) {
    case Execution::State::kRunning:
      return "running";
    case Execution::State::kDone:
      return "done";
    case Execution::State::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace

auto ExecutionLog::Add(Execution execution) -> std::size_t {
  if (executions_.size() >= kMaxExecutions) {
    ++unrecorded_;
    return kMaxExecutions;
  }
  executions_.push_back(std::move(execution));
  return executions_.size() - 1;
}

auto ExecutionLog::SetState(std::size_t index, Execution::State state) -> void {
  if (index < executions_.size()) executions_[index].state = state;
}

auto ExecutionLog::ToJson() const -> nlohmann::json {
  using std::chrono::milliseconds;
  auto list = nlohmann::json::array();
  for (const auto& execution : executions_) {
    const auto started =
        std::chrono::duration_cast<milliseconds>(execution.started.time_since_epoch());
    list.push_back({{"target", execution.target},
                    {"request_id", execution.request_id},
                    {"ticket", execution.ticket},
                    {"method", execution.method},
                    {"path", execution.path},
                    {"digest", execution.digest},
                    {"started_ms", started.count()},
                    {"state", StateText(execution.state)}});
  }
  return {{"unrecorded", unrecorded_}, {"executions", std::move(list)}};
}

}  // namespace heatherspan
