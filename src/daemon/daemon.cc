#include "daemon/daemon.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <utility>

#include "admin/admin_api.h"
#include "base/process_memory.h"
#include "daemon/caller_api.h"
#include "daemon/config_service.h"
#include "daemon/daemon_limits.h"
#include "daemon/executor.h"
#include "daemon/leave_state.h"
#include "daemon/membership_service.h"
#include "daemon/peer_api.h"
#include "daemon/planned_stop.h"
#include "daemon/published_configuration.h"
#include "daemon/request_router.h"
#include "daemon/share_service.h"
#include "daemon/steering_state.h"
#include "daemon/ticket_service.h"
#include "daemon/view_builder.h"
#include "daemon/vm_list_service.h"
#include "fmt/format.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/memory_account.h"
#include "net/peer_client.h"
#include "net/peer_server.h"
#include "net/udp_socket.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"
#include "platform/http_store.h"
#include "platform/platform_caller.h"

namespace heatherspan {
namespace {

// Control workers block on calls to the platform. One serves the watch, one the grantor's lease,
// one the VM list, and two the administration interface.
constexpr std::size_t kControlWorkers = 5;
constexpr Duration kControlInterval = std::chrono::milliseconds(250);
constexpr Duration kGrantorInterval = std::chrono::milliseconds(500);
constexpr Duration kVmListInterval = std::chrono::seconds(2);
constexpr Duration kRefreshInterval = std::chrono::seconds(1);
// Covers several rounds of messages to the seeds. A node contacts the seeds every 500 ms while it
// knows no other member.
constexpr Duration kJoinTimeout = std::chrono::seconds(3);
constexpr Duration kShareInterval = std::chrono::milliseconds(100);

auto RandomSeed() -> std::uint64_t {
  std::random_device device;
  return (std::uint64_t{device()} << 32U) | device();
}

auto MemberStateText(MemberState state) -> std::string_view {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspected:
      return "suspected";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "dead";
}

auto UnixMilliseconds(WallTime time) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

}  // namespace

class Daemon::Impl {
 public:
  Impl(Settings given, EventLog& event_log)
      : settings(std::move(given)),
        log(event_log),
        workers(static_cast<std::size_t>(settings.threads)),
        control(kControlWorkers),
        memory(std::make_shared<MemoryAccount>(MemoryAccount::BoundFor(MachineMemoryBytes()))),
        target_client(workers, TargetLimits(settings), memory),
        platform_client(workers, HttpClient::Limits{}, memory),
        platform(platform_client, PlatformOptions(settings), Random(RandomSeed())),
        store(platform) {
    identity.name = settings.node;
    identity.zone = settings.zone;
    identity.instance = InstanceId(RandomSeed());
    identity.started_unix_ms = UnixMilliseconds(clock.WallNow());
  }

  auto Start() -> absl::Status {
    if (auto status = Listen(); !status.ok()) return status;
    Build();
    join_deadline = clock.Now() + kJoinTimeout;
    started = true;
    membership->Start();
    executor->Start();
    StartTimers();
    log.Write(LogLevel::kInfo, "started",
              {{"node", identity.name.value()},
               {"zone", identity.zone.value()},
               {"instance", fmt::format("{:016x}", identity.instance.value())},
               {"callers", identity.callers.Text()},
               {"peers", identity.peers.Text()},
               {"admin", identity.admin.Text()}});
    return absl::OkStatus();
  }

