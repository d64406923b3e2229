#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/time.h"

namespace heatherspan {

/// When which party was disturbed. Promises with a time bound hold only for parties that have been
/// undisturbed for a while.
class TroubleLog {
 public:
  enum class Kind {
    kPlanned,  ///< An orderly stop, a start, a reload.
    kUnplanned,
  };

  /// `party` is the name of a gateway or target, or kStore.
  static constexpr const char* kStore = "store";

  auto Add(const std::string& party, Kind kind, MonotonicTime begin, MonotonicTime end) -> void;
  /// No disturbance of the party touches the span.
  auto IsCalm(const std::string& party, MonotonicTime begin, MonotonicTime end) const -> bool;
  /// The same, but orderly stops, starts and reloads don't count.
  auto HasOnlyPlanned(const std::string& party, MonotonicTime begin, MonotonicTime end) const
      -> bool;

 private:
  struct Span {
    Kind kind;
    MonotonicTime begin;
    MonotonicTime end;
  };

  std::map<std::string, std::vector<Span>> spans_;
};

}  // namespace heatherspan
