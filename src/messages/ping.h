#pragma once

#include <cstdint>
#include <vector>

#include "messages/config_digest.h"
#include "messages/member_update.h"
#include "messages/node_load.h"

namespace heatherspan {

/// A liveness probe with piggybacked membership updates.
struct Ping {
  std::uint64_t sequence = 0;
  std::vector<MemberUpdate> updates;
  ConfigDigest config;
  NodeLoad load;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sequence, updates, config, load);
  }
};

}  // namespace heatherspan