  auto Listen() -> absl::Status {
    callers_server.emplace(
        workers, CallerLimits(settings),
        [this](HttpRequest request, HttpServer::Responder responder) {
          if (!started) return responder(AdminError(503, "starting"));
          callers->Handle(std::move(request), std::move(responder));
        },
        memory);
    admin_server.emplace(
        control, AdminLimits(),
        [this](const HttpRequest& request, const HttpServer::Responder& respond) {
          respond(started ? HandleAdmin(request) : AdminError(503, "starting"));
        },
        memory);
    peer_server.emplace(
        workers, identity.instance, settings.peer_key,
        [this](InstanceId sender, PeerRequest request, PeerServer::Responder responder) {
          if (!started) return;
          peer_api->Handle(sender, std::move(request), std::move(responder));
        });
    socket.emplace(workers, identity.instance, settings.peer_key,
                   [this](InstanceId sender, const Endpoint& from, const Datagram& datagram) {
                     if (started) membership->OnDatagram(sender, from, datagram);
                   });
    const auto bound_callers = callers_server->Listen(settings.callers);
    if (!bound_callers.ok()) return bound_callers.status();
    const auto bound_admin = admin_server->Listen(settings.admin);
    if (!bound_admin.ok()) return bound_admin.status();
    const auto bound_peers = peer_server->Listen(settings.peers);
    if (!bound_peers.ok()) return bound_peers.status();
    // Datagrams use the same port number as the TCP connections between peers.
    const auto bound_socket = socket->Listen(*bound_peers);
    if (!bound_socket.ok()) return bound_socket.status();
    identity.callers = *bound_callers;
    identity.admin = *bound_admin;
    identity.peers = *bound_peers;
    return absl::OkStatus();
  }

  auto Build() -> void {
    peers.emplace(workers, identity.instance, settings.peer_key);
    shares.emplace(
        identity,
        [this](const Endpoint& to, const Datagram& datagram) { socket->Send(to, datagram); }, log);
    steering.emplace(identity, RandomSeed());
    executor.emplace(
        workers, target_client, metrics, configuration, identity,
        [this](MonotonicTime now) { return shares->UsableShare(now); }, RandomSeed());
    router.emplace(workers, *peers, *executor, *steering, configuration, metrics, log, identity);
    tickets.emplace(settings.peer_key, identity, TicketLimitsOf(settings), *router, *peers,
                    configuration, RandomSeed());
    callers.emplace(configuration, *router, *tickets, leave_state, metrics, log, identity,
                    RandomSeed());
    config.emplace(store, settings.environment, *peers, identity, log, metrics, ConfigCallbacks(),
                   RandomSeed());
    peer_api.emplace(configuration, *executor, *tickets, *config, leave_state);
    membership.emplace(workers, *socket, identity, settings.seeds, metrics, MembershipCallbacks(),
                       RandomSeed());
    vm_list.emplace(platform, VmListCallbacks());
    admin.emplace(store, settings.environment, settings.admin_credential, MakeAdminPorts());
    planned_stop.emplace(workers, leave_state, settings.drain_linger, log, StopSteps());
  }

  auto ConfigCallbacks() -> ConfigService::Callbacks {
    return {[this](const Manifest& manifest, std::shared_ptr<const Document> document) {
              OnConfigurationInForce(manifest, std::move(document));
            },
            [this] { return membership->Members(); }};
  }

  auto MembershipCallbacks() -> MembershipService::Callbacks {
    return {[this] { Refresh(); },
            [this](InstanceId sender, const ConfigDigest& digest) { OnDigest(sender, digest); },
            [this](const NodeLoad& load) { steering->OnLoadReport(load, clock.Now()); },
            [this](const Endpoint& from, const ShareRequest& request) {
              shares->OnRequest(from, request, clock.Now());
            },
            [this](const ShareGrant& grant) { shares->OnGrant(grant, clock.Now()); }};
  }

  auto VmListCallbacks() -> VmListService::Callbacks {
    return {
        [this](const std::vector<VmEntry>& vms) { OnEntryVms(vms); },
        [this](const TargetName& target, bool leaving) { executor->SetDraining(target, leaving); },
        [this](const absl::Status& status) {
          log.Write(LogLevel::kDebug, "vm-list-failed", {{"error", std::string(status.message())}});
        }};
  }

