#pragma once

#include <string>
#include <vector>

#include "settings/settings.h"
#include "toml_table/key_table.h"

namespace heatherspan {

/// One table of a settings file.
struct SettingsSection {
  std::string name;
  KeyTable<Settings> keys;
  bool required = false;
};

/// A secret that is read from an environment variable.
struct SettingsSecret {
  std::string variable;
  std::size_t min_characters;
  std::string Settings::*member;
  std::string meaning;
};

auto SettingsSections() -> const std::vector<SettingsSection>&;
auto SettingsSecrets() -> const std::vector<SettingsSecret>&;

}  // namespace heatherspan
