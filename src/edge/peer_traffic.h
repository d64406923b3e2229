#pragma once

#include <cstddef>

#include "absl/status/status.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// Counts what this node and its peers tell each other of the store.
class PeerTraffic {
 public:
  enum class Kind { kChanges, kListing };

  explicit PeerTraffic(MetricsRegistry& metrics) : metrics_(metrics) {}

  auto OnGiven(Kind kind, std::size_t bytes) -> void { Record(kind, "given", bytes); }
  auto OnTaken(Kind kind, std::size_t bytes) -> void { Record(kind, "taken", bytes); }
  auto OnAnswered() -> void { RecordResult("answered"); }
  auto OnFailure(const absl::Status& status) -> void {
    if (absl::IsDeadlineExceeded(status)) {
      RecordResult("given-up");
    } else if (absl::IsOutOfRange(status)) {
      RecordResult("no-history");
    } else {
      RecordResult("unanswered");
    }
  }

 private:
  auto Record(Kind kind, const char* direction, std::size_t bytes) -> void {
    metrics_.Increment(
        Metric::kPeerStateBytes,
        {{"kind", kind == Kind::kChanges ? "changes" : "listing"}, {"direction", direction}},
        static_cast<double>(bytes));
  }
  auto RecordResult(const char* result) -> void {
    metrics_.Increment(Metric::kPeerQuestions, {{"result", result}});
  }

  MetricsRegistry& metrics_;
};

}  // namespace heatherspan
