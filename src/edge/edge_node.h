#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "base/build_version.h"
#include "edge/access_control.h"
#include "edge/edge_limits.h"
#include "edge/edge_settings.h"
#include "edge/harm_monitor.h"
#include "edge/listener_monitor.h"
#include "edge/memory_monitor.h"
#include "edge/peer_reader.h"
#include "edge/peer_sync.h"
#include "edge/peer_traffic.h"
#include "edge/platform_ports.h"
#include "edge/quota_link.h"
#include "edge/request_forwarder.h"
#include "edge/store_follower.h"
#include "edge/store_items.h"
#include "edge/target_prober.h"
#include "edge/vm_announcer.h"
#include "fmt/format.h"
#include "gateway/answer_budget.h"
#include "gateway/capacity_weight.h"
#include "gateway/gateway_core.h"
#include "gateway/large_answer_turn.h"
#include "gateway/listing_budget.h"
#include "gateway/loop_lateness.h"
#include "gateway/peer_selection.h"
#include "gateway/peer_state_need.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/worker_pool.h"
#include "observe/event_log.h"
#include "observe/metrics_registry.h"

namespace heatherspan {

/// The gateway process of one entry VM. One worker thread runs all handlers, so the state needs no
/// locks.
template <PlatformAdapter Platform>
class EdgeNode {
 public:
  using Messages = typename Platform::MessageFormat;
  using Formats = typename Platform::StoreFormat;
  using Store = typename Platform::Store;
  using Quotas = typename Platform::QuotaFormat;

  static constexpr Duration kTickInterval = std::chrono::milliseconds(250);
  /// Requests still in flight get their final answer this long before the process would be killed.
  static constexpr Duration kStopMargin = std::chrono::milliseconds(500);
  /// Time for the final answers to leave the machine.
  static constexpr Duration kFlushTime = std::chrono::milliseconds(100);
  /// The fraction of the stop grace during which the process still listens for callers that hold an
  /// old directory answer.
  static constexpr double kListenFractionOfGrace = 0.45;

