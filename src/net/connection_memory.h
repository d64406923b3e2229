#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "net/memory_account.h"

namespace heatherspan {

/// What one connection of a server takes of the account: its buffer, the body that arrives, and the
/// answer that is written.
class ConnectionMemory {
 public:
  /// The functions are called as that of an ArrivingBody: if the body that arrives, or the answer
  /// that is written, has to be given up.
  ConnectionMemory(std::shared_ptr<MemoryAccount> account, std::size_t buffer_bytes,
                   std::function<void()> give_up_request, std::function<void()> give_up_answer);

  auto account() const -> const std::shared_ptr<MemoryAccount>& { return account_; }

  /// Counts another size of the buffer. Returns false, without a change, if there is no room.
  auto TryResizeBuffer(std::size_t bytes) -> bool;

  /// A part of a request has come; `announced`: see ArrivingBody. Returns whether there is
  /// room for it.
  auto OnRequestBytes(std::size_t received, std::size_t announced) -> bool;
  /// The request is complete. Returns what it takes from now on; nothing if there is no room for
  /// it.
  auto HoldRequest(std::size_t bytes) -> std::optional<HeldMemory>;
  auto request_gave_way() const -> bool { return request_.has_value() && request_->gave_way(); }
  auto DropRequest() -> void { request_.reset(); }

  /// A large answer is about to be written. Returns false if there is no room for it.
  auto BeginAnswer(std::size_t bytes) -> bool;
  auto OnAnswerBytes(std::size_t written) -> void;
  /// So much waits behind the answer that is written. Returns false if there is no room for it.
  auto HoldQueue(std::size_t bytes) -> bool;
  auto answer_gave_way() const -> bool {
    return (answer_.has_value() && answer_->gave_way()) ||
           (queue_.has_value() && queue_->gave_way());
  }
  auto EndAnswer() -> void { answer_.reset(); }

 private:
  const std::shared_ptr<MemoryAccount> account_;
  const std::function<void()> give_up_request_;
  const std::function<void()> give_up_answer_;
  HeldMemory buffer_;
  std::optional<ArrivingBody> request_;  ///< The request of which only a part has come.
  std::optional<ArrivingBody> answer_;   ///< The account treats it as a body that arrives.
  std::size_t answer_bytes_ = 0;
  std::optional<ArrivingBody> queue_;  ///< Answers that wait, as one body.
};

}  // namespace heatherspan