  auto MakeAdminPorts() -> AdminPorts {
    AdminPorts ports;
    ports.document_in_force = [this]() -> std::shared_ptr<const Document> {
      const auto current = configuration.Current();
      return current == nullptr ? nullptr : current->document;
    };
    ports.highest_seen = [this] { return config->HighestSeen(); };
    ports.on_promoted = [this] { config->OnPromoted(); };
    ports.status = [this] { return Status(); };
    ports.metrics = [this] {
      PublishMetrics();
      return metrics.Exposition();
    };
    ports.is_ready = [this] {
      return configuration.Current() != nullptr && !leave_state.is_leaving();
    };
    ports.audit = [this](std::string_view action, std::string_view author,
                         std::string_view result) {
      log.Write(LogLevel::kInfo, "audit",
                {{"action", action}, {"author", author}, {"result", result}});
    };
    return ports;
  }

  auto StopSteps() -> PlannedStop::Steps {
    return {[this] {
              shares->GiveUpRole();
              membership->Leave();
            },
            [this] { callers_server->BeginDrain(); },
            [this] {
              return callers_server->active_requests() + peer_server->active_requests() +
                     executor->active_requests();
            }};
  }

  auto StartTimers() -> void {
    const auto every = [this](WorkerPool& pool, Duration interval, WorkerPool::Task task) {
      timers.push_back(pool.RunEvery(interval, std::move(task)));
    };
    every(workers, kRefreshInterval, [this] { OnRefreshTimer(); });
    every(workers, kShareInterval, [this] { OnShareTimer(); });
    every(control, kControlInterval, [this] {
      // A watch that is still waiting would delay the end of a planned stop.
      if (!leave_state.is_leaving()) config->RunReaderStep();
    });
    every(control, kGrantorInterval,
          [this] { shares->RunGrantorStep(store, settings.environment); });
    every(control, kVmListInterval, [this] { vm_list->Poll(); });
  }

  auto OnEntryVms(const std::vector<VmEntry>& vms) -> void {
    std::vector<ListedVm> listed_vms;
    for (const auto& vm : vms) {
      const bool leaving = vm.state == VmEntry::State::kLeaving;
      listed_vms.push_back({vm.endpoint, leaving});
      // The name distinguishes this VM from an earlier VM at this address with a stale entry.
      if (leaving && vm.endpoint == identity.peers && vm.name == identity.name.value()) {
        planned_stop->Begin();
      }
    }
    membership->OnVmList(listed_vms);
  }

  auto OnShareTimer() -> void {
    const auto now = clock.Now();
    shares->OnTick(executor->Demand(now), now);
    config->OnTick();
  }

  auto OnRefreshTimer() -> void {
    const auto now = clock.Now();
    steering->RemoveExpiredLoads(now);
    membership->SetLoad(executor->Load(now));
    Refresh();
  }

  auto OnDigest(InstanceId sender, const ConfigDigest& digest) -> void {
    for (const auto& member : membership->Members()) {
      if (member.instance != sender) continue;
      config->OnDigest({sender, member.peer_endpoint}, digest);
      return;
    }
  }

  auto OnConfigurationInForce(const Manifest& manifest, std::shared_ptr<const Document> document)
      -> void {
    {
      const std::lock_guard lock(refresh_mutex);
      version = manifest.version;
      accepted_unix_ms = manifest.time_unix_ms;
      clients = std::make_shared<const ClientMap>(ClientMap::Build(document->clients));
      current_document = std::move(document);
    }
    membership->SetConfig(config->Digest());
    Refresh();
  }

  /// Publishes a new snapshot of the configuration and the members.
  auto Refresh() -> void {
    const std::lock_guard lock(refresh_mutex);
    if (current_document == nullptr) return;
    const auto now = clock.Now();
    const auto members = membership->Members();
    // A node that knows no other member would assume that it owns every target of its zone.
    if (members.size() == 1 && now < join_deadline) return;
    auto nodes = LiveNodes(members);
    for (auto& node : nodes) {
      node.utilization = steering->NodeUtilization(node.zone, node.instance, now);
    }
    auto next = std::make_shared<Configuration>();
    next->version = version;
    next->accepted_unix_ms = accepted_unix_ms;
    next->document = current_document;
    next->view = SteeringView::Build(current_document, clients, std::move(nodes));
    shares->OnConfiguration(next, ZoneVms(members, identity.zone), now);
    steering->OnConfiguration(*next, now);
    executor->Configure(steering->OwnedServices(*next, now));
    configuration.Publish(next);
    LeaveIfDrained(*next->document);
  }

