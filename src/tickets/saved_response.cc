#include "tickets/saved_response.h"

namespace heatherspan {

auto SavedResponse::Size() const -> std::size_t {
  std::size_t size = sizeof(SavedResponse) + body.size();
  for (const auto& [name, value] : headers) size += sizeof(headers[0]) + name.size() + value.size();
  return size;
}

}  // namespace heatherspan
