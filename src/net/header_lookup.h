#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "messages/header_field.h"

namespace heatherspan {

/// Compares header names: ASCII without case.
auto EqualHeaderNames(std::string_view a, std::string_view b) -> bool;

/// The value of the first field of that name; empty if there is none.
auto FindHeader(const std::vector<HeaderField>& headers, std::string_view name) -> std::string_view;

/// The memory that the fields take.
auto MemoryOf(const std::vector<HeaderField>& headers) -> std::size_t;

}  // namespace heatherspan
