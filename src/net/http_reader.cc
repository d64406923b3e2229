// Beast 1.74 asserts that the last chunk of an empty body comes in one piece, and needs no such
// thing.
#define BOOST_DISABLE_ASSERTS

#include "net/http_reader.h"

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "net/header_lookup.h"

namespace heatherspan {
namespace {

namespace http = boost::beast::http;

// Other numbers are no status, RFC 9110 section 15.
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;
/// More in front of one response come from a peer that sends without end.
constexpr int kMaxInformationalResponses = 16;
constexpr std::size_t kMaxResponseHeaderBytes = std::size_t{64} * 1024;
// A length that a message only claims must not decide how much memory is taken for its body.
constexpr std::size_t kMaxReservedBodyBytes = std::size_t{64} * 1024;

auto ToString(boost::beast::string_view text) -> std::string { return {text.data(), text.size()}; }

auto ToView(boost::beast::string_view text) -> std::string_view {
  return {text.data(), text.size()};
}

auto IsDigit(char c) -> bool { return c >= '0' && c <= '9'; }

/// Whether the start of a status line is in the text. A peer that breaks off one response inside a
/// line and goes on with the next would have both taken for one.
auto HoldsStatusLine(std::string_view text) -> bool {
  constexpr std::string_view kVersion = "HTTP/1.";
  for (auto at = text.find(kVersion); at != std::string_view::npos; at = text.find(kVersion)) {
    text.remove_prefix(at + kVersion.size());
    if (text.size() >= 5 && IsDigit(text[0]) && text[1] == ' ' && IsDigit(text[2]) &&
        IsDigit(text[3]) && IsDigit(text[4])) {
      return true;
    }
  }
  return false;
}

/// Feeds the fields and the body of one message into the project's own structs, without the
/// intermediate containers of Beast.
template <bool is_request, class Message>
class MessageParser : public http::basic_parser<is_request> {
 public:
  using ErrorCode = boost::beast::error_code;
  using Text = boost::beast::string_view;

  Message message;
  bool http_1_0 = false;
  bool expects_continue = false;
  ByteBuffer request_body;

 protected:
  auto on_request_impl(http::verb /*method*/, Text method, Text target, int version,
                       ErrorCode& /*error*/) -> void override {
    if constexpr (is_request) {
      message.method = ToString(method);
      message.target = ToString(target);
      http_1_0 = version == 10;
    }
  }

  auto on_response_impl(int code, Text phrase, int version, ErrorCode& error) -> void override {
    if constexpr (!is_request) {
      if (HoldsStatusLine(ToView(phrase))) error = http::error::bad_reason;
      // No client asks for another protocol, so that what follows a 101 could not be read.
      if (code < kFirstStatus || code > kLastStatus || code == kSwitchingProtocols) {
        error = http::error::bad_status;
      }
      message.status = code;
      http_1_0 = version == 10;
    }
  }

  auto on_field_impl(http::field field, Text name, Text value, ErrorCode& error) -> void override {
    // Trailers come after the body; they must not pass for fields of the header.
    if (header_done_) return;
    // Beast reads any other coding as "no body", so that the body would pass for the next message.
    if (field == http::field::transfer_encoding && !EqualHeaderNames(ToView(value), "chunked")) {
      error = http::error::bad_transfer_encoding;
      return;
    }
    if (!is_request && HoldsStatusLine(ToView(value))) {
      error = http::error::bad_value;
      return;
    }
    if (field == http::field::expect) {
      expects_continue = EqualHeaderNames(ToView(value), "100-continue");
    }
    message.headers.push_back({ToString(name), ToString(value)});
  }

  auto on_header_impl(ErrorCode& /*error*/) -> void override { header_done_ = true; }

  auto on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode& /*error*/)
      -> void override {
    if (!length) return;
    const auto size = std::min<std::uint64_t>(*length, kMaxReservedBodyBytes);
    if constexpr (is_request) {
      request_body.Reserve(size);
    } else {
      message.body.reserve(size);
    }
  }

  auto on_body_impl(Text body, ErrorCode& /*error*/) -> std::size_t override {
    if constexpr (is_request) {
      request_body.Append(ToView(body));
    } else {
      message.body.append(body.data(), body.size());
    }
    return body.size();
  }

  auto on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/, ErrorCode& /*error*/)
      -> void override {}

