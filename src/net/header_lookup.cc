#include "net/header_lookup.h"

#include <algorithm>

#include "net/http_request.h"
#include "net/http_response.h"

namespace heatherspan {
namespace {

auto Lower(char c) -> char { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

}  // namespace

auto EqualHeaderNames(std::string_view a, std::string_view b) -> bool {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

auto FindHeader(const std::vector<HeaderField>& headers, std::string_view name)
    -> std::string_view {
  for (const auto& field : headers) {
    if (EqualHeaderNames(field.name, name)) return field.value;
  }
  return {};
}

auto MemoryOf(const std::vector<HeaderField>& headers) -> std::size_t {
  static const auto in_place = std::string().capacity();
  auto bytes = headers.capacity() * sizeof(HeaderField);
  for (const auto& field : headers) {
    for (const auto* text : {&field.name, &field.value}) {
      if (text->capacity() > in_place) bytes += text->capacity();
    }
  }
  return bytes;
}

auto HttpRequest::Header(std::string_view name) const -> std::string_view {
  return FindHeader(headers, name);
}

auto HttpResponse::Header(std::string_view name) const -> std::string_view {
  return FindHeader(headers, name);
}

}  // namespace heatherspan
