#include "gateway/store_contact.h"

#include <algorithm>

namespace heatherspan {

auto StoreContact::OnSpan(MonotonicTime since, MonotonicTime until) -> void {
  since = std::min(since, until);
  if (until <= until_) {
    if (since_ - until <= Gap()) since_ = std::min(since_, since);
    return;
  }
  if (until_ == kNever) {
    since_ = since;
  } else if (since <= until_) {
    since_ = std::min(since_, since);
  } else if (since - until_ > Gap()) {
    since_ = since;
    outage_seen_ = true;
  }
  until_ = until;
  unanswered_ = false;
}

auto StoreContact::Reset() -> void {
  since_ = kNever;
  until_ = kNever;
  outage_seen_ = true;
}

auto StoreContact::OnRestored(MonotonicTime at) -> void {
  since_ = at;
  until_ = at;
  unanswered_ = false;
  outage_seen_ = true;
}

auto StoreContact::RemovalsInDoubt() const -> bool {
  return outage_seen_ && until_ - since_ < kReregistrationTime;
}

}  // namespace heatherspan
