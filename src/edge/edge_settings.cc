#include "edge/edge_settings.h"

#include "fmt/format.h"
#include "toml_table/toml_parser.h"

namespace heatherspan {
namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;
/// Seeds are asked one after another, so more seeds only lengthen the search.
constexpr std::size_t kMaxSeeds = 8;
constexpr int kReservedDescriptors = EdgeSettings::kReservedDescriptors;
constexpr const char* kZonesTable = "zones";

template <class Member>
auto Bound(Member EdgeSettings::Bounds::*member) {
  return [member](auto& settings) -> auto& { return settings.bounds.*member; };
}

auto NodeKeys() -> KeyTable<EdgeSettings> {
  return KeyTable<EdgeSettings>()
      .Add("name", &EdgeSettings::node, kRequired, Name<NodeName>(),
           "The entry VM's name; unique in the deployment.")
      .Add("zone", &EdgeSettings::zone, kRequired, Name<ZoneName>(),
           "The availability zone of the VM.")
      .Add("region", &EdgeSettings::region, kRequired, Name<RegionName>(), "The region of the VM.")
      .Add(
          "descriptors", &EdgeSettings::descriptors, kOptional,
          WholeNumber<int>(kReservedDescriptors + 3, 10'000'000),
          "Files and sockets that the process may open. Without the 200 for files, callers get two "
          "thirds, peers an eighth and at most 256, the directory a sixteenth, readiness and "
          "metrics "
          "a 128th each, and none less than 8.")
      .Add("memory_mb", &EdgeSettings::memory_mb, kOptional, WholeNumber<int>(0, 1'000'000, "MiB"),
           "Memory that the process may use. 0: the memory of the machine.")
      .Add("cpu_share", &EdgeSettings::cpu_share, kOptional, Number<double>(0.01, 1024),
           "Processor time that the process may use, in cores.")
      .Add("link_mbps", &EdgeSettings::link_mbps, kOptional, Number<double>(0, 1'000'000, "Mbit/s"),
           "Bandwidth of the machine's own link. 0: not known.");
}

auto ListenKeys() -> KeyTable<EdgeSettings> {
  return KeyTable<EdgeSettings>()
      .Add("callers", &EdgeSettings::callers, kRequired, EndpointValue(0, false),
           "Requests of callers (HTTP). Port 0 takes a free port.")
      .Add("readiness", &EdgeSettings::readiness, kRequired, EndpointValue(0, true),
           "Answers whether the process takes requests (HTTP).")
      .Add("directory", &EdgeSettings::directory, kRequired, EndpointValue(0, true),
           "Tells callers which entry VMs to use (HTTP).")
      .Add("metrics", &EdgeSettings::metrics, kRequired, EndpointValue(0, true),
           "Counters and latencies as text at /metrics (HTTP).");
}

auto PeerKeys() -> KeyTable<EdgeSettings> {
  return KeyTable<EdgeSettings>()
      .Add("listen", &EdgeSettings::peers, kOptional, EndpointValue(0, false),
           "Tells other entry VMs what the store holds (HTTP). Without it, nobody is told.")
      .Add("seeds", &EdgeSettings::seeds, kOptional, EndpointList(kMaxSeeds),
           "Entry VMs to ask at a start while the store can't be read.")
      .Add("digest_key", &EdgeSettings::digest_key, kOptional, Name<DigestKey>(),
           "Key of the digests by which entry VMs name harmful requests, the same at all of them. "
           "Who knows it can check a guess of a request against a digest in the log.");
}

auto StoreKeys() -> KeyTable<EdgeSettings> {
  return KeyTable<EdgeSettings>()
      .Add("address", &EdgeSettings::store, kRequired, EndpointValue(1, false),
           "The platform's key-value service.")
      .Add("heartbeat_s", &EdgeSettings::heartbeat, kOptional, Seconds(0.1, 60),
           "How often targets renew their registration.");
}

auto BoundsKeys() -> KeyTable<EdgeSettings> {
  using Bounds = EdgeSettings::Bounds;
  return KeyTable<EdgeSettings>()
      .Add("retry_ratio", Bound(&Bounds::retry_ratio), kOptional, Number<double>(0, 1),
           "Repeats for each request of a service, of all entry VMs together.")
      .Add("retry_window_s", Bound(&Bounds::retry_window), kOptional, Seconds(1, 600),
           "The window over which repeats are counted.")
      .Add("retry_allowance", Bound(&Bounds::retry_allowance), kOptional,
           Number<double>(0, 1'000'000),
           "Repeats in each window beside the ratio, of all entry VMs together.")
      .Add("max_shift", Bound(&Bounds::max_shift), kOptional, Number<double>(0, 1),
           "Largest change of the share of requests that leave their region, from one window of "
           "2 s to the next.")
      .Add("stop_grace_s", Bound(&Bounds::stop_grace), kOptional, Seconds(1, 600),
           "Time from SIGTERM until the process is killed.")
      .Add("drain_s", Bound(&Bounds::drain), kOptional, Seconds(1, 600),
           "Time after which a target that leaves gets no requests.")
      .Add("apply_s", Bound(&Bounds::apply), kOptional, Seconds(1, 600),
           "Time after which a configuration is in force in all entry VMs.")
      .Add("answer_lifetime_s", Bound(&Bounds::answer_lifetime), kOptional, Seconds(0.1, 600),
           "How long callers may keep a directory answer.")
      .Add("revocation_s", Bound(&Bounds::revocation), kOptional, Seconds(0, 600),
           "Time after which no request with a withdrawn access key runs. 0: no bound. Within less "
           "than 1 s, entry VMs can't be sure and refuse requests with keys.")
      .Add("quota_window_s", Bound(&Bounds::quota_window), kOptional, Seconds(1, 600),
           "The window over which the requests of a team are counted.")
      .Add("quota_overage", Bound(&Bounds::quota_overage), kOptional, Number<double>(0, 1),
           "Part of a team's quota that may be exceeded in each window.")
      .Add("quota_slack", Bound(&Bounds::quota_slack), kOptional, Number<double>(0, 1'000'000),
           "Requests by which a team's quota may be exceeded in each window, beside the part.");
}

auto LogKeys() -> KeyTable<EdgeSettings> {
  return KeyTable<EdgeSettings>()
      .Add("level", &EdgeSettings::log_level, kOptional,
           Word({"debug", "info", "warning", "error"}), "The least severe events that are logged.")
      .Add("lines_per_second", &EdgeSettings::log_lines_per_second, kOptional,
           WholeNumber<int>(1, 1'000'000),
           "Most lines per second; what is left out is counted in a line of its own.");
}

/// Reads the [zones] table. Its keys are the zone names: `ZONE = "REGION"`.
auto ReadZones(const TomlValue& root, EdgeSettings& settings, TomlErrors& faults) -> void {
  const auto* value = root.Find(kZonesTable);
  const auto* table = value == nullptr ? nullptr : std::get_if<TomlValue::Table>(&value->value);
  if (table == nullptr) {
    faults.Add(root.position,
               "zones: the table is missing; expected ZONE = \"REGION\" for each "
               "availability zone");
    return;
  }
  for (const auto& entry : *table) {
    const auto region = value_format_internal::ReadText(entry.value);
    if (!IsName(entry.key) || !region.has_value() || !IsName(*region)) {
      faults.Add(entry.key_position, fmt::format("zones: found {} = {}, expected names of a zone "
                                                 "and of its region",
                                                 entry.key, entry.value.DisplayText()));
      continue;
    }
    settings.zones[ZoneName(entry.key)] = RegionName(*region);
  }
}

}  // namespace