  auto on_chunk_body_impl(std::uint64_t /*remaining*/, Text body, ErrorCode& error)
      -> std::size_t override {
    return on_body_impl(body, error);
  }

  auto on_finish_impl(ErrorCode& /*error*/) -> void override {}

 private:
  bool header_done_ = false;
};

auto ReadErrorOf(const boost::beast::error_code& error) -> HttpReadError {
  if (error == http::error::body_limit) return HttpReadError::kBodyTooLarge;
  if (error == http::error::header_limit) return HttpReadError::kHeaderTooLarge;
  return HttpReadError::kMalformed;
}

/// The part that requests and responses have in common.
template <bool is_request, class Message>
class Reader {
 public:
  using Parser = MessageParser<is_request, Message>;

  Reader(std::size_t max_header_bytes, std::size_t max_body_bytes)
      : max_header_bytes_(HeaderLimit(max_header_bytes)), max_body_bytes_(max_body_bytes) {
    Restart();
  }

  auto SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes) -> void {
    max_header_bytes_ = HeaderLimit(max_header_bytes);
    max_body_bytes_ = max_body_bytes;
    Restart();
  }

  auto Restart() -> void {
    parser_.emplace();
    parser_->eager(true);
    parser_->header_limit(static_cast<std::uint32_t>(max_header_bytes_));
    parser_->body_limit(max_body_bytes_);
    header_bytes_ = 0;
    header_memory_ = 0;
    error_ = HttpReadError::kNone;
    parser_error_ = {};
  }

  auto Read(std::string_view input) -> std::size_t {
    if (error_ != HttpReadError::kNone || parser_->is_done()) return 0;
    const bool in_header = !parser_->is_header_done();
    boost::beast::error_code error;
    const auto used = parser_->put(boost::asio::buffer(input.data(), input.size()), error);
    if (error && error != http::error::need_more) {
      error_ = ReadErrorOf(error);
      parser_error_ = error;
    }
    // Beast takes complete fields out of the input, so that its own limit sees only the rest.
    if (in_header) {
      header_memory_ = MemoryOf(parser_->message.headers);
      if constexpr (is_request) header_memory_ += parser_->message.target.size();
    }
    if (error_ == HttpReadError::kNone && in_header && !parser_->is_header_done()) {
      header_bytes_ += used;
      if (header_bytes_ + (input.size() - used) > max_header_bytes_) {
        error_ = HttpReadError::kHeaderTooLarge;
        parser_error_ = http::error::header_limit;
      }
    }
    return used;
  }

  auto parser() -> Parser& { return *parser_; }
  auto header_memory() const -> std::size_t { return header_memory_; }
  auto error() const -> HttpReadError { return error_; }
  auto error_text() const -> std::string {
    return error_ == HttpReadError::kNone ? std::string() : parser_error_.message();
  }
  auto SetError(HttpReadError error) -> void { error_ = error; }
  auto done() const -> bool { return error_ == HttpReadError::kNone && parser_->is_done(); }

  auto Take() -> Message {
    auto message = std::move(parser_->message);
    Restart();
    return message;
  }

 private:
  static auto HeaderLimit(std::size_t bytes) -> std::size_t {
    return std::min<std::size_t>(bytes, std::numeric_limits<std::uint32_t>::max());
  }

  std::size_t max_header_bytes_;
  std::size_t max_body_bytes_;
  std::optional<Parser> parser_;
  std::size_t header_bytes_ = 0;   ///< On the wire.
  std::size_t header_memory_ = 0;  ///< As fields.
  HttpReadError error_ = HttpReadError::kNone;
  boost::beast::error_code parser_error_;
};

}  // namespace

class HttpRequestReader::Impl : public Reader<true, HttpRequest> {
 public:
  using Reader::Reader;

  auto TakeRequest(HeldMemory held) -> HttpRequest {
    auto body = std::move(parser().request_body);
    auto request = Take();
    request.body = MessageBody(std::move(body), std::move(held));
    return request;
  }
};

HttpRequestReader::HttpRequestReader(std::size_t max_header_bytes, std::size_t max_body_bytes)
    : impl_(std::make_unique<Impl>(max_header_bytes, max_body_bytes)) {}

HttpRequestReader::~HttpRequestReader() = default;

auto HttpRequestReader::SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes)
    -> void {
  impl_->SetLimits(max_header_bytes, max_body_bytes);
}

