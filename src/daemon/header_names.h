#pragma once

#include <string_view>

namespace heatherspan {

inline constexpr std::string_view kClientHeader = "Heatherspan-Client";
inline constexpr std::string_view kConfigVersionHeader = "Heatherspan-Config-Version";
inline constexpr std::string_view kDeadlineHeader = "Heatherspan-Deadline-Ms";
inline constexpr std::string_view kReasonHeader = "Heatherspan-Reason";
inline constexpr std::string_view kRequestIdHeader = "Heatherspan-Request-Id";
inline constexpr std::string_view kRetryAfterHeader = "Retry-After";
inline constexpr std::string_view kRetryAfterMsHeader = "Heatherspan-Retry-After-Ms";
inline constexpr std::string_view kTicketHeader = "Heatherspan-Ticket";
inline constexpr std::string_view kTicketStatusHeader = "Heatherspan-Ticket-Status";
inline constexpr std::string_view kVerdictHeader = "Heatherspan-Verdict";
inline constexpr std::string_view kTargetRefusedHeader = "Target-Refused";

}  // namespace heatherspan
