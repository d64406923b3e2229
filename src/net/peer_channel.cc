#include "net/peer_channel.h"

#include <algorithm>
#include <variant>

#include "fmt/format.h"
#include "wire/message_codec.h"

namespace heatherspan {
namespace {

auto Now() -> MonotonicTime { return SystemClock().Now(); }

auto RunAll(const std::vector<std::pair<PeerClient::Callback, PeerResult>>& results) -> void {
  for (const auto& [callback, result] : results) callback(result);
}

}  // namespace

PeerChannel::PeerChannel(WorkerPool& workers, Endpoint peer,
                         std::shared_ptr<const AuthenticationKey> key, InstanceId self)
    : workers_(workers), peer_(std::move(peer)), key_(std::move(key)), self_(self) {}

auto PeerChannel::Call(InstanceId expected, const PeerRequest& request, Duration timeout,
                       PeerClient::Callback callback) -> void {
  const auto correlation = next_correlation_.fetch_add(1);
  PendingCall pending;
  pending.expected = expected;
  pending.callback = std::move(callback);
  pending.deadline = Now() + timeout;
  pending.one_way = std::holds_alternative<CancelRequest>(request);
  pending.frame = PeerLink::BeginFrame(correlation);
  AppendMessage(request, pending.frame);
  const bool fits = PeerLink::FrameFits(pending.frame);
  Results results;
  {
    const std::lock_guard lock(mutex_);
    waiting_bytes_ += pending.frame.size();
    const bool full = calls_.size() >= kMaxPendingCalls || waiting_bytes_ > kMaxWaitingBytes;
    last_call_ = Now();
    const auto call = calls_.emplace(correlation, std::move(pending)).first;
    deadlines_.emplace(call->second.deadline, correlation);
    if (stopped_) {
      FinishCall(call, absl::CancelledError("the peer client has stopped"),
                 SendProgress::kNothingWritten, results);
    } else if (!fits) {
      FinishCall(call,
                 absl::InvalidArgumentError(fmt::format("the request to {} is longer than {} bytes",
                                                        peer_.Text(), kMaxFrameBytes)),
                 SendProgress::kNothingWritten, results);
    } else if (full) {
      FinishCall(call,
                 absl::ResourceExhaustedError(
                     fmt::format("{} calls to {} are pending, {} bytes of them wait for a link",
                                 calls_.size() - 1, peer_.Text(), waiting_bytes_)),
                 SendProgress::kNothingWritten, results);
    } else {
      ArmTimer(call->second.deadline);
      if (link_ == nullptr) OpenLink();
      if (other_.has_value()) SendCall(correlation, results);
    }
  }
  RunLater(std::move(results));
}

auto PeerChannel::Stop() -> void {
  Results results;
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
    timer_.reset();
    ++link_number_;
    if (link_ != nullptr) link_->Close(absl::CancelledError("the peer client has stopped"));
    link_.reset();
    while (!calls_.empty()) {
      const auto call = calls_.begin();
      const bool sent = call->second.sent;
      FinishCall(call, absl::CancelledError("the peer client has stopped"),
                 sent ? SendProgress::kWritten : SendProgress::kNothingWritten, results);
    }
  }
  RunLater(std::move(results));
}

auto PeerChannel::OpenLink() -> void {
  const auto number = ++link_number_;
  other_.reset();
  const auto weak = weak_from_this();
  PeerLink::Events events;
  events.ready = [weak, number](InstanceId other) {
    if (const auto self = weak.lock()) self->OnReady(number, other);
  };
  events.frame = [weak, number](std::uint64_t correlation, std::string_view message) {
    const auto self = weak.lock();
    return self != nullptr && self->OnFrame(number, correlation, message);
  };
  events.withdrawn = [weak, number](std::uint64_t correlation, bool unwritten) {
    if (const auto self = weak.lock()) self->OnWithdrawn(number, correlation, unwritten);
  };
  events.closed = [weak, number](const PeerLink::End& end) {
    if (const auto self = weak.lock()) self->OnClosed(number, end);
  };
  link_ = PeerLink::Connect(workers_, peer_, key_, self_, std::move(events));
}

auto PeerChannel::SendCall(std::uint64_t correlation, Results& results) -> void {
  const auto call = calls_.find(correlation);
  auto& pending = call->second;
  if (pending.expected.value() != 0 && pending.expected != *other_) {
    FinishCall(call,
               absl::FailedPreconditionError(fmt::format("{} is instance {:016x}; expected {:016x}",
                                                         peer_.Text(), other_->value(),
                                                         pending.expected.value())),
               SendProgress::kNothingWritten, results);
    return;
  }
  waiting_bytes_ -= pending.frame.size();
  if (!link_->Send(correlation, std::exchange(pending.frame, {}))) {
    FinishCall(call,
               absl::ResourceExhaustedError(
                   fmt::format("the write queue of the link to {} is full", peer_.Text())),
               SendProgress::kNothingWritten, results);
    return;
  }
  pending.sent = true;
  if (pending.one_way) FinishCall(call, absl::OkStatus(), SendProgress::kWritten, results);
}

