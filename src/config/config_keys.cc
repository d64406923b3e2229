#include "config/config_keys.h"

#include "fmt/format.h"

namespace heatherspan {

ConfigKeys::ConfigKeys(const EnvironmentName& environment)
    : prefix_(fmt::format("hs/{}/", environment.value())) {}

auto ConfigKeys::Trial() const -> std::string { return prefix_ + "manifest/trial"; }

auto ConfigKeys::Production() const -> std::string { return prefix_ + "manifest/production"; }

auto ConfigKeys::Chunk(const std::string& hash) const -> std::string {
  return prefix_ + "chunk/" + hash;
}

auto ConfigKeys::History(ConfigVersion version) const -> std::string {
  return fmt::format("{}history/{:020}", prefix_, version.value());
}

}  // namespace heatherspan