auto EdgeSettingsSections() -> const std::vector<EdgeSettingsSection>& {
  static const std::vector<EdgeSettingsSection> sections = {
      {"node", NodeKeys(), true},   {"listen", ListenKeys(), true},  {"store", StoreKeys(), true},
      {"peers", PeerKeys(), false}, {"bounds", BoundsKeys(), false}, {"log", LogKeys(), false},
  };
  return sections;
}

auto ReadEdgeSettings(std::string_view text, const std::string& file)
    -> absl::StatusOr<EdgeSettings> {
  EdgeSettings settings;
  TomlErrors faults(file);
  const auto root = ParseToml(text, file, faults);
  if (faults.errors().empty()) {
    std::vector<std::string> known = {kZonesTable};
    for (const auto& section : EdgeSettingsSections()) known.push_back(section.name);
    KeyTable<EdgeSettings>().Read(root, "settings", known, settings, faults);
    TomlValue empty;
    empty.value = TomlValue::Table();
    for (const auto& section : EdgeSettingsSections()) {
      const auto* value = root.Find(section.name);
      if (value == nullptr && !section.required) continue;
      section.keys.Read(value == nullptr ? empty : *value, section.name, {}, settings, faults);
    }
    ReadZones(root, settings, faults);
    faults.Sort();
  }
  if (auto status = ErrorStatus(faults.errors()); !status.ok()) return status;
  return settings;
}

}  // namespace heatherspan
