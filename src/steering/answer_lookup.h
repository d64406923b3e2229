#pragma once

#include "base/random.h"
#include "steering/lookup_answer.h"
#include "steering/lookup_query.h"
#include "steering/steering_view.h"

namespace heatherspan {

/// Answers a look-up: the entry VMs of the client's zone, of its region, then of other regions. The
/// order among equals is rendezvous hashing of (client block, instance); only the lifetime is
/// random. Doesn't allocate.
auto AnswerLookup(const SteeringView& view, const LookupQuery& query, Random& random)
    -> LookupAnswer;

}  // namespace heatherspan
