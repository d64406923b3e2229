#include "gateway/crash_report.h"

#include <utility>

#include "base/number_text.h"
#include "base/text_parts.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kAnswered = "-";
constexpr std::int64_t kMaxMilliseconds = 3'600'000;
constexpr std::size_t kAnswerWords = 4;
constexpr std::size_t kCrashWords = 8;

auto Milliseconds(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(duration).count();
}

auto ReadMilliseconds(std::string_view text) -> std::optional<Duration> {
  const auto number = ParseNumber<std::int64_t>(text);
  if (!number.has_value() || *number < 0 || *number > kMaxMilliseconds) return std::nullopt;
  return milliseconds(*number);
}

auto ReadAnswer(const std::vector<std::string_view>& words, CrashReport report)
    -> std::optional<CrashReport> {
  const auto age = ReadMilliseconds(words[2]);
  if (!age.has_value()) return std::nullopt;
  report.age = *age;
  report.observer = NodeName(std::string(words[3]));
  return report;
}

auto ReadReport(std::string_view text) -> std::optional<CrashReport> {
  const auto words = SplitText(text, ' ');
  if (words.size() != kAnswerWords && words.size() != kCrashWords) return std::nullopt;
  const auto digest = RequestDigest::Parse(words[0]);
  if (!digest.has_value() || words.back().empty()) return std::nullopt;
  CrashReport report;
  report.request = *digest;
  if (words.size() == kAnswerWords) {
    return words[1] == kAnswered ? ReadAnswer(words, std::move(report)) : std::nullopt;
  }
  const auto start_id = ParseNumber<std::int64_t>(words[2]);
  const auto endpoint = Endpoint::Parse(std::string(words[3]));
  const auto age = ReadMilliseconds(words[4]);
  const auto at_target = ReadMilliseconds(words[5]);
  const auto chance = ParseNumber<double>(words[6]);
  if (words[1].empty() || !start_id.has_value() || !endpoint.ok() || !age.has_value() ||
      !at_target.has_value() || !chance.has_value() || !(*chance >= 0 && *chance <= 1)) {
    return std::nullopt;
  }
  report.crash = TargetCrash{TargetName(std::string(words[1])), *start_id, *endpoint};
  report.age = *age;
  report.at_target = *at_target;
  report.chance = *chance;
  report.observer = NodeName(std::string(words[7]));
  return report;
}

}  // namespace

auto WriteCrashReports(const std::vector<CrashReport>& reports) -> std::string {
  std::string text;
  for (const auto& report : reports) {
    if (!text.empty()) text += ';';
    text += report.request.Text();
    if (report.crash.has_value()) {
      text += fmt::format(" {} {} {} {} {} {:g}", report.crash->target.value(),
                          report.crash->start_id, report.crash->endpoint.Text(),
                          Milliseconds(report.age), Milliseconds(report.at_target), report.chance);
    } else {
      text += fmt::format(" {} {}", kAnswered, Milliseconds(report.age));
    }
    text += ' ';
    text += report.observer.value();
  }
  return text;
}

auto ReadCrashReports(std::string_view text) -> std::vector<CrashReport> {
  std::vector<CrashReport> reports;
  for (const auto part : SplitText(text, ';')) {
    if (auto report = ReadReport(part)) reports.push_back(std::move(*report));
  }
  return reports;
}

}  // namespace heatherspan