  EdgeNode(EdgeSettings settings, EventLog& log, std::function<void()> on_stopped)
      : settings_(std::move(settings)),
        log_(log),
        on_stopped_(std::move(on_stopped)),
        core_(EdgeLimits::Core(settings_), std::random_device()()),
        workers_(1),
        memory_(EdgeLimits::Memory(settings_)),
        target_client_(workers_, EdgeLimits::TargetClient(Messages::CorrelationHeader()), memory_),
        store_client_(workers_, EdgeLimits::StoreClient(), memory_),
        store_watch_client_(workers_, EdgeLimits::StoreWatchClient(), memory_),
        relay_client_(workers_, EdgeLimits::RelayClient(Messages::CorrelationHeader()), memory_),
        store_(store_client_, store_watch_client_, settings_.store,
               [this](StoreEra era, MonotonicTime called_at) { OnStoreEra(era, called_at); }),
        follower_(
            store_, workers_, log_,
            [this](const StoreChange& change, bool unconfirmed) {
              items_.OnChange(change, unconfirmed);
            },
            [this] { OnBatchApplied(); }, [this] { OnStoreRestored(); }),
        items_(
            core_, follower_.sync_state(), log_, metrics_, settings_.node,
            [this](const TrafficPolicy& policy) { OnPolicyApplied(policy); },
            [this] { announcer_.OnRemoved(); },
            [this](const RegisteredTarget& target) { harm_.OnRegistered(target, Now()); }),
        peer_reader_(
            store_client_, settings_.seeds, workers_, log_, std::random_device()(),
            [this] { return PeerStateNeedOf(follower_.sync_state(), Now() - started_at_); },
            [this](const Endpoint& peer, StorePage state) { OnPeerState(peer, std::move(state)); }),
        peer_traffic_(metrics_),
        answer_budget_(BytesPerSecond(settings_.link_mbps)),
        peer_sync_(
            store_client_, workers_, [this] { return SyncedPosition(); },
            [this] { return NextPeerQuestions(); }, [this] { return News(true, Now()); },
            [this](const Endpoint& peer, StoreChanges changes) {
              OnPeerChanges(peer, std::move(changes));
            },
            [this](const absl::Status& status) { peer_traffic_.OnFailure(status); },
            [this](StoreEra era) { OnPeerEra(era); }),
        announcer_(store_, workers_, log_, Formats::EntryVmKey(settings_.node),
                   Announcement(true, false),
                   [this](MonotonicTime at) {
                     core_.OnAnnouncementRenewed(at);
                     quotas_.OnAnnouncementRenewed(at);
                   }),
        quota_link_(store_client_, log_, metrics_),
        quotas_(settings_.node, InstanceId(std::random_device()()), workers_, log_, metrics_,
                [this](const Endpoint& keeper, const QuotaAsk& ask, Duration timeout,
                       TeamQuotaGate::OnReply on_reply) {
                  quota_link_.Send(keeper, ask, timeout, std::move(on_reply));
                }),
        access_(core_, log_, metrics_),
        harm_(
            core_, log_, metrics_, settings_.digest_key,
            [this](const std::vector<EntryVm>& vms) { Tell(vms); },
            [this](const TargetName& target) { prober_.Check(target); }),
        relay_(core_, relay_client_, log_, metrics_, [this] { prober_.CheckLinks(); }),
        forwarder_(core_, target_client_, workers_, log_, metrics_, access_, quotas_, harm_, relay_,
                   lateness_),
        prober_(core_, target_client_, log_, metrics_, harm_, relay_),
        callers_server_(
            workers_, EdgeLimits::CallerServer(settings_.descriptors, std::nullopt),
            [this](HttpRequest request, HttpServer::Responder respond) {
              forwarder_.Forward(std::move(request), std::move(respond));
            },
            memory_),
        readiness_server_(workers_, EdgeLimits::QueryServer(settings_.descriptors),
                          Handler(&EdgeNode::Readiness), memory_),
        directory_server_(workers_, EdgeLimits::DirectoryServer(settings_.descriptors),
                          Handler(&EdgeNode::Directory), memory_),
        metrics_server_(workers_, EdgeLimits::QueryServer(settings_.descriptors),
                        Handler(&EdgeNode::Metrics), memory_),
        peers_server_(
            workers_, EdgeLimits::PeerServer(settings_.descriptors, CallerLimits()),
            [this](const HttpRequest& request, const HttpServer::Responder& respond) {
              OnPeerRequest(request, respond);
            },
            memory_),
        memory_monitor_(*memory_, log_, metrics_),
        listener_monitor_(log_, metrics_) {
    listener_monitor_.Watch("callers", callers_server_);
    listener_monitor_.Watch("peers", peers_server_);
    listener_monitor_.Watch("directory", directory_server_);
    listener_monitor_.Watch("readiness", readiness_server_);
    listener_monitor_.Watch("metrics", metrics_server_);
  }

  ~EdgeNode() { workers_.Stop(); }
  EdgeNode(const EdgeNode&) = delete;
  auto operator=(const EdgeNode&) -> EdgeNode& = delete;

  auto Start() -> absl::Status {
    for (const auto& [server, endpoint] : {std::pair{&callers_server_, &settings_.callers},
                                           std::pair{&readiness_server_, &settings_.readiness},
                                           std::pair{&directory_server_, &settings_.directory},
                                           std::pair{&metrics_server_, &settings_.metrics},
                                           std::pair{&peers_server_, &settings_.peers}}) {
      if (endpoint->address.empty()) continue;  // Only the listener for peers is optional.
      const auto bound = server->Listen(*endpoint);
      if (!bound.ok()) return bound.status();
    }
    metrics_.Set(Metric::kBuild, {{"version", BuildVersion()}}, 1);
    log_.Write(LogLevel::kInfo, "started",
               {{"node", settings_.node.value()},
                {"build", BuildVersion()},
                {"zone", settings_.zone.value()},
                {"callers", settings_.callers.Text()},
                {"store", settings_.store.Text()}});
    workers_.Post([this] {
      started_at_ = Now();
      SetChangeBound(settings_.bounds);
      follower_.Start();
      peer_reader_.Start();
      peer_sync_.Start();
      tick_ = workers_.RunEvery(kTickInterval, [this] { OnTick(); });
    });
    return absl::OkStatus();
  }