  auto LeaveIfDrained(const Document& document) -> void {
    for (const auto& drain : document.drains) {
      if (drain.scope != DrainScope::kEntryVm || drain.name != identity.name.value()) continue;
      // The call is posted because the announcement changes the members and calls Refresh, which
      // acquires the same lock.
      workers.Post([this] { planned_stop->Begin(); });
    }
  }

  auto HandleAdmin(const HttpRequest& request) -> HttpResponse {
    auto response = admin->Handle(request);
    const auto path = request.target.substr(0, request.target.find('?'));
    // Only known paths become label values, so that a scanner cannot grow the registry.
    if (response.status != 404 && response.status != 401) {
      metrics.Increment(Metric::kAdminCalls,
                        {{"path", path}, {"status", std::to_string(response.status)}});
    } else {
      metrics.Increment(Metric::kAdminCalls, {{"status", std::to_string(response.status)}});
    }
    return response;
  }

  auto PublishMetrics() -> void {
    const auto now = clock.Now();
    membership->PublishMetrics();
    const auto load = executor->Load(now);
    double free_slots = 0;
    for (const auto& service : load.services) {
      const auto& name = service.service.value();
      free_slots += service.usable_slots - std::min(service.used_slots, service.usable_slots);
      metrics.Set(Metric::kQueued, {{"service", name}}, service.queued);
      metrics.Set(Metric::kSlotsUsable, {{"service", name}}, service.usable_slots);
      metrics.Set(Metric::kSlotsUsed, {{"service", name}}, service.used_slots);
    }
    const auto current = configuration.Current();
    const auto* own_region = current == nullptr ? nullptr : current->view->RegionOf(identity.zone);
    const std::string region = own_region == nullptr ? "" : own_region->value();
    metrics.Set(Metric::kInFlight, {{"region", region}},
                static_cast<double>(executor->active_requests()));
    metrics.Set(Metric::kHeadroom, {{"region", region}}, free_slots);
    metrics.Set(Metric::kRegionShare, {{"region", region}}, shares->UsableShare(now).value());
    metrics.Set(Metric::kInputAgeSeconds, {{"source", "targets"}},
                executor->LastAnswerAgeSeconds(now));
    metrics.Set(Metric::kGrantorLease, {}, shares->is_grantor(now) ? 1 : 0);
    metrics.Set(Metric::kInputAgeSeconds, {{"source", "vm-list"}}, vm_list->AgeSeconds(now));
    metrics.Set(Metric::kInputAgeSeconds, {{"source", "store"}}, config->StoreAgeSeconds(now));
    PublishListenerMetrics("callers", callers_server->counters());
    PublishListenerMetrics("admin", admin_server->counters());
    metrics.Set(Metric::kRejectedInput, {{"listener", "peers"}, {"cause", "frame"}},
                static_cast<double>(peer_server->rejected_frames()));
  }

  auto PublishListenerMetrics(std::string_view listener, const HttpServer::Counters& counters)
      -> void {
    const auto set = [&](std::string_view cause, std::size_t count) {
      metrics.Set(Metric::kRejectedInput, {{"listener", listener}, {"cause", cause}},
                  static_cast<double>(count));
    };
    set("bad-request", counters.bad_request);
    set("header-too-large", counters.header_too_large);
    set("body-too-large", counters.body_too_large);
    set("request-timeout", counters.request_timeout);
    set("too-many-connections", counters.too_many_connections);
    set("evicted", counters.evicted);
    set("no-memory", counters.no_memory);
  }

