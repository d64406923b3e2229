#pragma once

#include <cstdint>
#include <vector>

#include "base/ids.h"
#include "messages/config_digest.h"
#include "messages/member_update.h"
#include "messages/node_load.h"

namespace heatherspan {

/// The answer to a ping. For an indirect probe it names the probed instance.
struct Ack {
  std::uint64_t sequence = 0;
  InstanceId subject;
  std::vector<MemberUpdate> updates;
  ConfigDigest config;
  NodeLoad load;

  template <class Archive>
  auto serialize(Archive& archive) -> void {
    archive(sequence, subject, updates, config, load);
  }
};

}  // namespace heatherspan
