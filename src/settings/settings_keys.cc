#include "settings/settings_keys.h"

namespace heatherspan {
namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

constexpr std::int64_t kKiB = 1024;
constexpr std::int64_t kMiB = 1024 * kKiB;
constexpr std::size_t kMaxSeeds = 16;

// A forged peer message needs 128 bits of work at least when the key has 32 random characters.
constexpr std::size_t kMinPeerKeyCharacters = 32;
constexpr std::size_t kMinCredentialCharacters = 16;

/// Access to a member of Settings::Limits, for reading and for writing.
template <class Member>
auto Limit(Member Settings::Limits::*member) {
  return [member](auto& settings) -> auto& { return settings.limits.*member; };
}

auto NodeKeys() -> KeyTable<Settings> {
  return KeyTable<Settings>()
      .Add("name", &Settings::node, kRequired, Name<NodeName>(),
           "The entry VM's name; unique in the environment.")
      .Add("zone", &Settings::zone, kRequired, Name<ZoneName>(),
           "The availability zone of the VM, as the document names it.");
}

auto ListenKeys() -> KeyTable<Settings> {
  return KeyTable<Settings>()
      .Add("callers", &Settings::callers, kRequired, EndpointValue(0, false),
           "Look-ups and requests (HTTP); given to callers in look-up answers. Port 0 takes a free "
           "port.")
      .Add("peers", &Settings::peers, kRequired, EndpointValue(0, false),
           "Messages between entry VMs (UDP and TCP on one port); given to the peers. Port 0 takes "
           "a free port.")
      .Add("admin", &Settings::admin, kRequired, EndpointValue(0, true),
           "Administration (HTTP). Port 0 takes a free port.");
}

auto PeersKeys() -> KeyTable<Settings> {
  return KeyTable<Settings>().Add(
      "seeds", &Settings::seeds, kOptional, EndpointList(kMaxSeeds),
      "Peers to ask for members and for the configuration at the start.");
}

auto PlatformKeys() -> KeyTable<Settings> {
  return KeyTable<Settings>()
      .Add("address", &Settings::platform, kRequired, EndpointValue(1, false),
           "The platform's key-value service and VM list (HTTP).")
      .Add("environment", &Settings::environment, kRequired, Name<EnvironmentName>(),
           "The environment whose document the node applies.");
}

auto WorkersKeys() -> KeyTable<Settings> {
  return KeyTable<Settings>().Add("threads", &Settings::threads, kOptional, WholeNumber<int>(1, 64),
                                  "Threads that serve requests.");
}

auto LimitsKeys() -> KeyTable<Settings> {
  using Limits = Settings::Limits;
  return KeyTable<Settings>()
      .Add("max_header_bytes", Limit(&Limits::max_header_bytes), kOptional,
           WholeNumber<std::int64_t>(kKiB, kMiB, "bytes"), "Largest header of a request.")
      .Add("max_body_bytes", Limit(&Limits::max_body_bytes), kOptional,
           WholeNumber<std::int64_t>(kKiB, 64 * kMiB, "bytes"),
           "Largest body of a caller's request.")
      .Add("max_connections", Limit(&Limits::max_connections), kOptional,
           WholeNumber<int>(10, 1'000'000), "Most connections of callers at one time.")
      .Add("max_response_bytes", Limit(&Limits::max_response_bytes), kOptional,
           WholeNumber<std::int64_t>(kKiB, 64 * kMiB, "bytes"),
           "Largest response of a target; a larger one is an error.")
      .Add("request_timeout_ms", Limit(&Limits::request_timeout), kOptional,
           Milliseconds(100, 60000),
           "Longest time to read a request's header, and in which nothing of its body comes.")
      .Add("ticket_records", Limit(&Limits::ticket_records), kOptional,
           WholeNumber<int>(100, 10'000'000),
           "Most tickets whose results are kept; beyond it, tickets are refused as not run.");
}

auto LogKeys() -> KeyTable<Settings> {
  return KeyTable<Settings>().Add("level", &Settings::log_level, kOptional,
                                  Word({"debug", "info", "warning", "error"}),
                                  "The least severe events that are logged.");
}

auto DrainKeys() -> KeyTable<Settings> {
  return KeyTable<Settings>().Add(
      "linger_ms", &Settings::drain_linger, kOptional, Milliseconds(0, 120000),
      "How long a leaving node continues to serve before it refuses new work. At least the look-up "
      "lifetime, so that no caller still uses an answer that lists the node.");
}

}  // namespace

auto SettingsSections() -> const std::vector<SettingsSection>& {
  static const std::vector<SettingsSection> sections = {
      {"node", NodeKeys(), true},        {"listen", ListenKeys(), true},
      {"peers", PeersKeys(), false},     {"platform", PlatformKeys(), true},
      {"workers", WorkersKeys(), false}, {"limits", LimitsKeys(), false},
      {"log", LogKeys(), false},         {"drain", DrainKeys(), false},
  };
  return sections;
}

auto SettingsSecrets() -> const std::vector<SettingsSecret>& {
  static const std::vector<SettingsSecret> secrets = {
      {"HEATHERSPAN_PEER_KEY", kMinPeerKeyCharacters, &Settings::peer_key,
       "The key that authenticates messages between entry VMs; the same on all of them."},
      {"HEATHERSPAN_ADMIN_CREDENTIAL", kMinCredentialCharacters, &Settings::admin_credential,
       "The bearer credential of the administration interface."},
  };
  return secrets;
}

}  // namespace heatherspan
