#pragma once

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "ctl/admin_transport.h"
#include "fmt/format.h"

namespace heatherspan {

inline auto ReadTestFile(const std::string& path) -> std::string {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Answers requests from a list and records whatever differs from what the list expects.
class ScriptedTransport {
 public:
  /// `exchanges` is a JSON array, see tests/ctl/golden/README.md.
  explicit ScriptedTransport(const std::string& exchanges)
      : exchanges_(exchanges.empty() ? nlohmann::json::array() : nlohmann::json::parse(exchanges)) {
  }

  auto Send(const Endpoint& endpoint, const HttpRequest& request) -> HttpResult {
    const auto line = fmt::format("{} {} {}", endpoint.Text(), request.method, request.target);
    if (next_ >= exchanges_.size()) {
      problems_ += "unexpected request " + line + "\n";
      return Failed(SendProgress::kNothingWritten);
    }
    const auto& exchange = exchanges_[next_++];
    if (exchange.at("request") != line) {
      problems_ +=
          fmt::format("request {}, expected {}\n", line, exchange.at("request").get<std::string>());
    }
    CheckHeaders(exchange.value("headers", nlohmann::json::object()), request);
    const auto part = exchange.value("body_contains", std::string());
    if (request.body.view().find(part) == std::string::npos)
      problems_ += "the body lacks " + part + "\n";
    return Answer(exchange);
  }

  /// What differed from the list; empty if nothing did.
  auto Problems() const -> std::string {
    return next_ == exchanges_.size() ? problems_ : problems_ + "missing requests\n";
  }

 private:
  static auto Failed(SendProgress progress) -> HttpResult {
    return {absl::UnavailableError("connection failed"), progress, {}};
  }

  auto CheckHeaders(const nlohmann::json& expected, const HttpRequest& request) -> void {
    for (const auto& [name, value] : expected.items()) {
      std::string found = "none";
      for (const auto& field : request.headers) {
        if (field.name == name) found = field.value;
      }
      if (found != value) {
        problems_ += fmt::format("{}: {}, expected {}\n", name, found, value.get<std::string>());
      }
    }
  }

  static auto Answer(const nlohmann::json& exchange) -> HttpResult {
    const auto error = exchange.value("error", std::string());
    if (error == "unreachable") return Failed(SendProgress::kNothingWritten);
    if (error == "lost") return Failed(SendProgress::kWritten);
    HttpResult result;
    result.progress = SendProgress::kCompleted;
    result.response.status = exchange.at("status");
    if (exchange.contains("version")) {
      result.response.headers.push_back(
          {"heatherspan-config-version", fmt::format("{}", exchange["version"].get<int>())});
    }
    if (exchange.contains("verdict")) {
      result.response.headers.push_back({"Heatherspan-Verdict", exchange["verdict"]});
    }
    if (exchange.contains("json")) result.response.body = exchange["json"].dump();
    if (exchange.contains("text")) result.response.body = exchange["text"];
    if (exchange.contains("example")) {
      const std::string name = exchange["example"];
      result.response.body = ReadTestFile(std::string(HS_EXAMPLES_DIR) + "/" + name);
    }
    return result;
  }

  nlohmann::json exchanges_;
  std::size_t next_ = 0;
  std::string problems_;
};

static_assert(AdminTransport<ScriptedTransport>);

}  // namespace heatherspan