  auto Status() -> nlohmann::ordered_json {
    using Json = nlohmann::ordered_json;
    const auto now = clock.Now();
    const auto current = configuration.Current();
    Json json = {{"node", identity.name.value()},
                 {"zone", identity.zone.value()},
                 {"config_version", current == nullptr ? 0 : current->version.value()},
                 {"leaving", leave_state.is_leaving()},
                 {"refusing", leave_state.is_refusing()},
                 {"active_requests", executor->active_requests()},
                 {"share_rps", shares->UsableShare(now).value()},
                 {"grantor", shares->is_grantor(now)},
                 {"ticket_records", tickets->records()},
                 {"store_age_s", config->StoreAgeSeconds(now)},
                 {"vm_list_age_s", vm_list->AgeSeconds(now)}};
    json["members"] = Json::array();
    for (const auto& member : membership->Members()) {
      json["members"].push_back({{"name", member.name.value()},
                                 {"zone", member.zone.value()},
                                 {"state", MemberStateText(member.state)},
                                 {"direct_link_cut", member.direct_link_cut}});
    }
    json["services"] = Json::array();
    for (const auto& service : executor->Load(now).services) {
      json["services"].push_back({{"service", service.service.value()},
                                  {"usable_slots", service.usable_slots},
                                  {"used_slots", service.used_slots},
                                  {"queued", service.queued}});
    }
    return json;
  }

  auto Stop() -> void {
    timers.clear();
    if (membership.has_value()) membership->Stop();
    if (callers_server.has_value()) callers_server->Stop();
    if (admin_server.has_value()) admin_server->Stop();
    if (peer_server.has_value()) peer_server->Stop();
    if (peers.has_value()) peers->Stop();
    if (socket.has_value()) socket->Stop();
    control.Stop();
    workers.Stop();
  }

  Settings settings;
  EventLog& log;
  SystemClock clock;
  NodeIdentity identity;
  MetricsRegistry metrics;
  PublishedConfiguration configuration;
  LeaveState leave_state;
  std::atomic<bool> started = false;

  /// Acquired before every other lock. Keeps snapshots in order.
  std::mutex refresh_mutex;
  ConfigVersion version;
  std::int64_t accepted_unix_ms = 0;
  std::shared_ptr<const Document> current_document;
  /// From this time on, a node that knows no other member concludes that it is the only one.
  MonotonicTime join_deadline;
  std::shared_ptr<const ClientMap> clients;

  WorkerPool workers;
  WorkerPool control;
  const std::shared_ptr<MemoryAccount> memory;
  HttpClient target_client;
  HttpClient platform_client;
  PlatformCaller platform;
  HttpStore store;
  std::optional<PeerClient> peers;
  std::optional<ShareService> shares;
  std::optional<SteeringState> steering;
  std::optional<Executor> executor;
  std::optional<RequestRouter> router;
  std::optional<TicketService> tickets;
  std::optional<CallerApi> callers;
  std::optional<ConfigService> config;
  std::optional<PeerApi> peer_api;
  std::optional<MembershipService> membership;
  std::optional<VmListService> vm_list;
  std::optional<AdminApi<HttpStore>> admin;
  std::optional<PlannedStop> planned_stop;
  std::optional<UdpSocket> socket;
  std::optional<PeerServer> peer_server;
  std::optional<HttpServer> admin_server;
  std::optional<HttpServer> callers_server;
  std::vector<std::shared_ptr<WorkerPool::Timer>> timers;
};

Daemon::Daemon(Settings settings, EventLog& log)
    : impl_(std::make_unique<Impl>(std::move(settings), log)) {}

Daemon::~Daemon() { impl_->Stop(); }

auto Daemon::Start() -> absl::Status { return impl_->Start(); }

auto Daemon::BeginLeave() -> void { impl_->planned_stop->Begin(); }

auto Daemon::WaitUntilStopped() -> void { impl_->planned_stop->Wait(); }

auto Daemon::identity() const -> const NodeIdentity& { return impl_->identity; }

}  // namespace heatherspan