auto PeerChannel::OnReady(std::uint64_t link_number, InstanceId other) -> void {
  Results results;
  {
    const std::lock_guard lock(mutex_);
    if (link_number != link_number_ || link_ == nullptr) return;
    other_ = other;
    std::vector<std::uint64_t> waiting;
    for (const auto& [correlation, call] : calls_) {
      if (!call.sent) waiting.push_back(correlation);
    }
    for (const auto correlation : waiting) SendCall(correlation, results);
  }
  RunAll(results);
}

auto PeerChannel::OnFrame(std::uint64_t link_number, std::uint64_t correlation,
                          std::string_view message) -> bool {
  auto response = DecodePeerResponse(message);
  if (!response.ok()) return false;
  Results results;
  {
    const std::lock_guard lock(mutex_);
    if (link_number != link_number_) return true;
    const auto call = calls_.find(correlation);
    // A late answer to a call whose deadline has passed.
    if (call == calls_.end()) return true;
    FinishCall(call, absl::OkStatus(), SendProgress::kCompleted, results);
  }
  results.front().second.response = *std::move(response);
  RunAll(results);
  return true;
}

auto PeerChannel::OnWithdrawn(std::uint64_t link_number, std::uint64_t correlation, bool unwritten)
    -> void {
  Results results;
  {
    const std::lock_guard lock(mutex_);
    const auto call = calls_.find(correlation);
    if (link_number != link_number_ || call == calls_.end()) return;
    FinishCall(call,
               absl::DeadlineExceededError(fmt::format("{} did not answer in time", peer_.Text())),
               unwritten ? SendProgress::kNothingWritten : SendProgress::kWritten, results);
  }
  RunAll(results);
}

auto PeerChannel::OnClosed(std::uint64_t link_number, const PeerLink::End& end) -> void {
  Results results;
  {
    const std::lock_guard lock(mutex_);
    if (link_number != link_number_) return;
    link_.reset();
    other_.reset();
    const std::set<std::uint64_t> unwritten(end.unwritten.begin(), end.unwritten.end());
    while (!calls_.empty()) {
      const auto call = calls_.begin();
      const bool written = call->second.sent && !unwritten.contains(call->first);
      auto status =
          call->second.withdrawn
              ? absl::DeadlineExceededError(fmt::format("{} did not answer in time", peer_.Text()))
              : end.status;
      FinishCall(call, std::move(status),
                 written ? SendProgress::kWritten : SendProgress::kNothingWritten, results);
    }
  }
  RunAll(results);
}

auto PeerChannel::OnTimer() -> void {
  Results results;
  {
    const std::lock_guard lock(mutex_);
    if (stopped_) return;
    armed_until_ = MonotonicTime::max();
    const auto now = Now();
    while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
      const auto correlation = deadlines_.begin()->second;
      deadlines_.erase(deadlines_.begin());
      const auto call = calls_.find(correlation);
      if (call->second.sent && link_ != nullptr) {
        call->second.withdrawn = true;
        link_->Withdraw(correlation);
        continue;
      }
      FinishCall(
          call,
          absl::DeadlineExceededError(fmt::format("there was no link to {} in time", peer_.Text())),
          SendProgress::kNothingWritten, results);
    }
    if (!deadlines_.empty()) {
      ArmTimer(deadlines_.begin()->first);
    } else if (link_ != nullptr && calls_.empty()) {
      const auto idle_end = last_call_ + kIdleTimeout;
      if (now < idle_end) {
        ArmTimer(idle_end);
      } else {
        ++link_number_;
        link_->Close(absl::CancelledError("the link was idle"));
        link_.reset();
        other_.reset();
      }
    }
  }
  RunAll(results);
}

auto PeerChannel::FinishCall(Calls::iterator call, absl::Status status, SendProgress progress,
                             Results& results) -> void {
  deadlines_.erase({call->second.deadline, call->first});
  waiting_bytes_ -= call->second.frame.size();
  PeerResult result;
  result.status = std::move(status);
  result.progress = progress;
  results.emplace_back(std::move(call->second.callback), std::move(result));
  calls_.erase(call);
}

/// The timer is armed anew only for an earlier deadline; a later one is set when it fires.
auto PeerChannel::ArmTimer(MonotonicTime deadline) -> void {
  if (armed_until_ <= deadline) return;
  armed_until_ = deadline;
  const auto delay = std::max(deadline - Now(), Duration::zero());
  timer_ = workers_.RunAfter(delay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->OnTimer();
  });
}

/// Callbacks must not run on the thread of the caller, which may hold a lock.
auto PeerChannel::RunLater(Results results) -> void {
  if (results.empty()) return;
  workers_.Post([results = std::move(results)] { RunAll(results); });
}

}  // namespace heatherspan
