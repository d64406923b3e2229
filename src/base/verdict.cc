#include "base/verdict.h"

namespace heatherspan {

auto VerdictText(Verdict verdict) -> std::string_view {
  switch (verdict) {
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kMayHaveRun:
      return "may-have-run";
    case Verdict::kRan:
      return "ran";
  }
  return "may-have-run";
}

auto ParseVerdict(std::string_view text) -> std::optional<Verdict> {
  for (const auto verdict : {Verdict::kNotRun, Verdict::kMayHaveRun, Verdict::kRan}) {
    if (VerdictText(verdict) == text) return verdict;
  }
  return std::nullopt;
}

}  // namespace heatherspan
