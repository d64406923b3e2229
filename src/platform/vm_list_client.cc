#include "platform/vm_list_client.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

#include "fmt/format.h"
#include "net/http_request.h"
#include "net/http_result.h"
#include "nlohmann/json.hpp"
#include "platform/platform_caller.h"

namespace heatherspan {
namespace {

using nlohmann::json;

constexpr std::array<std::pair<std::string_view, VmEntry::Role>, 2> kRoles = {
    {{"entry", VmEntry::Role::kEntry}, {"target", VmEntry::Role::kTarget}}};
constexpr std::array<std::pair<std::string_view, VmEntry::State>, 2> kStates = {
    {{"live", VmEntry::State::kLive}, {"leaving", VmEntry::State::kLeaving}}};

auto TextField(const json& vm, const char* name) -> std::string {
  const auto found = vm.find(name);
  return found != vm.end() && found->is_string() ? found->get<std::string>() : "";
}

template <class Table>
auto Find(const Table& table, std::string_view text)
    -> std::optional<typename Table::value_type::second_type> {
  for (const auto& [name, value] : table) {
    if (name == text) return value;
  }
  return std::nullopt;
}

auto Malformed(std::size_t index, std::string_view expected, const json& found) -> absl::Status {
  return absl::InvalidArgumentError(
      fmt::format("VM list, entry {}: expected {}, found {}", index, expected, found.dump()));
}

auto ParseVm(const json& vm, std::size_t index) -> absl::StatusOr<VmEntry> {
  if (!vm.is_object()) return Malformed(index, "an object", vm);
  const auto role = Find(kRoles, TextField(vm, "role"));
  if (!role.has_value()) return Malformed(index, "role \"entry\" or \"target\"", vm);
  const auto state = Find(kStates, TextField(vm, "state"));
  if (!state.has_value()) return Malformed(index, "state \"live\" or \"leaving\"", vm);
  auto name = TextField(vm, "name");
  auto zone = TextField(vm, "zone");
  if (name.empty() || zone.empty()) return Malformed(index, "a name and a zone", vm);
  auto endpoint = Endpoint::Parse(TextField(vm, "address"));
  if (!endpoint.ok()) return Malformed(index, "an address of the form IP:PORT", vm);
  return VmEntry{.name = std::move(name),
                 .zone = ZoneName(std::move(zone)),
                 .role = *role,
                 .state = *state,
                 .endpoint = *std::move(endpoint)};
}

}  // namespace

auto VmListClient::Fetch() -> absl::StatusOr<std::vector<VmEntry>> {
  const auto result =
      caller_.Call({.method = "GET", .target = "/v1/vms", .headers = {}, .body = "", .remote = {}});
  if (!result.status.ok()) return result.status;
  if (result.response.status != 200) {
    return absl::UnavailableError(
        fmt::format("the platform answered {} to a read of the VM list", result.response.status));
  }
  return Parse(result.response.body);
}

auto VmListClient::Parse(std::string_view json_text) -> absl::StatusOr<std::vector<VmEntry>> {
  const auto list = json::parse(json_text, nullptr, /*allow_exceptions=*/false);
  if (!list.is_object() || !list.contains("vms") || !list["vms"].is_array()) {
    return absl::InvalidArgumentError("VM list: expected an object with the array \"vms\"");
  }
  std::vector<VmEntry> vms;
  for (const auto& item : list["vms"]) {
    auto vm = ParseVm(item, vms.size());
    if (!vm.ok()) return vm.status();
    vms.push_back(*std::move(vm));
  }
  return vms;
}

}  // namespace heatherspan
