#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"

namespace heatherspan {

/// A point in time of one process, which only that process can read.
struct QuotaStamp {
  InstanceId instance = InstanceId(0);
  MonotonicTime time{};

  friend auto operator==(const QuotaStamp&, const QuotaStamp&) -> bool = default;
};

/// A message from an entry VM to the keeper of the quotas.
struct QuotaAsk {
  static constexpr std::size_t kMaxTeams = 4096;
  static constexpr int kMaxTokens = 1'000'000;

  struct Item {
    TeamName team;
    int returned = 0;  ///< Tokens that will not be used.
    int renewed = 0;   ///< Tokens that are to be usable for longer.
    int needed = 0;    ///< Tokens for requests that wait.
    int ahead = 0;     ///< Tokens for requests that are expected.
  };

  NodeName node;
  std::optional<QuotaStamp> stamp;  ///< Of the keeper's last answer.
  double fraction = 0;              ///< Of every quota, lent for a time from the stamp on.
  std::vector<Item> teams;
};

/// The keeper's answer, with one item for each of the ask, in the same order.
struct QuotaAnswer {
  struct Item {
    int granted = 0;         ///< Beside those that are renewed.
    bool renewed = false;    ///< All that were to be.
    Duration retry_after{};  ///< Until there may be more, if some are missing.
  };

  QuotaStamp stamp;
  Duration token_life{};  ///< From the time at which the ask was sent.
  std::vector<Item> teams;
};

}  // namespace heatherspan
