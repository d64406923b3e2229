#include "fake_store.h"

#include <utility>

namespace heatherspan {
namespace {

auto Down() -> absl::Status { return absl::UnavailableError("the store is down"); }

}  // namespace

auto FakeStore::Read(const std::string& key) -> absl::StatusOr<std::optional<StoredValue>> {
  if (down) return Down();
  const auto found = values_.find(key);
  if (found == values_.end()) return std::optional<StoredValue>();
  return std::optional<StoredValue>(found->second);
}

auto FakeStore::Write(const std::string& key, const std::string& value, std::uint64_t revision,
                      const std::optional<StoreLeaseId>& /*lease*/) -> StoreWriteResult {
  if (const auto hook = std::exchange(before_write, nullptr)) hook();
  if (down) return {WriteEffect::kNoEffect, 0, Down()};
  const auto found = values_.find(key);
  const auto present = found == values_.end() ? 0 : found->second.revision;
  const bool lost = (responses_to_lose > 0 && key.find(lose_key_part) != std::string::npos) ||
                    std::uniform_real_distribution<>(0, 1)(random) < response_loss;
  const StoreWriteResult lost_response{WriteEffect::kUnknown, 0,
                                       absl::UnknownError("response lost")};
  if (lost && responses_to_lose > 0) --responses_to_lose;
  if (lost && down_after_lost_response) down = true;
  if (present != revision) {
    return lost ? lost_response
                : StoreWriteResult{WriteEffect::kConflict, present,
                                   absl::FailedPreconditionError("the key has another revision")};
  }
  ++writes;
  if (found != values_.end()) replaced_[key] = found->second;
  values_[key] = StoredValue{value, ++revision_};
  return lost ? lost_response : StoreWriteResult{WriteEffect::kTookEffect, revision_, {}};
}

auto FakeStore::Wait(const std::string& key, std::uint64_t revision, Duration /*wait*/)
    -> absl::StatusOr<std::optional<StoredValue>> {
  if (stale_watches && !down && replaced_.contains(key)) return std::optional(replaced_.at(key));
  auto value = Read(key);
  const bool same = value.ok() && value->has_value() && (*value)->revision == revision;
  if (same) return std::optional<StoredValue>();
  return value;
}

auto FakeStore::GrantLease(Duration /*ttl*/) const -> absl::StatusOr<StoreLeaseId> {
  if (down) return Down();
  return StoreLeaseId(1);
}

auto FakeStore::KeepAlive(StoreLeaseId /*lease*/) const -> absl::Status {
  return down ? Down() : absl::OkStatus();
}

}  // namespace heatherspan
