#pragma once

namespace heatherspan {

/// Which other requests of this node a request may meet at its target.
enum class Apartness {
  kNone,       ///< Any but those that require to be apart.
  kPreferred,  ///< None that is apart, if there is a target without.
  kRequired,   ///< None: it may end its target.
};

}  // namespace heatherspan
