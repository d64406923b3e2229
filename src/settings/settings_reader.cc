#include "settings/settings_reader.h"

#include <cstdlib>

#include "fmt/format.h"
#include "settings/settings_keys.h"
#include "toml_table/toml_parser.h"

namespace heatherspan {
namespace {

auto ReadUnknownTables(const TomlValue& root, TomlErrors& faults) -> void {
  std::vector<std::string> known;
  for (const auto& section : SettingsSections()) known.push_back(section.name);
  // A table without keys of its own reports whatever is not a known section.
  Settings unused;
  KeyTable<Settings>().Read(root, "settings", known, unused, faults);
}

auto ReadSections(const TomlValue& root, Settings& settings, TomlErrors& faults) -> void {
  TomlValue empty;
  empty.value = TomlValue::Table();
  for (const auto& section : SettingsSections()) {
    const auto* value = root.Find(section.name);
    if (value != nullptr) {
      section.keys.Read(*value, section.name, {}, settings, faults);
    } else if (section.required) {
      section.keys.Read(empty, section.name, {}, settings, faults);
    }
  }
}

/// Listeners on fixed ports must differ; port 0 takes a free one.
auto CheckListeners(const TomlValue& root, const Settings& settings, TomlErrors& faults) -> void {
  const auto check = [&](const char* key, const Endpoint& endpoint, const char* other_key,
                         const Endpoint& other) {
    if (endpoint.port == 0 || endpoint != other) return;
    const auto* value = root.Find("listen")->Find(key);
    faults.Add(value->position, fmt::format("{}: found {}, which is also the value of \"{}\"", key,
                                            value->DisplayText(), other_key));
  };
  check("peers", settings.peers, "callers", settings.callers);
  check("admin", settings.admin, "callers", settings.callers);
  check("admin", settings.admin, "peers", settings.peers);
}

auto ReadSecrets(const EnvironmentLookup& environment, Settings& settings)
    -> std::vector<std::string> {
  std::vector<std::string> messages;
  for (const auto& secret : SettingsSecrets()) {
    auto value = environment(secret.variable);
    if (!value.has_value()) {
      messages.push_back(
          fmt::format("{}: the environment variable is not set; expected at least {} "
                      "characters",
                      secret.variable, secret.min_characters));
    } else if (value->size() < secret.min_characters) {
      messages.push_back(fmt::format("{}: the value has {} characters; expected at least {}",
                                     secret.variable, value->size(), secret.min_characters));
    } else {
      settings.*secret.member = std::move(*value);
    }
  }
  return messages;
}

}  // namespace

auto ProcessEnvironment() -> EnvironmentLookup {
  return [](const std::string& variable) -> std::optional<std::string> {
    const char* value = std::getenv(variable.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
  };
}

auto ReadSettings(std::string_view text, const std::string& file,
                  const EnvironmentLookup& environment) -> absl::StatusOr<Settings> {
  Settings settings;
  TomlErrors faults(file);
  const auto root = ParseToml(text, file, faults);
  if (faults.errors().empty()) {
    ReadUnknownTables(root, faults);
    ReadSections(root, settings, faults);
    CheckListeners(root, settings, faults);
    faults.Sort();
  }
  std::string message(ErrorStatus(faults.errors()).message());
  for (const auto& line : ReadSecrets(environment, settings)) {
    message += message.empty() ? line : "\n" + line;
  }
  if (!message.empty()) return absl::InvalidArgumentError(message);
  return settings;
}

}  // namespace heatherspan
