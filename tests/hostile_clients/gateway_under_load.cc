#include "gateway_under_load.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <thread>

#include "fmt/format.h"

namespace heatherspan {
namespace {

constexpr auto kTimeout = std::chrono::seconds(30);
constexpr std::uint16_t kPort = 18081;

auto NewFolder() -> std::string {
  std::string path = std::filesystem::temp_directory_path() / "hostile-clients-XXXXXX";
  return ::mkdtemp(path.data()) == nullptr ? "" : path;
}

}  // namespace

GatewayUnderLoad::GatewayUnderLoad(const Limits& limits)
    : limits_(limits),
      folder_(NewFolder()),
      target_("i-1", {.max_body_bytes = limits.max_body_bytes,
                      .request_timeout = std::chrono::seconds(100),
                      .watch_disconnects = true}),
      client_(workers_, HttpClient::Limits{.forward_host = true}),
      process_(HS_GATEWAY, folder_ + "/gateway.toml", folder_ + "/gateway.log") {
  WriteSettings();
  store_.Put("op/config", Configuration());
  auto registration = target_.Registration();
  const std::string slots = R"("max_concurrency":)";
  registration.replace(registration.find(slots), slots.size() + 1,
                       slots + std::to_string(limits_.target_slots));
  store_.Put("servers/" + target_.name(), registration);
}

GatewayUnderLoad::~GatewayUnderLoad() {
  workers_.Stop();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

auto GatewayUnderLoad::Own(Number number) -> Endpoint {
  // Loopback addresses of this process alone.
  constexpr int kOctets = 250;
  const int process = ::getpid();
  return {fmt::format("127.{}.{}.{}", process / kOctets % kOctets + 1, process % kOctets + 1,
                      static_cast<int>(number)),
          kPort};
}

auto GatewayUnderLoad::WriteSettings() const -> void {
  std::ofstream(folder_ + "/gateway.toml") << fmt::format(
      "[node]\nname = \"n\"\nzone = \"a\"\nregion = \"r\"\ndescriptors = {}\nmemory_mb = {}\n"
      "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\ndirectory = \"{}\"\nmetrics = \"{}\"\n"
      "[peers]\nlisten = \"{}\"\n[store]\naddress = \"{}\"\n[zones]\na = \"r\"\n",
      limits_.descriptors, limits_.memory_mb, callers().Text(), readiness().Text(),
      directory().Text(), metrics().Text(), peers().Text(), store_.endpoint().Text());
}

auto GatewayUnderLoad::Configuration() const -> std::string {
  return fmt::format(
      R"({{"version":"r1","resources":[)"
      R"({{"type":"limits","metadata":{{"name":"limits"}},"spec":{{"header_bytes":16384,)"
      R"("max_body_bytes":{},"header_timeout_s":{},"idle_timeout_s":{}}}}},)"
      R"({{"type":"routes","metadata":{{"name":"read"}},"spec":{{"host":"h.example",)"
      R"("path_prefix":"/read/","kind":"safe","timeout_s":30,"latency_slo_s":10,"priority":1,)"
      R"("service":"s","max_attempts":2}}}},)"
      R"({{"type":"services","metadata":{{"name":"s"}},"spec":{{"health_path":"/health",)"
      R"("max_conns":{},"cold_s":0,"cold_per_s":100}}}}]}})",
      limits_.max_body_bytes, limits_.header_timeout_s, limits_.idle_timeout_s,
      3 * limits_.target_slots);
}

auto GatewayUnderLoad::Start() -> bool {
  return process_.Start() && AskUntilAnswered(readiness(), "/heatherspan/ready");
}

auto GatewayUnderLoad::Ask(const std::string& body) -> int {
  HttpRequest request;
  request.method = body.empty() ? "GET" : "POST";
  request.target = "/read/one";
  request.headers = {{"Host", "h.example"},
                     {"Heatherspan-Request-Id", "id-1"},
                     {"Heatherspan-Deadline-Ms", "30000"}};
  request.body = body;
  const auto result = client_.SendAndWait(callers(), request, kTimeout);
  return result.status.ok() ? result.response.status : 0;
}

auto GatewayUnderLoad::AskAt(const Endpoint& listener, const std::string& target) -> int {
  HttpRequest request;
  request.target = target;
  const auto result = client_.SendAndWait(listener, request, kTimeout);
  return result.status.ok() ? result.response.status : 0;
}

auto GatewayUnderLoad::AskUntilAnswered(const Endpoint& listener, const std::string& target)
    -> bool {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (AskAt(listener, target) == 200) return true;
    std::this_thread::yield();
  }
  return false;
}

auto GatewayUnderLoad::AskUntilServed() -> bool {
  const auto end = std::chrono::steady_clock::now() + kTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (Ask("") == 200) return true;
  }
  return false;
}

auto GatewayUnderLoad::is_alive() -> bool {
  return !process_.Reap().has_value() && process_.running();
}

auto GatewayUnderLoad::PeakBytes() const -> std::size_t {
  std::ifstream status(fmt::format("/proc/{}/status", process_.id()));
  std::string word;
  while (status >> word) {
    std::size_t kilobytes = 0;
    if (word == "VmHWM:" && status >> kilobytes) return kilobytes * 1024;
  }
  return std::numeric_limits<std::size_t>::max();
}

auto GatewayUnderLoad::LogTail() const -> std::string {
  constexpr std::size_t kMaxBytes = 8000;
  std::ifstream file(folder_ + "/gateway.log");
  const std::string text(std::istreambuf_iterator<char>(file), {});
  return text.substr(text.size() - std::min(text.size(), kMaxBytes));
}

auto GatewayUnderLoad::OpenDescriptors() const -> std::size_t {
  std::error_code error;
  const std::filesystem::directory_iterator open(fmt::format("/proc/{}/fd", process_.id()), error);
  if (error) return std::numeric_limits<std::size_t>::max();
  return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

}  // namespace heatherspan
