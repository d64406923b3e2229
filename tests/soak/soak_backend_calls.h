#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/random.h"
#include "net/http_client.h"
#include "soak/guarded.h"
#include "soak/promise_ledger.h"
#include "soak/soak_caller.h"
#include "soak/soak_shape.h"

namespace heatherspan {

/// Requests that targets send to gateways while they run one. Used on the targets' worker only.
class SoakBackendCalls {
 public:
  using Done = std::function<void(bool served)>;

  SoakBackendCalls(WorkerPool& workers, std::uint64_t seed, const SoakShape& shape,
                   std::string host, Guarded<PromiseLedger>& ledger);

  /// As the directory names the gateways.
  auto SetEntries(std::vector<SoakEntry> entries) -> void { entries_ = std::move(entries); }

  /// Sends what a run of the request calls. Returns what abandons the call, or nothing if a run
  /// calls nobody or no gateway is named.
  auto Begin(const SeenArrival& arrival, Done done) -> std::function<void()>;

 private:
  const SoakShape& shape_;
  const std::string host_;
  std::vector<SoakEntry> entries_;
  Guarded<PromiseLedger>& ledger_;
  HttpClient client_;
  Random random_;
  int sent_ = 0;
};

}  // namespace heatherspan
