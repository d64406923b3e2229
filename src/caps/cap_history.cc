#include "caps/cap_history.h"

#include <algorithm>
#include <limits>

#include "caps/share_lease.h"

namespace heatherspan {
namespace {

// Changes of the cap within one overlap that are kept apart; further ones are merged.
constexpr std::size_t kMaxEntries = 16;

}  // namespace

auto CapHistory::Apply(const CapTerms& terms, Duration age, MonotonicTime now) -> void {
  if (!entries_.empty() && terms.version <= version_) return;
  const Entry next{terms.version, terms.BaseShare().value(), terms.LeasedPart().value(), {}};
  const bool settled = terms.version <= ConfigVersion(1) || age >= kSettledAge;
  if (entries_.empty() && !settled) entries_.push_back(Entry{ConfigVersion(0), 0, 0, {}});
  version_ = terms.version;
  const bool same = !entries_.empty() && entries_.back().base == next.base &&
                    entries_.back().leased == next.leased;
  if (!same) Push(next, now);
}

auto CapHistory::Push(const Entry& entry, MonotonicTime now) -> void {
  if (!entries_.empty()) entries_.back().replaced = now;
  entries_.push_back(entry);
  while (!Counts(0, now)) entries_.pop_front();
  if (entries_.size() <= kMaxEntries) return;
  // The merged entry gives the smaller shares and counts for as long as the later of the two.
  entries_[1].first = entries_[0].first;
  entries_[1].base = std::min(entries_[0].base, entries_[1].base);
  entries_[1].leased = std::min(entries_[0].leased, entries_[1].leased);
  entries_.pop_front();
}

auto CapHistory::Counts(std::size_t index, MonotonicTime now) const -> bool {
  return index + 1 == entries_.size() || now - entries_[index].replaced <= kVersionOverlap;
}

auto CapHistory::BaseShare(MonotonicTime now) const -> RequestsPerSecond {
  if (entries_.empty()) return RequestsPerSecond(0);
  auto least = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (Counts(i, now)) least = std::min(least, entries_[i].base);
  }
  return RequestsPerSecond(least);
}

auto CapHistory::LeasedPart(MonotonicTime now) const -> RequestsPerSecond {
  if (entries_.empty()) return RequestsPerSecond(0);
  auto least = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    if (Counts(i, now)) least = std::min(least, entries_[i].leased);
  }
  return RequestsPerSecond(least);
}

auto CapHistory::Accepts(ConfigVersion version, MonotonicTime now) -> bool {
  if (entries_.empty()) return false;
  if (version > version_) {
    if (newer_version_ <= version_) newer_since_ = now;
    newer_version_ = std::max(newer_version_, version);
    return now - newer_since_ <= kVersionOverlap;
  }
  for (auto i = entries_.size(); i > 0; --i) {
    if (entries_[i - 1].first <= version) return Counts(i - 1, now);
  }
  return false;
}

}  // namespace heatherspan
