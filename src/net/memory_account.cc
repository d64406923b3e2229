#include "net/memory_account.h"

#include <algorithm>
#include <tuple>

namespace heatherspan {
namespace {

// The part of the bound that only small bodies may take.
constexpr std::size_t kReservedPart = 8;
// Large answers may take one part in so many of the bound, so that endless ones give way first.
constexpr std::size_t kAnswersPart = 2;

}  // namespace

MemoryAccount::MemoryAccount(std::size_t max_bytes)
    : max_bytes_(max_bytes), small_reserve_(max_bytes / kReservedPart) {}

auto MemoryAccount::Add(MemoryUse use, std::size_t bytes) -> void {
  uses_[Index(use)].fetch_add(bytes, std::memory_order_relaxed);
  total_.fetch_add(bytes, std::memory_order_relaxed);
}

auto MemoryAccount::Remove(MemoryUse use, std::size_t bytes) -> void {
  uses_[Index(use)].fetch_sub(bytes, std::memory_order_relaxed);
  total_.fetch_sub(bytes, std::memory_order_relaxed);
}

auto MemoryAccount::TryAdd(MemoryUse use, std::size_t bytes) -> bool {
  if (!HasRoom(bytes, bytes > kSmallBytes)) return false;
  Add(use, bytes);
  return true;
}

auto MemoryAccount::HasRoom(std::size_t more, bool large) const -> bool {
  const auto limit = large ? largest_body() : max_bytes_;
  const auto held = total_.load(std::memory_order_relaxed);
  return held <= limit && more <= limit - held;
}

auto MemoryAccount::Change(ArrivingBody& body, std::size_t received, std::size_t announced,
                           MonotonicTime now) -> bool {
  const std::lock_guard lock(mutex_);
  if (body.gave_way_) return false;
  if (body.bytes_ == 0 || received >= body.progress_bytes_ + kSmallBytes) {
    body.progress_bytes_ = received;
    body.progress_at_ = now;
  }
  const auto bytes = std::max(received, announced);
  if (bytes <= body.bytes_) return true;
  const auto has_room = [&] {
    const auto more = bytes - body.bytes_;
    const bool answers_full = body.use_ == MemoryUse::kAnswers &&
                              this->bytes(MemoryUse::kAnswers) + more > max_bytes_ / kAnswersPart;
    return !answers_full && HasRoom(more, bytes > kSmallBytes);
  };
  while (!has_room()) {
    auto* const victim = ChooseVictim(body, bytes, announced > 0, now);
    if (victim == nullptr) {
      refusals_.fetch_add(1);
      return false;
    }
    refusals_.fetch_add(1);
    Remove(victim->use_, std::exchange(victim->bytes_, 0));
    victim->gave_way_ = true;
    arriving_.erase(victim);
    victim->give_way_();
  }
  Add(body.use_, bytes - body.bytes_);
  body.bytes_ = bytes;
  arriving_.insert(&body);
  return true;
}

auto MemoryAccount::ChooseVictim(const ArrivingBody& asking, std::size_t wanted, bool announced,
                                 MonotonicTime now) const -> ArrivingBody* {
  const bool is_new = asking.bytes_ == 0;
  const bool among_answers =
      asking.use_ == MemoryUse::kAnswers && HasRoom(wanted - asking.bytes_, wanted > kSmallBytes);
  const auto competes = [&](const ArrivingBody& body) {
    return !among_answers || body.use_ == MemoryUse::kAnswers;
  };
  std::size_t arriving = 0;
  std::size_t count = is_new ? 1 : 0;
  for (const auto* const body : arriving_) {
    if (!competes(*body)) continue;
    arriving += body->bytes_;
    ++count;
  }
  // What complete messages and connections hold is nobody's to divide.
  const auto held = among_answers ? bytes(MemoryUse::kAnswers) : total();
  const auto limit = among_answers ? max_bytes_ / kAnswersPart : largest_body();
  const auto equal_part =
      (limit - std::min(limit, held - arriving)) / std::max<std::size_t>(1, count);
  const auto rank = [&](const ArrivingBody& body) {
    return std::tuple(body.IsSlow(now), body.bytes_, -body.progress_at_.time_since_epoch().count());
  };
  ArrivingBody* victim = nullptr;
  for (auto* const body : arriving_) {
    if (body == &asking || !competes(*body) || body->bytes_ <= equal_part) continue;
    if (victim == nullptr || rank(*body) > rank(*victim)) victim = body;
  }
  if (victim == nullptr || victim->IsSlow(now)) return victim;
  // A sender that can wait for room before it sends a large body does so. One that has sent more
  // than all others is the first to go.
  const bool may_wait = announced && is_new && wanted > kSmallBytes;
  return may_wait || wanted >= victim->bytes_ ? nullptr : victim;
}

auto MemoryAccount::Leave(ArrivingBody& body) -> void {
  const std::lock_guard lock(mutex_);
  if (arriving_.erase(&body) == 0) return;
  Remove(body.use_, std::exchange(body.bytes_, 0));
}

auto HeldMemory::Try(const std::shared_ptr<MemoryAccount>& account, MemoryUse use,
                     std::size_t bytes) -> std::optional<HeldMemory> {
  if (!account->TryAdd(use, bytes)) return std::nullopt;
  HeldMemory held;
  held.account_ = account;
  held.use_ = use;
  held.bytes_ = bytes;
  return held;
}

auto HeldMemory::TryResize(std::size_t bytes) -> bool {
  if (account_ == nullptr) return true;
  if (bytes > bytes_ && !account_->TryAdd(use_, bytes - bytes_)) return false;
  if (bytes < bytes_) account_->Remove(use_, bytes_ - bytes);
  bytes_ = bytes;
  return true;
}

auto HeldMemory::Split(std::size_t bytes) -> HeldMemory {
  HeldMemory part;
  part.account_ = account_;
  part.use_ = use_;
  part.bytes_ = std::min(bytes, bytes_);
  bytes_ -= part.bytes_;
  return part;
}

}  // namespace heatherspan
