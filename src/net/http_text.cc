#include "net/http_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include "fmt/format.h"
#include "net/header_lookup.h"

namespace heatherspan {
namespace {

constexpr std::array<std::pair<int, std::string_view>, 24> kPhrases{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {412, "Precondition Failed"},
    {410, "Gone"},
    {413, "Content Too Large"},
    {421, "Misdirected Request"},
    {422, "Unprocessable Content"},
    {428, "Precondition Required"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

auto Phrase(int status) -> std::string_view {
  const auto* found = std::find_if(kPhrases.begin(), kPhrases.end(),
                                   [status](const auto& entry) { return entry.first == status; });
  return found == kPhrases.end() ? "Status" : found->second;
}

/// Fields that describe the message on one connection; the writer alone decides them.
auto SetByWriter(std::string_view name) -> bool {
  switch (name.size()) {
    case 10:
      return EqualHeaderNames(name, "Connection");
    case 14:
      return EqualHeaderNames(name, "Content-Length");
    case 17:
      return EqualHeaderNames(name, "Transfer-Encoding");
    default:
      return false;
  }
}

/// The characters of a token, RFC 9110 section 5.6.2.
auto IsToken(std::string_view text) -> bool {
  constexpr std::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kMarks.find(c) != std::string_view::npos;
  });
}

auto IsFieldValue(std::string_view text) -> bool {
  return text.find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos;
}

auto IsRequestTarget(std::string_view text) -> bool {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) > 0x20 && c != 0x7f;
  });
}

auto AppendNumber(std::size_t number, std::string& out) -> void {
  std::array<char, 20> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
  out.append(digits.data(), end);
}

auto AppendField(std::string_view name, std::string_view value, std::string& out) -> void {
  out.append(name).append(": ").append(value).append("\r\n");
}

auto AppendLength(std::size_t length, std::string& out) -> void {
  out.append("Content-Length: ");
  AppendNumber(length, out);
  out.append("\r\n");
}

}  // namespace

auto CheckRequestText(const HttpRequest& request) -> absl::Status {
  if (!IsToken(request.method)) {
    return absl::InvalidArgumentError(fmt::format("\"{}\" is not an HTTP method", request.method));
  }
  if (!IsRequestTarget(request.target)) {
    return absl::InvalidArgumentError(fmt::format(
        "\"{}\" is not a request target: it is empty or has blanks or control characters",
        request.target));
  }
  for (const auto& field : request.headers) {
    if (!IsToken(field.name) || !IsFieldValue(field.value)) {
      return absl::InvalidArgumentError(
          fmt::format("the header field \"{}\" has a malformed name or value", field.name));
    }
  }
  return absl::OkStatus();
}

auto AppendRequestHead(const HttpRequest& request, std::string_view host, std::string& out)
    -> void {
  out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
  AppendField("Host", host, out);
  for (const auto& field : request.headers) {
    if (SetByWriter(field.name) || EqualHeaderNames(field.name, "Host")) continue;
    AppendField(field.name, field.value, out);
  }
  // A body-less GET has no length; a method such as POST needs one, RFC 9110 section 8.6.
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD")) {
    AppendLength(request.body.size(), out);
  }
  out.append("\r\n");
}

auto AppendResponseHead(const HttpResponse& response, const ResponseContext& context,
                        std::string& out) -> void {
  out.append("HTTP/1.1 ");
  AppendNumber(static_cast<std::size_t>(response.status), out);
  out.append(" ").append(Phrase(response.status)).append("\r\n");
  for (const auto& field : response.headers) {
    if (SetByWriter(field.name) || !IsToken(field.name) || !IsFieldValue(field.value)) continue;
    AppendField(field.name, field.value, out);
  }
  if (StatusHasBody(response.status)) AppendLength(response.body.size(), out);
  if (!context.keep_alive) {
    out.append("Connection: close\r\n");
  } else if (context.http_1_0) {
    out.append("Connection: keep-alive\r\n");
  }
  out.append("\r\n");
}

auto StatusHasBody(int status) -> bool { return status >= 200 && status != 204 && status != 304; }

}  // namespace heatherspan
