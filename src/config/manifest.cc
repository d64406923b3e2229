#include "config/manifest.h"

#include <algorithm>
#include <utility>

#include "document/sha256.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

namespace heatherspan {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kHashDigits = 64;

// The keys of a JSON object are sorted, so that equal manifests have equal encodings.
auto Fields(const Manifest& manifest) -> Json {
  return Json{{"version", manifest.version.value()},
              {"write_id", manifest.write_id},
              {"chunks", manifest.chunks},
              {"author", manifest.author},
              {"time_unix_ms", manifest.time_unix_ms},
              {"reason", manifest.reason},
              {"previous", manifest.previous.value()}};
}

auto Dump(const Json& json) -> std::string {
  // Invalid UTF-8, which operators may send in the author or the reason, is replaced.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto HashOf(const Manifest& manifest) -> std::string { return Sha256Hex(Dump(Fields(manifest))); }

auto IsHash(const std::string& text) -> bool {
  return text.size() == kHashDigits && std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

auto Invalid(const std::string& message) -> absl::Status {
  return absl::DataLossError("manifest: " + message);
}

template <class Value>
auto ReadField(const Json& json, const char* key, Value& value) -> bool {
  const auto found = json.find(key);
  if (found == json.end()) return false;
  const bool fits = std::is_same_v<Value, std::string> ? found->is_string()
                    : std::is_unsigned_v<Value>        ? found->is_number_unsigned()
                                                       : found->is_number_integer();
  if (fits) value = found->template get<Value>();
  return fits;
}

auto ReadChunkHashes(const Json& json, std::vector<std::string>& chunks) -> bool {
  const auto found = json.find("chunks");
  if (found == json.end() || !found->is_array()) return false;
  for (const auto& hash : *found) {
    if (!hash.is_string() || !IsHash(hash.get<std::string>())) return false;
    chunks.push_back(hash.get<std::string>());
  }
  return true;
}

}  // namespace

auto Manifest::Encode() const -> std::string {
  auto json = Fields(*this);
  json["hash"] = HashOf(*this);
  return Dump(json);
}

auto Manifest::Digest() const -> ConfigDigest { return ConfigDigest{version, HashOf(*this)}; }

auto Manifest::Decode(std::string_view text) -> absl::StatusOr<Manifest> {
  if (text.size() > kMaxManifestBytes) {
    return Invalid(fmt::format("has {} bytes; the maximum is {}", text.size(), kMaxManifestBytes));
  }
  const auto json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return Invalid("is not a JSON object");
  Manifest manifest;
  std::uint64_t version = 0;
  std::uint64_t previous = 0;
  std::string hash;
  const bool complete = ReadField(json, "version", version) &&
                        ReadField(json, "previous", previous) &&
                        ReadField(json, "write_id", manifest.write_id) &&
                        ReadField(json, "author", manifest.author) &&
                        ReadField(json, "time_unix_ms", manifest.time_unix_ms) &&
                        ReadField(json, "reason", manifest.reason) &&
                        ReadField(json, "hash", hash) && ReadChunkHashes(json, manifest.chunks);
  if (!complete) return Invalid("a field is missing or has an unexpected type");
  manifest.version = ConfigVersion(version);
  manifest.previous = ConfigVersion(previous);
  const auto expected = HashOf(manifest);
  if (hash != expected) {
    return Invalid(fmt::format("has the hash {}; expected {}", hash, expected));
  }
  return manifest;
}

}  // namespace heatherspan