  /// Begins a graceful stop, as on SIGTERM. May be called from any thread.
  auto BeginStop() -> void {
    workers_.Post([this] { OnStop(); });
  }

  /// Applies the settings that can change while the process runs, as on SIGHUP.
  auto Reload(EdgeSettings settings) -> void {
    workers_.Post([this, settings = std::move(settings)]() mutable { OnReload(settings); });
  }

 private:
  using Bounds = EdgeSettings::Bounds;

  static auto Now() -> MonotonicTime { return SystemClock().Now(); }

  auto Handler(HttpResponse (EdgeNode::*method)(const HttpRequest&)) -> HttpServer::Handler {
    return [this, method](const HttpRequest& request, const HttpServer::Responder& respond) {
      respond((this->*method)(request));
    };
  }

  static auto WithStatus(int status) -> HttpResponse {
    HttpResponse response;
    response.status = status;
    return response;
  }

  auto Announcement(bool reaches_targets, bool is_reduced) const -> std::string {
    const double capacity = CapacityWeight::Of(settings_.cpu_share, settings_.link_mbps);
    return Formats::WriteEntryVm({settings_.node, settings_.zone, settings_.region,
                                  settings_.callers, settings_.peers, reaches_targets,
                                  is_reduced ? CapacityWeight::Reduced(capacity) : capacity});
  }

  auto IsReady() const -> bool {
    return !stopping_ && core_.policy() != nullptr && follower_.sync_state().synced();
  }

  auto Readiness(const HttpRequest& request) -> HttpResponse {
    if (!Messages::IsReadyQuery(request)) return WithStatus(404);
    return WithStatus(IsReady() ? 200 : 503);
  }

  auto Directory(const HttpRequest& request) -> HttpResponse {
    const auto query = Messages::ReadDirectoryQuery(request);
    if (!query.has_value()) return WithStatus(404);
    const auto answer = core_.entry_vms().Answer(query->zone, query->region,
                                                 core_.routes().AllowedRegions(query->host), Now());
    metrics_.Increment(Metric::kLookups, {{"result", answer.endpoints.empty() ? "none" : "found"}});
    return Messages::DirectoryAnswer(answer.endpoints, answer.lifetime);
  }

  auto Metrics(const HttpRequest& request) -> HttpResponse {
    constexpr std::string_view kSuspects = "/suspects";
    if (request.target.starts_with(kSuspects)) {
      return Suspects(request.method, request.target.substr(kSuspects.size()));
    }
    if (request.target != "/metrics") return WithStatus(404);
    auto response = WithStatus(200);
    response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
    response.body = metrics_.Exposition();
    return response;
  }

  /// Lists the requests that may end targets, or, with DELETE and a digest, lifts one.
  auto Suspects(std::string_view method, std::string_view rest) -> HttpResponse {
    auto response = WithStatus(200);
    if (method == "GET" && rest.empty()) {
      response.headers.push_back({"Content-Type", "text/plain"});
      response.body = harm_.Listing(Now());
      return response;
    }
    const auto digest = RequestDigest::Parse(rest.substr(std::min<std::size_t>(1, rest.size())));
    if (method != "DELETE" || !rest.starts_with('/') || !digest.has_value()) return WithStatus(404);
    harm_.Lift(*digest, Now());
    return response;
  }

  auto OnPolicyApplied(const TrafficPolicy& policy) -> void {
    callers_server_.SetLimits(EdgeLimits::CallerServer(settings_.descriptors, policy.limits));
    peers_server_.SetLimits(EdgeLimits::PeerServer(settings_.descriptors, policy.limits));
    access_.Apply(policy);
    quotas_.Apply(policy.teams);
    forwarder_.OnPolicyApplied();
  }