auto HttpRequestReader::Read(std::string_view input) -> std::size_t { return impl_->Read(input); }
auto HttpRequestReader::done() const -> bool { return impl_->done(); }
auto HttpRequestReader::error() const -> HttpReadError { return impl_->error(); }
auto HttpRequestReader::error_text() const -> std::string { return impl_->error_text(); }
auto HttpRequestReader::keep_alive() const -> bool { return impl_->parser().keep_alive(); }
auto HttpRequestReader::http_1_0() const -> bool { return impl_->parser().http_1_0; }

auto HttpRequestReader::expects_continue() const -> bool {
  auto& parser = impl_->parser();
  return parser.is_header_done() && parser.expects_continue && !parser.is_done();
}

auto HttpRequestReader::header_done() const -> bool { return impl_->parser().is_header_done(); }
auto HttpRequestReader::header_bytes() const -> std::size_t { return impl_->header_memory(); }

auto HttpRequestReader::body_bytes() const -> std::size_t {
  return impl_->parser().request_body.size();
}

auto HttpRequestReader::announced_bytes() const -> std::size_t {
  auto& parser = impl_->parser();
  if (!parser.is_header_done()) return 0;
  return parser.content_length().value_or(0);
}

auto HttpRequestReader::Take(HeldMemory held) -> HttpRequest {
  return impl_->TakeRequest(std::move(held));
}

auto HttpRequestReader::Discard() -> void { impl_->Restart(); }

class HttpResponseReader::Impl : public Reader<false, HttpResponse> {
 public:
  Impl(std::size_t max_header_bytes, std::size_t max_body_bytes, bool accept_unframed)
      : Reader(max_header_bytes, max_body_bytes), accept_unframed_(accept_unframed) {}

  auto OnEndOfInput() -> void {
    if (!accept_unframed_ || done() || !parser().is_header_done() || !parser().need_eof()) return;
    boost::beast::error_code error;
    parser().put_eof(error);
    if (error) SetError(ReadErrorOf(error));
  }

  auto Start(bool head_request) -> void {
    head_request_ = head_request;
    informational_count_ = 0;
    StartMessage();
  }

  auto ReadAll(std::string_view input) -> std::size_t {
    std::size_t used = 0;
    while (true) {
      used += Read(input.substr(used));
      if (error() != HttpReadError::kNone || !parser().is_header_done()) return used;
      const int status = parser().message.status;
      if (done() && status >= 100 && status < 200) {
        if (++informational_count_ > kMaxInformationalResponses) {
          SetError(HttpReadError::kMalformed);
          return used;
        }
        StartMessage();
        if (used < input.size()) continue;
        return used;
      }
      if (!done() && parser().need_eof() && !accept_unframed_) SetError(HttpReadError::kNoLength);
      return used;
    }
  }

 private:
  auto StartMessage() -> void {
    Restart();
    parser().skip(head_request_);
  }

  const bool accept_unframed_;
  bool head_request_ = false;
  int informational_count_ = 0;
};

HttpResponseReader::HttpResponseReader(std::size_t max_body_bytes, bool accept_unframed)
    : impl_(std::make_unique<Impl>(kMaxResponseHeaderBytes, max_body_bytes, accept_unframed)) {}

HttpResponseReader::~HttpResponseReader() = default;

auto HttpResponseReader::Start(bool head_request) -> void { impl_->Start(head_request); }

auto HttpResponseReader::Read(std::string_view input) -> std::size_t {
  return impl_->ReadAll(input);
}

auto HttpResponseReader::OnEndOfInput() -> void { impl_->OnEndOfInput(); }

auto HttpResponseReader::done() const -> bool { return impl_->done(); }
auto HttpResponseReader::head_done() const -> bool { return impl_->parser().is_header_done(); }
auto HttpResponseReader::error() const -> HttpReadError { return impl_->error(); }
auto HttpResponseReader::keep_alive() const -> bool { return impl_->parser().keep_alive(); }
auto HttpResponseReader::response() const -> const HttpResponse& { return impl_->parser().message; }
auto HttpResponseReader::memory_bytes() const -> std::size_t {
  return impl_->header_memory() + impl_->parser().message.body.capacity();
}
auto HttpResponseReader::Take() -> HttpResponse { return impl_->Take(); }

}  // namespace heatherspan
