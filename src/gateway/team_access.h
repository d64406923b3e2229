#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/access_key_digest.h"
#include "gateway/route.h"
#include "gateway/team.h"
#include "gateway/traffic_policy.h"

namespace heatherspan {

/// Decides for which team a request is served, and by which rules. Load pattern: keys are withdrawn
/// from callers that stay connected, also to entry VMs that hear nothing of it. Such a VM refuses
/// what it can't be sure of in time.
class TeamAccess {
 public:
  enum class Outcome {
    kAllowed,
    kUnknownKey,    ///< No team holds the key.
    kStaleKeys,     ///< The configuration is too old to tell.
    kNoRegionLeft,  ///< The route and the team allow no common region.
    kStaleHomes,    ///< The configuration is too old to tell where the request may run.
  };
  struct Ruling {
    Outcome outcome = Outcome::kAllowed;
    std::optional<TeamName> team;  ///< That holds the key, also if the request is refused.
    Route route;                   ///< With the team's priority, and within the team's regions.
  };
  /// How old the configuration can be.
  struct Age {
    Duration heard{};   ///< Since the last answer of the store, which may have been on its way.
    Duration proved{};  ///< The configuration is certainly no older.
  };
  struct Limits {
    /// All entry VMs know of a new configuration after this time, unless they hear nothing.
    Duration apply = std::chrono::milliseconds(2500);
    /// No request that is sent later after a key was withdrawn may run; zero if that has no bound.
    Duration revocation = Duration::zero();
  };
  /// What a configuration has changed.
  struct Change {
    std::size_t teams = 0;
    std::size_t keys = 0;
    std::size_t keys_added = 0;
    std::size_t keys_withdrawn = 0;
  };

  auto SetLimits(Limits limits) -> void { limits_ = limits; }
  /// Takes over the teams of a configuration. Returns nothing if neither it nor the one before has
  /// any.
  auto Apply(const TrafficPolicy& policy) -> std::optional<Change>;
  /// Whether requests carry keys of teams.
  auto requires_keys() const -> bool { return requires_keys_; }
  /// Whether keys that are in the table may have been withdrawn too long ago.
  auto IsStale(const Age& age) const -> bool;
  auto Rule(const Route& route, std::string_view key, const Age& age) const -> Ruling;

 private:
  /// Part of the time for a withdrawal that is left for the error of the clocks, which measure
  /// differences of a few seconds only.
  static constexpr double kMargin = 0.05;

  auto RuleWithoutTeam(const Route& route, bool has_key, const Age& age) const -> Ruling;
  static auto RuleForTeam(const Route& route, const Team& team) -> Ruling;

  Limits limits_;
  bool requires_keys_ = false;
  std::vector<Team> teams_;
  absl::flat_hash_map<AccessKeyDigest, std::size_t> teams_by_key_;  ///< Indexes in teams_.
};

}  // namespace heatherspan
