#include "daemon/target_report_reader.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using State = TargetReport::State;

constexpr std::array<std::pair<std::string_view, State>, 3> kStates = {{
    {"cold", State::kCold},
    {"ready", State::kReady},
    {"draining", State::kDraining},
}};

// No target has more slots, so a larger number is an error in the report.
constexpr int kMaxSlots = 10'000;

auto ReadCount(const nlohmann::json& object, const char* key) -> absl::StatusOr<int> {
  const auto found = object.find(key);
  if (found == object.end() || !found->is_number_integer()) {
    return absl::InvalidArgumentError(
        fmt::format("load report: \"{}\" is not a whole number", key));
  }
  const auto value = found->get<std::int64_t>();
  if (value < 0 || value > kMaxSlots) {
    return absl::InvalidArgumentError(fmt::format(
        "load report: \"{}\" is {}; expected a number from 0 to {}", key, value, kMaxSlots));
  }
  return static_cast<int>(value);
}

}  // namespace

auto ReadTargetReport(const TargetName& target, std::string_view body)
    -> absl::StatusOr<TargetReport> {
  const auto json = nlohmann::json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object()) return absl::InvalidArgumentError("load report: not a JSON object");
  const auto slots = ReadCount(json, "slots");
  if (!slots.ok()) return slots.status();
  const auto busy = ReadCount(json, "busy");
  if (!busy.ok()) return busy.status();
  const auto state = json.find("state");
  if (state == json.end() || !state->is_string()) {
    return absl::InvalidArgumentError("load report: \"state\" is not a string");
  }
  for (const auto& [text, value] : kStates) {
    if (state->get_ref<const std::string&>() == text) {
      return TargetReport{target, *slots, *busy, value};
    }
  }
  return absl::InvalidArgumentError(
      fmt::format("load report: \"state\" is \"{}\"; expected cold, ready or draining",
                  state->get_ref<const std::string&>()));
}

}  // namespace heatherspan
