#include "standins/answer_body.h"

#include "base/stable_hash.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace heatherspan {
namespace {

constexpr std::string_view kChecksumLabel = "checksum ";
constexpr std::size_t kChecksumDigits = 16;
constexpr std::size_t kTrailerBytes = kChecksumLabel.size() + kChecksumDigits + 1;

auto Checksum(std::string_view content) -> std::string {
  return fmt::format("{}{:016x}\n", kChecksumLabel, StableHash(content));
}

}  // namespace

auto AnswerBody::Compose(std::size_t filler_bytes) const -> std::string {
  const nlohmann::json first = {
      {"target", target}, {"request_id", request_id}, {"ticket", ticket}, {"digest", digest}};
  auto body = first.dump() + "\n";
  const auto end = body.size() + filler_bytes;
  while (body.size() < end) body += digest + "\n";
  return body + Checksum(body);
}

auto AnswerBody::Parse(std::string_view body) -> std::optional<AnswerBody> {
  if (body.size() < kTrailerBytes) return std::nullopt;
  const auto content = body.substr(0, body.size() - kTrailerBytes);
  if (body.substr(content.size()) != Checksum(content)) return std::nullopt;
  const auto first = nlohmann::json::parse(content.substr(0, content.find('\n')), nullptr, false);
  if (!first.is_object()) return std::nullopt;
  return AnswerBody{.target = first.value("target", ""),
                    .request_id = first.value("request_id", ""),
                    .ticket = first.value("ticket", ""),
                    .digest = first.value("digest", "")};
}

auto RequestDigest(std::string_view method, std::string_view path, std::string_view body)
    -> std::string {
  return fmt::format("{:016x}", StableHash(fmt::format("{} {}\n{}", method, path, body)));
}

}  // namespace heatherspan
