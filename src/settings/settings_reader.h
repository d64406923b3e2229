#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "settings/settings.h"
#include "toml_table/toml_error.h"

namespace heatherspan {

/// Looks up an environment variable; empty when it is not set.
using EnvironmentLookup = std::function<std::optional<std::string>(const std::string& variable)>;

/// The environment of this process.
auto ProcessEnvironment() -> EnvironmentLookup;

/// Reads a settings file, and the secrets from the environment. The error has one line for each
/// fault and never contains a secret.
auto ReadSettings(std::string_view text, const std::string& file,
                  const EnvironmentLookup& environment) -> absl::StatusOr<Settings>;

}  // namespace heatherspan
