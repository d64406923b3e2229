#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "base/task_runner.h"
#include "base/time.h"
#include "edge/platform_ports.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"

namespace heatherspan {

/// Keeps this entry VM's announcement in the store under a lease, so that the announcement expires
/// when the process ends.
template <LeasingStore Store, TaskRunner Workers = WorkerPool>
class VmAnnouncer {
 public:
  /// Callers still get the address of a lost VM for at most this time plus the delay of a watch.
  static constexpr Duration kLeaseLifetime = std::chrono::seconds(3);
  /// One renewal may fail before the lease expires.
  static constexpr Duration kRenewalInterval = std::chrono::milliseconds(1300);

  /// The store has renewed the announcement, at the given time or later.
  using OnRenewal = std::function<void(MonotonicTime at)>;

  VmAnnouncer(Store& store, Workers& workers, EventLog& log, std::string key, std::string value,
              OnRenewal on_renewal)
      : store_(store),
        workers_(workers),
        log_(log),
        key_(std::move(key)),
        value_(std::move(value)),
        on_renewal_(std::move(on_renewal)) {}

  auto Start() -> void {
    if (state_ == State::kIdle) CallStore();
  }

  /// Changes what is announced.
  auto Change(std::string value) -> void {
    value_ = std::move(value);
    if (state_ == State::kAnnounced) Rewrite();
  }

  /// Ends the announcement permanently.
  auto Withdraw() -> void {
    state_ = State::kWithdrawn;
    timer_.reset();
    if (lease_ == 0) return;
    store_.Revoke(std::exchange(lease_, 0), [this](const absl::Status& status) {
      log_.Write(LogLevel::kInfo, "withdrawn", {{"result", std::string(status.message())}});
    });
  }

  /// Announces the VM again if its announcement was removed although this process has not withdrawn
  /// it.
  auto OnRemoved() -> void {
    if (state_ != State::kAnnounced) {
      // The renewal of the lease shows nothing of the announcement.
      if (state_ != State::kWithdrawn && lease_ != 0) is_removed_ = true;
      return;
    }
    log_.Write(LogLevel::kWarning, "announcement-lost", {{"key", key_}});
    lease_ = 0;
    CallStore();
  }

 private:
  enum class State { kIdle, kCalling, kAnnounced, kWithdrawn };

  auto CallStore() -> void {
    if (state_ == State::kCalling || state_ == State::kWithdrawn) return;
    timer_.reset();
    const MonotonicTime called_at = workers_.Now();
    if (lease_ != 0) {
      state_ = State::kCalling;
      store_.KeepAlive(
          lease_, [this, called_at](const absl::Status& status) { OnRenewed(status, called_at); });
      return;
    }
    state_ = State::kCalling;
    is_removed_ = false;
    store_.Grant(kLeaseLifetime, [this, called_at](absl::StatusOr<StoreLease> lease) {
      if (!lease.ok()) {
        OnCallFailed("grant", lease.status());
        return;
      }
      if (state_ == State::kWithdrawn) return;
      const auto id = lease->id;
      store_.Put(key_, value_, id,
                 [this, id, called_at, value = value_](const absl::Status& status) {
                   if (!status.ok()) {
                     OnCallFailed("put", status);
                     return;
                   }
                   if (state_ == State::kWithdrawn) {
                     store_.Revoke(id, [](const absl::Status&) {});
                     return;
                   }
                   lease_ = id;
                   written_ = value;
                   state_ = State::kAnnounced;
                   log_.Write(LogLevel::kInfo, "announced", {{"key", key_}, {"lease", id}});
                   on_renewal_(called_at);
                   ScheduleRenewal();
                 });
    });
  }

  auto OnRenewed(const absl::Status& status, MonotonicTime called_at) -> void {
    if (state_ == State::kWithdrawn) return;
    if (absl::IsNotFound(status)) {
      lease_ = 0;
      state_ = State::kIdle;
      CallStore();
      return;
    }
    if (!status.ok()) {
      OnCallFailed("renewal", status);
      return;
    }
    state_ = State::kAnnounced;
    if (is_removed_) {
      OnRemoved();
      return;
    }
    on_renewal_(called_at);
    ScheduleRenewal();
    if (written_ != value_) Rewrite();
  }

  /// Writes the announcement again under its lease. A failure is made good at the next renewal.
  auto Rewrite() -> void {
    store_.Put(key_, value_, lease_, [this, value = value_](const absl::Status& status) {
      if (status.ok()) {
        written_ = value;
        return;
      }
      log_.Write(LogLevel::kWarning, "announcement-failed",
                 {{"call", "change"}, {"error", std::string(status.message())}});
    });
  }

  auto OnCallFailed(const char* call, const absl::Status& status) -> void {
    if (state_ == State::kWithdrawn) return;
    log_.Write(LogLevel::kWarning, "announcement-failed",
               {{"call", call}, {"error", std::string(status.message())}});
    state_ = State::kIdle;
    ScheduleRenewal();
  }

  auto ScheduleRenewal() -> void {
    timer_ = workers_.RunAfter(kRenewalInterval, [this] { CallStore(); });
  }

  Store& store_;
  Workers& workers_;
  EventLog& log_;
  const std::string key_;
  std::string value_;
  std::string written_;  ///< What the store has acknowledged last.
  const OnRenewal on_renewal_;
  State state_ = State::kIdle;
  std::uint64_t lease_ = 0;
  bool is_removed_ = false;  ///< Since the last call to renew the lease, or before it.
  std::shared_ptr<typename Workers::Timer> timer_;
};

}  // namespace heatherspan
