#include "gateway/limit_report.h"

#include <cmath>
#include <cstdint>

#include "absl/strings/str_cat.h"
#include "base/number_text.h"
#include "base/text_parts.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kNoLimit = "-";
constexpr std::int64_t kMaxAgeMilliseconds = 3'600'000;

auto ReadReport(std::string_view text) -> std::optional<LimitReport> {
  const auto parts = SplitText(text, ' ');
  if (parts.size() != 3 || parts[0].empty()) return std::nullopt;
  LimitReport report;
  report.target = TargetName(std::string(parts[0]));
  if (parts[1] != kNoLimit) {
    const auto limit = ParseNumber<double>(parts[1]);
    if (!limit.has_value() || !std::isfinite(*limit) || *limit < 0) return std::nullopt;
    report.limit = RequestsPerSecond(*limit);
  }
  const auto age = ParseNumber<std::int64_t>(parts[2]);
  if (!age.has_value() || *age < 0 || *age > kMaxAgeMilliseconds) return std::nullopt;
  report.age = milliseconds(*age);
  return report;
}

}  // namespace

auto WriteLimitReports(const std::vector<LimitReport>& reports) -> std::string {
  std::string text;
  for (const auto& report : reports) {
    const auto limit = report.limit.has_value() ? absl::StrCat(report.limit->value()) : "-";
    absl::StrAppend(&text, text.empty() ? "" : ";", report.target.value(), " ", limit, " ",
                    std::chrono::duration_cast<milliseconds>(report.age).count());
  }
  return text;
}

auto ReadLimitReports(std::string_view text) -> std::vector<LimitReport> {
  std::vector<LimitReport> reports;
  for (const auto part : SplitText(text, ';')) {
    if (auto report = ReadReport(part)) reports.push_back(std::move(*report));
  }
  return reports;
}

}  // namespace heatherspan
