#include "caps/cap_history.h"

#include <algorithm>
#include <limits>

#include "caps/share_lease.h"

namespace heatherspan {
namespace {

// If the cap changes more often than this within kVersionOverlap, the oldest entries are merged.
constexpr std::size_t kMaxHistoryEntries = 16;

}  // namespace

auto CapHistory::Apply(const CapConfig& config, Duration age, MonotonicTime now) -> void {
  if (!entries_.empty() && config.version <= version_) return;
  const Entry next{config.version, config.BaseShare().value(), config.LeasedPart().value(), {}};
  const bool is_settled = config.version <= ConfigVersion(1) || age >= kSettledAge;
  if (entries_.empty() && !is_settled) entries_.push_back(Entry{ConfigVersion(0), 0, 0, {}});
  version_ = config.version;
  const bool same_shares = !entries_.empty() && entries_.back().base_share == next.base_share &&
                           entries_.back().leased_part == next.leased_part;
  if (!same_shares) Push(next, now);
}

auto CapHistory::Push(const Entry& entry, MonotonicTime now) -> void {
  if (!entries_.empty()) entries_.back().replaced_time = now;
  entries_.push_back(entry);
  while (!MayBeInForce(0, now)) entries_.pop_front();
  if (entries_.size() <= kMaxHistoryEntries) return;
  // The merged entry has the smaller shares of both and expires with the later one.
  entries_[1].first_version = entries_[0].first_version;
  entries_[1].base_share = std::min(entries_[0].base_share, entries_[1].base_share);
  entries_[1].leased_part = std::min(entries_[0].leased_part, entries_[1].leased_part);
  entries_.pop_front();
}

auto CapHistory::MayBeInForce(std::size_t index, MonotonicTime now) const -> bool {
  return index + 1 == entries_.size() || now - entries_[index].replaced_time <= kVersionOverlap;
}

auto CapHistory::BaseShare(MonotonicTime now) const -> RequestsPerSecond {
  if (entries_.empty()) return RequestsPerSecond(0);
  auto smallest = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (MayBeInForce(i, now)) smallest = std::min(smallest, entries_[i].base_share);
  }
  return RequestsPerSecond(smallest);
}

auto CapHistory::LeasedPart(MonotonicTime now) const -> RequestsPerSecond {
  if (entries_.empty()) return RequestsPerSecond(0);
  auto smallest = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (MayBeInForce(i, now)) smallest = std::min(smallest, entries_[i].leased_part);
  }
  return RequestsPerSecond(smallest);
}

auto CapHistory::Accepts(ConfigVersion version, MonotonicTime now) -> bool {
  if (entries_.empty()) return false;
  if (version > version_) {
    if (newest_granted_version_ <= version_) newer_version_seen_time_ = now;
    newest_granted_version_ = std::max(newest_granted_version_, version);
    return now - newer_version_seen_time_ <= kVersionOverlap;
  }
  for (auto i = entries_.size(); i > 0; --i) {
    if (entries_[i - 1].first_version <= version) return MayBeInForce(i - 1, now);
  }
  return false;
}

}  // namespace heatherspan
