#pragma once

#include "base/random.h"
#include "steering/lookup_answer.h"
#include "steering/lookup_query.h"
#include "steering/steering_view.h"

namespace heatherspan {

/// Answers a look-up with the entry VMs of the client's zone, then of its region, then of other
/// regions. Rendezvous hashing of (client block, instance) orders equally good nodes; only the
/// lifetime is random. Doesn't allocate.
auto AnswerLookup(const SteeringView& view, const LookupQuery& query, Random& random)
    -> LookupAnswer;

}  // namespace heatherspan
