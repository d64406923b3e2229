#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/time.h"
#include "gateway/entry_vm_directory.h"
#include "gateway/quota_exchange.h"
#include "gateway/registered_target.h"
#include "gateway/relay_terms.h"
#include "gateway/request_digest.h"
#include "gateway/store_changes.h"
#include "gateway/traffic_policy.h"
#include "net/http_request.h"
#include "net/http_response.h"
#include "net/http_result.h"

namespace heatherspan {

/// A key-value service that can be listed and watched, and that tells whether the answer to a watch
/// is arriving. Every call invokes its callback once.
template <class T>
concept ReadableStore = requires(T& store, std::string key, std::uint64_t number, Duration wait,
                                 typename T::PageCallback on_page,
                                 typename T::ChangesCallback on_changes) {
  store.List(key, on_page);
  store.Watch(number, wait, on_changes);
  { store.IsReceiving() } -> std::same_as<bool>;
};

/// A key-value service whose items may end with a lease. Every call invokes its callback once.
template <class T>
concept LeasingStore = requires(T& store, std::string key, std::uint64_t number, Duration time,
                                typename T::LeaseCallback on_lease,
                                typename T::StatusCallback on_status) {
  store.Grant(time, on_lease);
  store.KeepAlive(number, on_status);
  store.Revoke(number, on_status);
  store.Put(key, key, number, on_status);
};

/// The platform's key-value service, in whose place entry VMs answer their peers.
template <class T>
concept GatewayStore = ReadableStore<T> && LeasingStore<T> &&
    requires(T& store, Duration wait, typename T::ChangesCallback on_changes,
             const HttpRequest& request, const StorePage& page,
             const std::optional<std::vector<StoreChange>>& changes, const StorePosition& position,
             const PeerNews& news, std::optional<Duration> proved_age,
             typename T::PackedValues* packed_values, std::size_t max_bytes) {
  store.AskPeer(position, news, max_bytes, wait, on_changes);
  { T::kCallTimeout } -> std::convertible_to<Duration>;
  { T::IsListCall(request) } -> std::same_as<bool>;
  { T::ListAnswer(page) } -> std::same_as<HttpResponse>;
  { T::WatchedPosition(request) } -> std::same_as<std::optional<StorePosition>>;
  { T::NewsIn(request) } -> std::same_as<PeerNews>;
  { T::ReadsPacked(request) } -> std::same_as<bool>;
  { T::MaxAnswerBytes(request) } -> std::same_as<std::optional<std::size_t>>;
  { T::WithheldAnswer(position, position, news) } -> std::same_as<HttpResponse>;
  {
    T::WatchAnswer(changes, position, wait, wait, news, proved_age, packed_values)
    } -> std::same_as<HttpResponse>;
};

/// The formats of the items in the store.
template <class T>
concept StoreFormat = requires(std::string_view text, TargetName target, NodeName node,
                               const EntryVm& vm) {
  { T::ReadPolicy(text) } -> std::same_as<absl::StatusOr<TrafficPolicy>>;
  { T::ReadTarget(target, text) } -> std::same_as<absl::StatusOr<RegisteredTarget>>;
  { T::ReadEntryVm(node, text) } -> std::same_as<absl::StatusOr<EntryVm>>;
  { T::WriteEntryVm(vm) } -> std::same_as<std::string>;
  { T::IsPolicyKey(text) } -> std::same_as<bool>;
  { T::EvacuatedZone(text) } -> std::same_as<std::optional<ZoneName>>;
  { T::TargetOf(text) } -> std::same_as<std::optional<TargetName>>;
  { T::EntryVmOf(text) } -> std::same_as<std::optional<NodeName>>;
  { T::EntryVmKey(node) } -> std::same_as<std::string>;
};

/// The formats of the messages between callers, entry VMs and targets.
template <class T>
concept MessageFormat = requires(const HttpRequest& request, const HttpResponse& response,
                                 const HttpResult& result, const RegisteredTarget& target,
                                 const RelayTerms& terms, const std::optional<TeamName>& team,
                                 Duration time, std::string path) {
  { T::CorrelationHeader() } -> std::same_as<std::string>;
  typename T::CallerFields;
  { T::ReadCaller(request) } -> std::same_as<typename T::CallerFields>;
  { T::DigestOf(request, path) } -> std::same_as<RequestDigest>;
  { T::ForTarget(request, target, team, time) } -> std::same_as<HttpRequest>;
  { T::ForRelay(request, terms, time) } -> std::same_as<HttpRequest>;
  { T::RelayedRequest(request) } -> std::same_as<std::optional<typename T::Relayed>>;
  { T::ReadReply(result) } -> std::same_as<typename T::Reply>;
  { T::IsSigned(response) } -> std::same_as<bool>;
  { T::RelayVerdict(response) } -> std::same_as<std::string_view>;
  { T::PromisesNotRun(response) } -> std::same_as<bool>;
  { T::ForCaller(response) } -> std::same_as<HttpResponse>;
  { T::Refused(time) } -> std::same_as<HttpResponse>;
  { T::Harmful() } -> std::same_as<HttpResponse>;
  { T::Failed() } -> std::same_as<HttpResponse>;
  { T::Expired() } -> std::same_as<HttpResponse>;
  { T::NoRoute() } -> std::same_as<HttpResponse>;
  { T::UnknownKey() } -> std::same_as<HttpResponse>;
  { T::OverQuota(time) } -> std::same_as<HttpResponse>;
  { T::HealthQuery(path) } -> std::same_as<HttpRequest>;
  { T::ReadHealth(response) } -> std::same_as<typename T::HealthReply>;
  { T::IsReadyQuery(request) } -> std::same_as<bool>;
  { T::ReadDirectoryQuery(request) } -> std::same_as<std::optional<typename T::DirectoryQuery>>;
};

/// The formats of the messages between entry VMs about the quotas of teams.
template <class T>
concept QuotaMessageFormat = requires(const HttpRequest& request, const HttpResponse& response,
                                      const QuotaAsk& ask, const QuotaAnswer& answer) {
  { T::IsAsk(request) } -> std::same_as<bool>;
  { T::WriteAsk(ask) } -> std::same_as<HttpRequest>;
  { T::ReadAsk(request) } -> std::same_as<absl::StatusOr<QuotaAsk>>;
  { T::WriteAnswer(answer) } -> std::same_as<HttpResponse>;
  { T::ReadAnswer(response) } -> std::same_as<absl::StatusOr<QuotaAnswer>>;
  { T::Declined() } -> std::same_as<HttpResponse>;
  { T::Malformed() } -> std::same_as<HttpResponse>;
  { T::IsDeclined(response) } -> std::same_as<bool>;
};

/// All formats and protocols that are specific to a platform.
template <class T>
concept PlatformAdapter = GatewayStore<typename T::Store> && StoreFormat<typename T::StoreFormat> &&
    MessageFormat<typename T::MessageFormat> && QuotaMessageFormat<typename T::QuotaFormat>;

}  // namespace heatherspan
