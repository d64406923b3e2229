#pragma once

#include "document/document.h"

namespace heatherspan {

/// Adds a drain unless the same scope and name is drained already. Returns whether it was added.
auto AddDrain(Document& document, const Drain& drain) -> bool;

/// Removes the drain of a scope and name. Returns whether there was one.
auto RemoveDrain(Document& document, DrainScope scope, const std::string& name) -> bool;

}  // namespace heatherspan
