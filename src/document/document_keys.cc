#include "document/document_keys.h"

namespace heatherspan {
namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

constexpr double kMaxOneWayMs = 1000;
constexpr std::size_t kMaxReasonBytes = 200;
constexpr std::int64_t kMaxResponseBytes = std::int64_t{64} * 1024 * 1024;

}  // namespace

auto DocumentKeys() -> const KeyTable<Document>& {
  static const auto keys =
      KeyTable<Document>()
          .Add("environment", &Document::environment, kRequired, Name<EnvironmentName>(),
               "The environment that the document describes.")
          .Add("base_fraction", &Document::base_fraction, kOptional, Number<double>(0, 1),
               "The part of each cap that is divided into base shares, which entry VMs may use "
               "without coordination.")
          .Add("lookup_lifetime_ms", &Document::lookup_lifetime, kOptional,
               Milliseconds(1000, 30000),
               "How long callers may use a look-up answer. An entry VM that leaves serves for that "
               "long.");
  return keys;
}

auto ObjectivesKeys() -> const KeyTable<Objectives>& {
  static const auto keys =
      KeyTable<Objectives>()
          .Add("latency_weight", &Objectives::latency_weight, kOptional, Number<double>(0, 1),
               "How much latency counts in the choice of a zone.")
          .Add("headroom_weight", &Objectives::headroom_weight, kOptional, Number<double>(0, 1),
               "How much headroom counts in the choice of a zone.");
  return keys;
}

auto RegionKeys() -> const KeyTable<Region>& {
  static const auto keys =
      KeyTable<Region>()
          .Add("name", &Region::name, kRequired, Name<RegionName>(), "Unique among regions.")
          .Add("cap_rps", &Region::cap, kRequired, Number<RequestsPerSecond>(1, 1e6, "requests/s"),
               "Most requests admitted to the region's targets.");
  return keys;
}

auto ZoneKeys() -> const KeyTable<Zone>& {
  static const auto keys =
      KeyTable<Zone>()
          .Add("name", &Zone::name, kRequired, Name<ZoneName>(),
               "Unique among the zones of all regions.")
          .Add("entry_vms_max", &Zone::entry_vms_max, kOptional, WholeNumber<int>(1, 64),
               "Most entry VMs that have a base share at one time. One more than the usual number "
               "lets a replacement start before the old one is gone.");
  return keys;
}

auto LinkKeys() -> const KeyTable<Link>& {
  using Pair = std::pair<RegionName, RegionName>;
  const auto get = [](const Link& link) { return Pair(link.a, link.b); };
  const auto set = [](Link& link, Pair pair) { std::tie(link.a, link.b) = std::move(pair); };
  static const auto keys =
      KeyTable<Link>()
          .AddComputed<Pair>("between", get, set, kRequired, NamePair<RegionName>(),
                             "The two regions. Every pair of regions needs a link.")
          .Add("mbit_s", &Link::capacity, kRequired, Number<MegabitsPerSecond>(1, 1e6, "Mbit/s"),
               "Capacity each way, shared by all traffic.")
          .Add("usable_fraction", &Link::usable_fraction, kOptional, Number<double>(0.01, 1),
               "The part of the capacity that steering may plan with.")
          .Add("one_way_ms", &Link::one_way, kOptional, Milliseconds(0, kMaxOneWayMs),
               "One-way latency.");
  return keys;
}

auto TeamKeys() -> const KeyTable<Team>& {
  static const auto keys =
      KeyTable<Team>()
          .Add("name", &Team::name, kRequired, Name<TeamName>(), "Unique among teams.")
          .Add("weight", &Team::weight, kOptional, Number<double>(0.01, 1000),
               "The team's part of the queue under overload, relative to the other teams.")
          .Add("credential_sha256", &Team::credential_sha256, kOptional, OptionalSha256(),
               "SHA-256 of the team's administration credential. Empty gives no administration "
               "rights.");
  return keys;
}

auto ServiceKeys() -> const KeyTable<Service>& {
  static const auto keys =
      KeyTable<Service>()
          .Add("name", &Service::name, kRequired, Name<ServiceName>(), "Unique among services.")
          .Add("team", &Service::team, kRequired, Name<TeamName>(),
               "The team that owns the service.")
          .Add("value", &Service::value, kOptional, Number<double>(0.01, 1000),
               "Under overload, requests of the least valuable services are refused first.")
          .Add("idempotent_methods", &Service::idempotent_methods, kOptional, HttpMethods(),
               "Methods that may run more than once. Requests by other methods need a ticket.")
          .Add("default_deadline_ms", &Service::default_deadline, kOptional,
               Milliseconds(10, 60000), "The deadline of requests that name none.")
          .Add("expected_time_ms", &Service::expected_time, kOptional, Milliseconds(0.1, 60000),
               "A target's usual time for a request; must be below the deadline.")
          .Add("slots_per_target", &Service::slots_per_target, kOptional, WholeNumber<int>(1, 1000),
               "Requests that a target runs at one time.")
          .Add("connections_per_target", &Service::connections_per_target, kOptional,
               WholeNumber<int>(1, 100'000),
               "Connections that a target accepts; at least its slots.")
          .Add("shift_percent", &Service::shift_percent, kOptional, WholeNumber<int>(1, 100),
               "Most percentage points of the service's traffic that may move between regions in "
               "one interval.")
          .Add("shift_interval_s", &Service::shift_interval, kOptional, Seconds(1, 3600),
               "The interval of `shift_percent`.")
          .Add("mean_response_bytes", &Service::mean_response, kOptional,
               WholeNumber<Bytes>(1, kMaxResponseBytes, "bytes"),
               "Mean size of a response, for the link budgets.");
  return keys;
}

auto TargetKeys() -> const KeyTable<Target>& {
  static const auto keys =
      KeyTable<Target>()
          .Add("name", &Target::name, kRequired, Name<TargetName>(),
               "Unique among the targets of all services.")
          .Add("zone", &Target::zone, kRequired, Name<ZoneName>(),
               "The availability zone of the target VM.")
          .Add("address", &Target::endpoint, kRequired, EndpointValue(1, false),
               "Unique among the targets of all services.");
  return keys;
}

auto DrainKeys() -> const KeyTable<Drain>& {
  static const auto keys = KeyTable<Drain>()
                               .Add("scope", &Drain::scope, kRequired,
                                    Choice<DrainScope>({{"target", DrainScope::kTarget},
                                                        {"entry-vm", DrainScope::kEntryVm},
                                                        {"zone", DrainScope::kZone},
                                                        {"region", DrainScope::kRegion}}),
                                    "What is taken out of service.")
                               .Add("name", &Drain::name, kRequired, NameText(),
                                    "The name of the target, entry VM, zone or region.")
                               .Add("reason", &Drain::reason, kRequired, Text(1, kMaxReasonBytes),
                                    "Why; shown to other operators.");
  return keys;
}

auto ClientKeys() -> const KeyTable<ClientBlock>& {
  static const auto keys =
      KeyTable<ClientBlock>()
          .Add("block", &ClientBlock::block, kRequired, IpBlockValue(),
               "Addresses of clients. Blocks must not overlap.")
          .Add("zone", &ClientBlock::zone, kRequired, Name<ZoneName>(),
               "The availability zone nearest to the clients.")
          .Add("one_way_ms", &ClientBlock::one_way, kOptional, Milliseconds(0, kMaxOneWayMs),
               "One-way latency between the clients and that zone.");
  return keys;
}

}  // namespace heatherspan
