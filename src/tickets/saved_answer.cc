#include "tickets/saved_answer.h"

namespace heatherspan {

auto SavedAnswer::Size() const -> std::size_t {
  std::size_t size = sizeof(SavedAnswer) + body.size();
  for (const auto& [name, value] : headers) size += sizeof(headers[0]) + name.size() + value.size();
  return size;
}

}  // namespace heatherspan
