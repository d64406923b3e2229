#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

#include "absl/container/flat_hash_set.h"
#include "base/time.h"

namespace heatherspan {

class ArrivingBody;

/// What a process holds memory for on behalf of others.
enum class MemoryUse { kConnections, kRequests, kAnswers, kCount };

/// The account of the bytes that a process holds for callers, targets, peers and its store. What
/// would pass the bound is refused or given up: complete messages are never given up, of those that
/// arrive the slowest and largest above their equal part go first. Small bodies have a reserve that
/// large ones can't take. Thread-safe.
class MemoryAccount {
 public:
  /// Bodies up to this size are small.
  static constexpr std::size_t kSmallBytes = std::size_t{64} * 1024;
  /// A body of which fewer than kSmallBytes have come for so long is slow.
  static constexpr Duration kSlowAfter = std::chrono::seconds(1);

  explicit MemoryAccount(std::size_t max_bytes = std::numeric_limits<std::size_t>::max());

  /// The bound for a process on a machine of the size. The rest is for the process itself, for what
  /// the allocator can't use, and for the sockets.
  static auto BoundFor(std::size_t machine_bytes) -> std::size_t { return machine_bytes / 2; }

  auto max_bytes() const -> std::size_t { return max_bytes_; }
  /// The largest body that fits if nothing else is held.
  auto largest_body() const -> std::size_t { return max_bytes_ - small_reserve_; }
  auto bytes(MemoryUse use) const -> std::size_t { return uses_[Index(use)].load(); }
  auto total() const -> std::size_t { return total_.load(); }
  /// Bodies and connections that were refused or given up.
  auto refusals() const -> std::size_t { return refusals_.load(); }

  /// Counts bytes that are held already.
  auto Add(MemoryUse use, std::size_t bytes) -> void;
  auto Remove(MemoryUse use, std::size_t bytes) -> void;
  /// Counts bytes if there is room.
  auto TryAdd(MemoryUse use, std::size_t bytes) -> bool;

 private:
  friend class ArrivingBody;

  static auto Index(MemoryUse use) -> std::size_t { return static_cast<std::size_t>(use); }

  /// Called by an ArrivingBody that changes what it holds.
  auto Change(ArrivingBody& body, std::size_t received, std::size_t announced, MonotonicTime now)
      -> bool;
  auto Leave(ArrivingBody& body) -> void;
  auto HasRoom(std::size_t more, bool large) const -> bool;
  /// The body that gives way to one that wants so many bytes; null if none does.
  auto ChooseVictim(const ArrivingBody& asking, std::size_t wanted, bool announced,
                    MonotonicTime now) const -> ArrivingBody*;

  const std::size_t max_bytes_;
  const std::size_t small_reserve_;
  std::array<std::atomic<std::size_t>, static_cast<std::size_t>(MemoryUse::kCount)> uses_{};
  std::atomic<std::size_t> total_{0};
  std::atomic<std::size_t> refusals_{0};
  std::mutex mutex_;
  absl::flat_hash_set<ArrivingBody*> arriving_;  ///< Guarded by the mutex.
};

/// A body that is arriving in several pieces. It holds bytes of the account until it is complete or
/// destroyed. The account's mutex guards all of it.
class ArrivingBody {
 public:
  /// `give_way` is called once, under the account's lock, if the body has to be given up; it must
  /// only post a task. What the body held counts as free from then on.
  ArrivingBody(std::shared_ptr<MemoryAccount> account, MemoryUse use,
               std::function<void()> give_way)
      : account_(std::move(account)), use_(use), give_way_(std::move(give_way)) {}
  ~ArrivingBody() { account_->Leave(*this); }
  ArrivingBody(const ArrivingBody&) = delete;
  auto operator=(const ArrivingBody&) -> ArrivingBody& = delete;

  /// `received` bytes have come. `announced`: the size that the sender has stated; 0 if it has not.
  /// Returns false if the body has to be given up.
  auto OnBytes(std::size_t received, std::size_t announced, MonotonicTime now) -> bool {
    return account_->Change(*this, received, announced, now);
  }
  auto gave_way() const -> bool { return gave_way_.load(); }

 private:
  friend class MemoryAccount;

  auto IsSlow(MonotonicTime now) const -> bool {
    return now - progress_at_ >= MemoryAccount::kSlowAfter;
  }

  const std::shared_ptr<MemoryAccount> account_;
  const MemoryUse use_;
  const std::function<void()> give_way_;
  std::size_t bytes_ = 0;
  std::size_t progress_bytes_ = 0;  ///< That had come at the last progress.
  MonotonicTime progress_at_{};
  std::atomic<bool> gave_way_{false};
};

/// Bytes of an account that are held as long as the object lives.
class HeldMemory {
 public:
  HeldMemory() = default;
  /// Counts bytes that are there already, without a question.
  HeldMemory(std::shared_ptr<MemoryAccount> account, MemoryUse use, std::size_t bytes)
      : account_(std::move(account)), use_(use), bytes_(bytes) {
    account_->Add(use_, bytes_);
  }
  ~HeldMemory() { Release(); }
  HeldMemory(HeldMemory&& other) noexcept
      : account_(std::move(other.account_)), use_(other.use_), bytes_(other.bytes_) {}
  auto operator=(HeldMemory&& other) noexcept -> HeldMemory& {
    std::swap(account_, other.account_);
    std::swap(use_, other.use_);
    std::swap(bytes_, other.bytes_);
    return *this;
  }

  /// Counts bytes if there is room for them.
  static auto Try(const std::shared_ptr<MemoryAccount>& account, MemoryUse use, std::size_t bytes)
      -> std::optional<HeldMemory>;
  /// Counts another number of bytes. Returns false, without a change, if there is no room for more.
  auto TryResize(std::size_t bytes) -> bool;
  /// Moves a part of the bytes, or all, into another object.
  auto Split(std::size_t bytes) -> HeldMemory;
  auto Release() -> void {
    if (account_ != nullptr) account_->Remove(use_, bytes_);
    account_ = nullptr;
  }

 private:
  std::shared_ptr<MemoryAccount> account_;
  MemoryUse use_ = MemoryUse::kConnections;
  std::size_t bytes_ = 0;
};

}  // namespace heatherspan