  auto OnPeerRequest(const HttpRequest& request, const HttpServer::Responder& respond) -> void {
    if (auto relayed = Messages::RelayedRequest(request)) {
      forwarder_.ForwardForPeer(std::move(relayed->request), relayed->terms, respond);
    } else if (Quotas::IsAsk(request)) {
      respond(quota_link_.Answer(request, quotas_));
    } else {
      respond(PeerQuestion(request));
    }
  }

  /// Answers a peer that can't read the store.
  auto PeerQuestion(const HttpRequest& request) -> HttpResponse {
    if (const auto position = Store::WatchedPosition(request)) {
      return ChangesForPeer(*position, OnNews(Store::NewsIn(request)), request);
    }
    return Store::IsListCall(request) ? ListingForPeer() : WithStatus(404);
  }

  static auto BytesPerSecond(double mbps) -> double {
    constexpr double kBytesPerMegabit = 125'000;
    return mbps * kBytesPerMegabit;
  }

  auto ListingForPeer() -> HttpResponse {
    const auto& sync_state = follower_.sync_state();
    if (!sync_state.synced() || !listing_budget_.MayGive()) return WithStatus(503);
    auto page = items_.snapshot().Page(sync_state.revision());
    page.era = sync_state.era();
    auto answer = Store::ListAnswer(page);
    listing_budget_.OnGiven(answer.body.size());
    peer_traffic_.OnGiven(PeerTraffic::Kind::kListing, answer.body.size());
    return answer;
  }

  auto ChangesForPeer(const StorePosition& after, bool lacks_crashes, const HttpRequest& request)
      -> HttpResponse {
    OnPeerEra(after.era);
    const auto& sync_state = follower_.sync_state();
    if (!sync_state.synced()) return WithStatus(503);
    const bool has_history =
        after.era == sync_state.era() && after.revision >= sync_state.history_start();
    const auto changes =
        has_history ? items_.snapshot().ChangesAfter(after.revision) : std::nullopt;
    const auto now = Now();
    auto answer =
        Store::WatchAnswer(changes, {sync_state.era(), sync_state.revision()}, sync_state.Age(now),
                           sync_state.ContactAge(now), News(lacks_crashes, now), ProvedAge(),
                           Store::ReadsPacked(request) ? &packed_values_ : nullptr);
    const auto bytes = answer.body.size();
    const auto max_bytes = Store::MaxAnswerBytes(request);
    // An earlier build, which can't be told that changes are left out, gets them.
    const bool may_withhold = max_bytes.has_value();
    const bool is_large = bytes > LargeAnswerTurn::kSmallBytes;
    const bool fits = !may_withhold || bytes <= *max_bytes;
    if (!fits || (is_large && may_withhold && !answer_budget_.MayGive(now))) {
      answer = Store::WithheldAnswer(after, {sync_state.era(), sync_state.revision()},
                                     News(lacks_crashes, now));
    } else if (is_large) {
      answer_budget_.OnGiven(bytes, now);
    }
    peer_traffic_.OnGiven(PeerTraffic::Kind::kChanges, answer.body.size());
    return answer;
  }

  /// What peers are told, where they need it.
  auto ProvedAge() const -> std::optional<Duration> {
    if (settings_.bounds.revocation <= Duration::zero()) return std::nullopt;
    return BootClock().Now() - follower_.sync_state().proved_at();
  }

  auto NextPeerQuestions() -> typename PeerSync<Store>::Questions {
    const auto now = Now();
    const auto state = follower_.sync_state().Quality(now);
    auto& role = follower_.role();
    role.SetPeers(SelectPeers(core_.entry_vms().Announced(now), settings_.node, settings_.zone,
                              settings_.region));
    auto peers = role.NextQuestions(state, now);
    return {std::move(peers), News(std::exchange(peer_lacks_crashes_, false), now),
            role.QuestionInterval(state, now)};
  }

