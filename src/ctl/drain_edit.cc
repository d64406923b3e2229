#include "ctl/drain_edit.h"

#include <algorithm>

namespace heatherspan {

auto AddDrain(Document& document, const Drain& drain) -> bool {
  const bool present =
      std::any_of(document.drains.begin(), document.drains.end(), [&drain](const Drain& other) {
        return other.scope == drain.scope && other.name == drain.name;
      });
  if (!present) document.drains.push_back(drain);
  return !present;
}

auto RemoveDrain(Document& document, DrainScope scope, const std::string& name) -> bool {
  return std::erase_if(document.drains, [&](const Drain& drain) {
           return drain.scope == scope && drain.name == name;
         }) > 0;
}

}  // namespace heatherspan
