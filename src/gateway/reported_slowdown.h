#pragma once

#include "base/time.h"

namespace heatherspan {

/// How much longer than usual work takes at one target at present, by the target's own reports.
/// Load pattern: targets share their machines with others and become slow for a fraction of a
/// second, many times a minute. A report therefore counts for a short time only, and as far as this
/// node's own measurements have borne out earlier ones.
class ReportedSlowdown {
 public:
  /// Bounds what one report can do: a false one must not empty a target.
  static constexpr double kMax = 4;
  /// A smaller slowdown can't be told from the usual spread of processing times.
  static constexpr double kMin = 1.2;

  /// Returns the slowdown that counts for a report. No target counts as faster than usual.
  static auto Bounded(double slowdown) -> double;

  auto OnReport(double slowdown, MonotonicTime now) -> void;
  /// Whether an attempt took as long as its report of a slowdown says.
  auto OnCompared(bool borne_out) -> void;

  /// Returns the expected slowdown of a request that the target starts at the given time.
  auto At(MonotonicTime start) const -> double;
  /// Returns how long work takes that would usually take the given time, from `now` on.
  auto Stretch(Duration usual, MonotonicTime now) const -> Duration;

 private:
  static constexpr double kInitialTrust = 0.7;

  double reported_ = 1;
  MonotonicTime reported_at_{};
  double trust_ = kInitialTrust;  ///< Fraction of the reports that measurements have borne out.
};

}  // namespace heatherspan
