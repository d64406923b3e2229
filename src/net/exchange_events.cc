#include "net/exchange_events.h"

#include <algorithm>
#include <string_view>

namespace heatherspan {
namespace {

auto EventText(ExchangeEvent event) -> std::string_view {
  switch (event) {
    case ExchangeEvent::kWrite:
      return "write";
    case ExchangeEvent::kWriteFailed:
      return "write-failed";
    case ExchangeEvent::kReconnect:
      return "reconnect";
    case ExchangeEvent::kOtherAnswer:
      return "other-answer";
    case ExchangeEvent::kAnswer:
      return "answer";
    case ExchangeEvent::kRefused:
      return "refused";
    case ExchangeEvent::kClose:
      return "close";
    case ExchangeEvent::kReset:
      return "reset";
    case ExchangeEvent::kDeadline:
      return "deadline";
    case ExchangeEvent::kCancel:
      return "cancel";
    case ExchangeEvent::kFailure:
      return "failure";
  }
  return "failure";
}

}  // namespace

auto ExchangeEvents::Add(ExchangeEvent event) -> void {
  if (size_ == kCapacity || (size_ > 0 && events_[size_ - 1] == event)) return;
  events_[size_++] = event;
}

auto ExchangeEvents::Contains(ExchangeEvent event) const -> bool {
  return std::find(events_.begin(), events_.begin() + size_, event) != events_.begin() + size_;
}

auto ExchangeEvents::Text() const -> std::string {
  std::string text;
  for (std::size_t i = 0; i < size_; ++i) {
    if (i > 0) text += ',';
    text += EventText(events_[i]);
  }
  return text;
}

}  // namespace heatherspan
