#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace heatherspan {

/// The metrics of the daemon.
enum class Metric : std::size_t {
  kBuild,
  kLookups,
  kRequests,
  kRefusals,
  kRetries,
  kRequestSeconds,
  kForwardSeconds,
  kTargetSeconds,
  kInFlight,
  kHeadroom,
  kQueued,
  kSlotsUsable,
  kSlotsUsed,
  kRegionShare,
  kGrantorLease,
  kConfigVersion,
  kConfigChanges,
  kInputAgeSeconds,
  kMembers,
  kDatagrams,
  kDatagramBytes,
  kRejectedInput,
  kStoreCalls,
  kStoreEra,
  kTargetNotices,
  kRequestStandings,
  kStranded,
  kRelayed,
  kUnattributedAnswers,
  kNotRunVerdicts,
  kReconnectedRequests,
  kTeamQuota,
  kTeamTokens,
  kQuotaFraction,
  kQuotaMessages,
  kQuotaMessageBytes,
  kAdminCalls,
  kCount,
};

enum class MetricKind { kCounter, kGauge, kSummary };

/// The name, kind and help text of a metric in the Prometheus text exposition format.
struct MetricDescription {
  Metric metric;
  std::string_view name;
  MetricKind kind;
  std::string_view help;
};

inline constexpr std::array<MetricDescription, static_cast<std::size_t>(Metric::kCount)>
    kMetricDescriptions = {{
        {Metric::kBuild, "heatherspan_build_info", MetricKind::kGauge,
         "1, with the version and revision of the running build."},
        {Metric::kLookups, "heatherspan_lookups_total", MetricKind::kCounter,
         "Look-ups by result."},
        {Metric::kRequests, "heatherspan_requests_total", MetricKind::kCounter,
         "Requests from callers by service and verdict."},
        {Metric::kRefusals, "heatherspan_refusals_total", MetricKind::kCounter,
         "Refusals by reason and verdict."},
        {Metric::kRetries, "heatherspan_retries_total", MetricKind::kCounter,
         "Attempts after the first, by the reason that the one before failed."},
        {Metric::kRequestSeconds, "heatherspan_request_seconds", MetricKind::kSummary,
         "Time from the whole request to the response at the first node, by service."},
        {Metric::kForwardSeconds, "heatherspan_forward_seconds", MetricKind::kSummary,
         "Time of one forwarded attempt, by service."},
        {Metric::kTargetSeconds, "heatherspan_target_seconds", MetricKind::kSummary,
         "Time that a target took for one request, by service."},
        {Metric::kInFlight, "heatherspan_in_flight", MetricKind::kGauge,
         "Requests that wait or are at targets of this node, by region."},
        {Metric::kHeadroom, "heatherspan_headroom_slots", MetricKind::kGauge,
         "Free usable slots of this node's targets, by region."},
        {Metric::kQueued, "heatherspan_queued", MetricKind::kGauge,
         "Requests that wait for a slot, by service."},
        {Metric::kSlotsUsable, "heatherspan_slots_usable", MetricKind::kGauge,
         "Slots of owned targets that may take work, by service."},
        {Metric::kSlotsUsed, "heatherspan_slots_used", MetricKind::kGauge,
         "Slots of owned targets in use, by service."},
        {Metric::kRegionShare, "heatherspan_region_share_rps", MetricKind::kGauge,
         "Share of the region's cap that this node may use now, in requests/s."},
        {Metric::kGrantorLease, "heatherspan_grantor", MetricKind::kGauge,
         "1 while this node grants shares of its region's cap."},
        {Metric::kConfigVersion, "heatherspan_config_version", MetricKind::kGauge,
         "Version of the configuration in force; 0 without one."},
        {Metric::kConfigChanges, "heatherspan_config_changes_total", MetricKind::kCounter,
         "Configurations that came into force."},
        {Metric::kInputAgeSeconds, "heatherspan_input_age_seconds", MetricKind::kGauge,
         "Age of the latest input, by source; -1 before the first."},
        {Metric::kMembers, "heatherspan_members", MetricKind::kGauge,
         "Entry VMs by state as this node sees them."},
        {Metric::kDatagrams, "heatherspan_datagrams_total", MetricKind::kCounter,
         "Datagrams between entry VMs by direction."},
        {Metric::kDatagramBytes, "heatherspan_datagram_bytes_total", MetricKind::kCounter,
         "Bytes of datagrams between entry VMs by direction."},
        {Metric::kRejectedInput, "heatherspan_rejected_input_total", MetricKind::kCounter,
         "Malformed, oversized, slow or unauthenticated input by listener and cause."},
        {Metric::kStoreCalls, "heatherspan_store_calls_total", MetricKind::kCounter,
         "Calls to the platform's store by kind and result."},
        {Metric::kStoreEra, "heatherspan_store_era", MetricKind::kGauge,
         "The history of the platform's store that its last answer belongs to."},
        {Metric::kTargetNotices, "heatherspan_target_notices_total", MetricKind::kCounter,
         "Changes of what is believed of targets by their answers, by notice and source."},
        {Metric::kRequestStandings, "heatherspan_request_standings_total", MetricKind::kCounter,
         "Changes of what is believed of requests that were at targets when these crashed."},
        {Metric::kStranded, "heatherspan_stranded", MetricKind::kGauge,
         "1 while this entry VM reaches no target."},
        {Metric::kRelayed, "heatherspan_relayed_requests_total", MetricKind::kCounter,
         "Requests passed on to another entry VM, by result."},
        {Metric::kUnattributedAnswers, "heatherspan_unattributed_answers_total",
         MetricKind::kCounter,
         "Answers that name another request, or none on a used connection, by service."},
        {Metric::kNotRunVerdicts, "heatherspan_not_run_verdicts_total", MetricKind::kCounter,
         "Attempts that count as not run, by what that rests on."},
        {Metric::kReconnectedRequests, "heatherspan_reconnected_requests_total",
         MetricKind::kCounter,
         "Requests sent over a new connection as the write on a used one took nothing, by "
         "service."},
        {Metric::kTeamQuota, "heatherspan_team_quota_total", MetricKind::kCounter,
         "Requests of teams with a quota, by team and result."},
        {Metric::kTeamTokens, "heatherspan_team_tokens", MetricKind::kGauge,
         "Requests of the team that this entry VM may admit without asking, by team."},
        {Metric::kQuotaFraction, "heatherspan_quota_fraction", MetricKind::kGauge,
         "Fraction of every quota that is this entry VM's own, lent by it, or kept for others."},
        {Metric::kQuotaMessages, "heatherspan_quota_messages_total", MetricKind::kCounter,
         "Messages between entry VMs about quotas, asked and answered."},
        {Metric::kQuotaMessageBytes, "heatherspan_quota_message_bytes_total", MetricKind::kCounter,
         "Bytes of the bodies of these messages."},
        {Metric::kAdminCalls, "heatherspan_admin_calls_total", MetricKind::kCounter,
         "Calls to the administration interface by path and status."},
    }};

}  // namespace heatherspan
