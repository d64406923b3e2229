#include "soak/trouble_log.h"

#include <algorithm>

namespace heatherspan {

auto TroubleLog::Add(const std::string& party, Kind kind, MonotonicTime begin, MonotonicTime end)
    -> void {
  spans_[party].push_back({kind, begin, end});
}

auto TroubleLog::IsCalm(const std::string& party, MonotonicTime begin, MonotonicTime end) const
    -> bool {
  const auto spans = spans_.find(party);
  return spans == spans_.end() ||
         std::none_of(spans->second.begin(), spans->second.end(),
                      [&](const Span& span) { return span.begin <= end && span.end >= begin; });
}

auto TroubleLog::HasOnlyPlanned(const std::string& party, MonotonicTime begin,
                                MonotonicTime end) const -> bool {
  const auto spans = spans_.find(party);
  return spans == spans_.end() ||
         std::none_of(spans->second.begin(), spans->second.end(), [&](const Span& span) {
           return span.kind == Kind::kUnplanned && span.begin <= end && span.end >= begin;
         });
}

}  // namespace heatherspan
