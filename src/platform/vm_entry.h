#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

namespace heatherspan {

/// A VM as the platform lists it. The list lags: "leaving" can be trusted, absence is a hint, and
/// presence proves nothing.
struct VmEntry {
  enum class Role { kEntry, kTarget };
  enum class State { kLive, kLeaving };

  std::string name;  ///< Of the entry VM or the target.
  ZoneName zone;
  Role role = Role::kEntry;
  State state = State::kLive;
  Endpoint endpoint;  ///< An entry VM's peer endpoint or a target's endpoint.

  friend auto operator==(const VmEntry&, const VmEntry&) -> bool = default;
};

}  // namespace heatherspan
