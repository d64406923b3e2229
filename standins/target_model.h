#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/random.h"
#include "base/time.h"
#include "net/http_request.h"
#include "net/http_response.h"
#include "standins/execution_log.h"

namespace heatherspan {

/// One target as a state machine without sockets or clock: slots, service time, cold start,
/// shedding, deadlines, drain, and false load reports.
class TargetModel {
 public:
  struct Behaviour {
    int slots = 3;
    std::chrono::milliseconds service_time{15};  ///< Mean when warm.
    double cold_factor = 4;  ///< The first request takes so many times the service time.
    int cold_requests = 20;  ///< Requests until the target is warm.
    bool draining = false;   ///< Refuses new requests.
    bool shedding = false;   ///< Refuses new requests although slots are free.
    bool hanging = false;    ///< Accepts requests and never answers, probes included.
    std::optional<int> reported_busy = std::nullopt;  ///< A false value for the load report.
    std::size_t answer_bytes = std::size_t{4} * 1024;
  };

  /// What becomes of a request that arrives.
  struct Start {
    std::optional<HttpResponse> refusal;
    std::uint64_t execution = 0;  ///< Valid without a refusal.
    Duration service_time{};
  };

  TargetModel(std::string name, const Behaviour& behaviour, ExecutionLog& log);

  auto Begin(const HttpRequest& request, MonotonicTime now, Random& random) -> Start;
  auto Finish(std::uint64_t execution) -> HttpResponse;
  /// Frees the slot of a request whose caller has gone. It stays in the log.
  auto Cancel(std::uint64_t execution) -> void;

  auto Health() const -> HttpResponse;
  auto Load() const -> HttpResponse;
  auto busy() const -> std::size_t { return running_.size(); }
  auto behaviour() const -> const Behaviour& { return behaviour_; }

  /// Changes the behaviour: a JSON object with any of "slots", "service_ms", "cold" (true restarts
  /// the cold phase), "draining", "shedding", "hanging", "reported_busy" (null: the truth) and
  /// "answer_bytes". False, and nothing is changed, if the text has another form.
  auto Change(std::string_view json_text) -> bool;

 private:
  struct Running {
    std::size_t log_index = 0;
    std::string request_id;
    std::string ticket;
    std::string digest;
  };

  auto RefusalReason(const HttpRequest& request) const -> std::string_view;
  /// The mean service time at present, cold start included.
  auto MeanServiceTime() const -> Duration;

  std::string name_;
  Behaviour behaviour_;
  ExecutionLog& log_;
  std::map<std::uint64_t, Running> running_;
  std::uint64_t last_execution_ = 0;
  int warm_requests_ = 0;
};

}  // namespace heatherspan
