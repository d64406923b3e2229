#pragma once

#include <cstdint>

namespace heatherspan {

/// The state of an entry VM as its peers see it. For one instance and incarnation, the greater
/// value wins.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kSuspected = 1,
  kLeaving = 2,
  kDead = 3,
};

}  // namespace heatherspan
