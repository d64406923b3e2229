#pragma once

#include <memory>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/random.h"
#include "net/http_client.h"
#include "net/worker_pool.h"
#include "soak/guarded.h"
#include "soak/promise_ledger.h"
#include "soak/soak_shape.h"

namespace heatherspan {

/// A gateway as callers reach it.
struct SoakEntry {
  std::string gateway;
  Endpoint endpoint;
};

/// What all callers share. Used on the callers' worker only.
struct SoakCallerWorld {
  std::vector<SoakEntry> entries;  ///< As the directory named them last.
  std::string host;
  const SoakShape* shape = nullptr;
  bool burst = false;
  int harmful = 0;  ///< Harmful requests are sent while it is not 0.
  bool ended = false;
};

/// A caller's attempt as it is sent.
auto ToHttpRequest(const SentRequest& request, const std::string& host) -> HttpRequest;
/// Tells the ledger how a caller's attempt has ended.
auto RecordResult(const std::string& id, const HttpResult& result, MonotonicTime now,
                  PromiseLedger& ledger) -> void;

/// A caller that sends one request after the other on a connection that it keeps. Runs on a worker
/// pool of one thread.
class SoakCaller {
 public:
  enum class Manner {
    kFollows,  ///< Stays with its gateway while the directory names it.
    kClings,   ///< Until a connection fails, whatever the directory says.
    kHarms,    ///< Sends one request that ends targets to any gateway, again and again.
  };

  SoakCaller(int number, Manner manner, std::uint64_t seed, WorkerPool& workers,
             const SoakCallerWorld& world, Guarded<PromiseLedger>& ledger);
  SoakCaller(const SoakCaller&) = delete;
  auto operator=(const SoakCaller&) -> SoakCaller& = delete;

  auto Start() -> void { SendNext(); }

 private:
  auto SendNext() -> void;
  auto ChooseEntry() -> bool;
  auto DrawRequest() -> SentRequest;
  auto Send(const SentRequest& request) -> void;
  auto OnResult(const std::string& id, const HttpResult& result) -> void;
  auto Later(Duration pause) -> void;
  auto Chance(double part) -> bool;

  const int number_;
  const Manner manner_;
  Random random_;
  WorkerPool& workers_;
  const SoakCallerWorld& world_;
  Guarded<PromiseLedger>& ledger_;
  HttpClient client_;
  SoakEntry entry_;
  int sent_ = 0;
  std::shared_ptr<HttpClient::Exchange> exchange_;
  std::shared_ptr<WorkerPool::Timer> next_;
  std::shared_ptr<WorkerPool::Timer> leave_;
};

}  // namespace heatherspan
