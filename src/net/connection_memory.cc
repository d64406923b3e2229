#include "net/connection_memory.h"

#include <algorithm>
#include <utility>

namespace heatherspan {
namespace {

// What a connection takes beside its buffer.
constexpr std::size_t kConnectionBytes = std::size_t{4} * 1024;

}  // namespace

ConnectionMemory::ConnectionMemory(std::shared_ptr<MemoryAccount> account, std::size_t buffer_bytes,
                                   std::function<void()> give_up_request,
                                   std::function<void()> give_up_answer)
    : account_(std::move(account)),
      give_up_request_(std::move(give_up_request)),
      give_up_answer_(std::move(give_up_answer)),
      buffer_(account_, MemoryUse::kConnections, kConnectionBytes + buffer_bytes) {}

auto ConnectionMemory::TryResizeBuffer(std::size_t bytes) -> bool {
  return buffer_.TryResize(kConnectionBytes + bytes);
}

auto ConnectionMemory::OnRequestBytes(std::size_t received, std::size_t announced) -> bool {
  if (received == 0 && announced == 0) return true;
  if (!request_.has_value()) request_.emplace(account_, MemoryUse::kRequests, give_up_request_);
  return request_->OnBytes(received, announced, SystemClock().Now());
}

auto ConnectionMemory::HoldRequest(std::size_t bytes) -> std::optional<HeldMemory> {
  if (bytes == 0) return HeldMemory();
  if (!request_.has_value()) {
    auto held = HeldMemory::Try(account_, MemoryUse::kRequests, bytes);
    if (held.has_value()) return held;
  }
  // Others may have to give way.
  if (!OnRequestBytes(bytes, bytes)) return std::nullopt;
  request_.reset();
  return HeldMemory(account_, MemoryUse::kRequests, bytes);
}

auto ConnectionMemory::BeginAnswer(std::size_t bytes) -> bool {
  answer_.emplace(account_, MemoryUse::kAnswers, give_up_answer_);
  answer_bytes_ = bytes;
  if (answer_->OnBytes(0, bytes, SystemClock().Now())) return true;
  answer_.reset();
  return false;
}

auto ConnectionMemory::OnAnswerBytes(std::size_t written) -> void {
  if (!answer_.has_value()) return;
  answer_->OnBytes(std::min(written, answer_bytes_), answer_bytes_, SystemClock().Now());
}

auto ConnectionMemory::HoldQueue(std::size_t bytes) -> bool {
  queue_.reset();
  if (bytes == 0) return true;
  queue_.emplace(account_, MemoryUse::kAnswers, give_up_answer_);
  if (queue_->OnBytes(bytes, 0, SystemClock().Now())) return true;
  queue_.reset();
  return false;
}

}  // namespace heatherspan