  auto SyncedPosition() const -> std::optional<StorePosition> {
    const auto& sync_state = follower_.sync_state();
    if (!sync_state.synced()) return std::nullopt;
    return StorePosition{sync_state.era(), sync_state.revision()};
  }

  auto OnPeerState(const Endpoint& peer, StorePage state) -> void {
    const auto revision = state.revision;
    peer_traffic_.OnTaken(PeerTraffic::Kind::kListing, state.bytes);
    // Before the lines of the items: many of these are left out by the limit of the log's rate.
    log_.Write(LogLevel::kInfo, "peer-state-received",
               {{"peer", peer.Text()},
                {"items", state.items.size()},
                {"era", state.era.value()},
                {"revision", revision},
                {"synced", follower_.sync_state().synced() ? 1 : 0}});
    const auto change_count = follower_.ApplyPeerState(std::move(state));
    log_.Write(LogLevel::kInfo, "peer-state-applied",
               {{"peer", peer.Text()}, {"changes", change_count}, {"revision", revision}});
  }

  auto OnPeerChanges(const Endpoint& peer, StoreChanges changes) -> void {
    const auto revision = changes.revision;
    const auto age = changes.age;
    const auto bytes = changes.bytes;
    const auto taken = changes.taken;
    peer_traffic_.OnTaken(PeerTraffic::Kind::kChanges, bytes);
    peer_traffic_.OnAnswered();
    peer_lacks_crashes_ = OnNews(changes.news);
    if (changes.are_withheld) return;
    follower_.role().OnAnswer(peer, age, Now());
    const auto change_count = follower_.ApplyPeerChanges(std::move(changes));
    RecordStoreSeen();
    if (change_count == 0) return;
    log_.Write(LogLevel::kInfo, "peer-changes-applied",
               {{"peer", peer.Text()},
                {"changes", change_count},
                {"revision", revision},
                {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
                {"bytes", bytes},
                {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(taken).count()},
                {"store_lost", follower_.sync_state().lost() ? 1 : 0}});
  }

  auto News(bool with_crashes, MonotonicTime now) const -> PeerNews {
    return {core_.LimitReports(now), with_crashes ? harm_.Reports(now) : std::vector<CrashReport>(),
            harm_.Checksum()};
  }

  auto Tell(const std::vector<EntryVm>& vms) -> void {
    std::vector<Endpoint> peers;
    for (const auto& vm : vms) {
      if (vm.name != settings_.node && !vm.peer_endpoint.address.empty()) {
        peers.push_back(vm.peer_endpoint);
      }
    }
    peer_sync_.Tell(peers);
  }

  /// Returns whether the VM that tells the news lacks reports of crashes.
  auto OnNews(const PeerNews& news) -> bool {
    const auto now = Now();
    const bool lacks_crashes = harm_.OnNews(news, now);
    for (const auto& report : news.limits) {
      if (!core_.OnLimitReport(report, now)) continue;
      log_.Write(
          LogLevel::kInfo, "target-limit-heard",
          {{"target", report.target.value()},
           {"limited", report.limit.has_value() ? 1 : 0},
           {"limit_rps", fmt::format("{:g}", report.limit.value_or(RequestsPerSecond(0)).value())},
           {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(report.age).count()}});
    }
    return lacks_crashes;
  }

  auto OnStoreEra(StoreEra era, MonotonicTime called_at) -> void {
    metrics_.Set(Metric::kStoreEra, {}, static_cast<double>(era.value()));
    follower_.OnStoreEra(era, called_at);
    if (follower_.sync_state().is_outdated()) peer_reader_.Start();
  }

  auto OnPeerEra(StoreEra era) -> void {
    follower_.OnPeerEra(era);
    if (follower_.sync_state().is_outdated()) peer_reader_.Start();
  }

  auto OnStoreRestored() -> void {
    const auto& sync_state = follower_.sync_state();
    log_.Write(LogLevel::kWarning, "store-era-applied",
               {{"era", sync_state.era().value()}, {"revision", sync_state.revision()}});
    items_.OnStoreRestored();
    core_.OnStoreRestored();
    relay_.OnStoreRestored();
  }

  auto RecordStoreSeen() -> void {
    const auto& sync_state = follower_.sync_state();
    core_.OnStoreSeen(sync_state.revision(), sync_state.complete_at());
    access_.OnConfigurationRead(!items_.lacks_policy());
    if (!items_.lacks_policy()) access_.OnConfigurationProved(sync_state.proved_at());
    items_.Settle();
  }

  auto OnBatchApplied() -> void {
    items_.OnBatchApplied();
    RecordStoreSeen();
    if (follower_.sync_state().synced() && !std::exchange(has_state_, true)) {
      const auto now = Now();
      quotas_.OnFirstState(core_.entry_vms().Announced(now), now - core_.StoreAge(now));
      quotas_.OnTick(core_.entry_vms().Announced(now), now);
    }
    if (IsReady()) announcer_.Start();
  }

  /// Announces whether the VM reaches targets, once the first probes have had time to answer, and
  /// whether it keeps up with its requests.
  auto AnnounceState(MonotonicTime now) -> void {
    const bool reaches_targets = !relay_.IsStranded(now);
    const bool is_reduced = IsShareOfCore() && lateness_.is_reduced(now);
    const bool reach_changed = std::exchange(announced_reach_, reaches_targets) != reaches_targets;
    const bool weight_changed = std::exchange(announced_reduced_, is_reduced) != is_reduced;
    if (reach_changed || weight_changed) {
      announcer_.Change(Announcement(reaches_targets, is_reduced));
    }
  }

  /// A VM with a whole core is late only while it is disrupted, which other parts answer.
  auto IsShareOfCore() const -> bool { return settings_.cpu_share < 1; }

  auto UpdateLateness(MonotonicTime now) -> void {
    const bool was_late = lateness_.is_late();
    lateness_.OnTick(now);
    metrics_.Set(Metric::kLoopLagSeconds, {},
                 std::chrono::duration<double>(lateness_.lag()).count());
    if (!IsShareOfCore() || lateness_.is_late() == was_late) return;
    forwarder_.SetBehind(lateness_.is_late());
    log_.Write(
        LogLevel::kWarning, lateness_.is_late() ? "loop-late" : "loop-late-over",
        {{"lag_ms", std::chrono::duration_cast<std::chrono::milliseconds>(lateness_.lag()).count()},
         {"in_flight", forwarder_.active()}});
  }

  auto OnTick() -> void {
    const auto now = Now();
    UpdateLateness(now);
    listing_budget_.OnTick();
    items_.Settle();
    core_.OnTick(now);
    quotas_.OnTick(core_.entry_vms().Announced(now), now);
    prober_.OnTick(now);
    access_.OnTick(now);
    AnnounceState(now);
    memory_monitor_.OnTick(now);
    listener_monitor_.OnTick();
    metrics_.Set(Metric::kInputAgeSeconds, {{"source", "store"}},
                 std::chrono::duration<double>(core_.StoreAge(now)).count());
    metrics_.Set(Metric::kInFlight, {{"region", settings_.region.value()}},
                 static_cast<double>(forwarder_.active()));
    if (stopping_) CheckStopped(now);
  }

  auto OnStop() -> void {
    if (stopping_) return;
    stopping_ = true;
    stop_began_ = Now();
    log_.Write(LogLevel::kInfo, "stopping",
               {{"in_flight", forwarder_.active()},
                {"grace_ms",
                 std::chrono::duration_cast<std::chrono::milliseconds>(settings_.bounds.stop_grace)
                     .count()}});
    announcer_.Withdraw();
    quotas_.BeginStop();
    callers_server_.BeginClosing();
    forwarder_.BeginStop(settings_.bounds.stop_grace);
    stop_timer_ = workers_.RunAfter(settings_.bounds.stop_grace - kStopMargin, [this] {
      forwarder_.AnswerAll();
      stop_timer_ = workers_.RunAfter(kFlushTime, [this] { OnStopped(); });
    });
  }

  auto OnStopped() -> void {
    log_.Write(LogLevel::kInfo, "stopped", {{"in_flight", forwarder_.active()}});
    tick_.reset();
    on_stopped_();
  }

  auto CheckStopped(MonotonicTime now) -> void {
    const auto listen_time = Duration(static_cast<Duration::rep>(
        static_cast<double>(settings_.bounds.stop_grace.count()) * kListenFractionOfGrace));
    const auto elapsed = now - stop_began_;
    if (elapsed >= listen_time) callers_server_.StopListening();
    const bool idle = forwarder_.active() == 0 && callers_server_.active_requests() == 0;
    if (idle && elapsed >= listen_time) OnStopped();
  }

  auto SetChangeBound(const Bounds& bounds) -> void {
    follower_.SetTiming(EdgeLimits::ReadTiming(bounds));
    access_.SetLimits({bounds.apply, bounds.revocation});
    core_.SetChangeBound(EdgeLimits::ChangeBound(bounds));
    quotas_.SetRule({bounds.quota_window, bounds.quota_overage, bounds.quota_slack},
                    EdgeLimits::ChangeBound(bounds));
  }

  auto OnReload(EdgeSettings& settings) -> void {
    core_.SetLimits(EdgeLimits::Retries(settings.bounds), EdgeLimits::Spillover(settings.bounds));
    SetChangeBound(settings.bounds);
    const bool restart_needed = settings.callers != settings_.callers ||
                                settings.store != settings_.store ||
                                settings.node != settings_.node || settings.zone != settings_.zone;
    settings_.bounds = settings.bounds;
    log_.Write(LogLevel::kInfo, "reloaded", {{"restart_needed", restart_needed ? 1 : 0}});
  }

  EdgeSettings settings_;
  EventLog& log_;
  const std::function<void()> on_stopped_;
  MetricsRegistry metrics_;
  GatewayCore core_;
  WorkerPool workers_;
  const std::shared_ptr<MemoryAccount> memory_;
  HttpClient target_client_;
  HttpClient store_client_;
  HttpClient store_watch_client_;
  HttpClient relay_client_;
  Store store_;
  StoreFollower<Store> follower_;
  StoreItems<Formats> items_;
  PeerReader<Store> peer_reader_;
  PeerTraffic peer_traffic_;
  typename Store::PackedValues packed_values_;
  AnswerBudget answer_budget_;
  PeerSync<Store> peer_sync_;
  ListingBudget listing_budget_;
  bool peer_lacks_crashes_ = false;  ///< The peer that answered last.
  MonotonicTime started_at_{};
  VmAnnouncer<Store> announcer_;
  bool announced_reach_ = true;
  bool announced_reduced_ = false;
  LoopLateness lateness_{kTickInterval};
  QuotaLink<Quotas> quota_link_;
  TeamQuotaGate quotas_;
  bool has_state_ = false;  ///< Of the store, its own or another VM's.
  AccessControl access_;
  HarmMonitor<Messages> harm_;
  RequestRelay<Messages> relay_;
  RequestForwarder<Messages> forwarder_;
  TargetProber<Messages> prober_;
  HttpServer callers_server_;
  HttpServer readiness_server_;
  HttpServer directory_server_;
  HttpServer metrics_server_;
  HttpServer peers_server_;
  MemoryMonitor memory_monitor_;
  ListenerMonitor listener_monitor_;
  std::shared_ptr<WorkerPool::Timer> tick_;
  std::shared_ptr<WorkerPool::Timer>
      stop_timer_;  ///< Ends a stop whose requests outlast the grace.
  bool stopping_ = false;
  MonotonicTime stop_began_{};
};

}  // namespace heatherspan
