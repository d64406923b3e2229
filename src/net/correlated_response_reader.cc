#include "net/correlated_response_reader.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "absl/hash/hash.h"
#include "fmt/format.h"
#include "net/http_client_state.h"
#include "net/http_request.h"

namespace heatherspan {
namespace {

constexpr std::size_t kInitialBufferBytes = std::size_t{4} * 1024;
// Long bodies are read in pieces of this size; a header has to fit in.
constexpr std::size_t kMaxBufferBytes = std::size_t{128} * 1024;
// More responses to other requests in front of one response come from a peer that sends without
// end.
constexpr int kMaxForeignResponses = 16;
// Requests that one connection carries; bounds the memory of their ids.
constexpr std::size_t kMaxCarriedIds = 512;

}  // namespace

CorrelatedResponseReader::CorrelatedResponseReader(std::string peer,
                                                   std::shared_ptr<HttpClientState> client,
                                                   std::function<void()> give_way)
    : peer_(std::move(peer)),
      client_(std::move(client)),
      reader_(client_->limits().max_response_bytes, client_->limits().accept_unframed_responses),
      give_way_(std::move(give_way)) {}

CorrelatedResponseReader::~CorrelatedResponseReader() { SetReadingBytes(0); }

auto CorrelatedResponseReader::OnConnected() -> void {
  buffer_.resize(kInitialBufferBytes);
  end_ = 0;
  in_step_ = true;
  carried_.clear();
}

auto CorrelatedResponseReader::IdOf(const HttpRequest& request) const -> std::string_view {
  const auto& name = client_->limits().correlation_header;
  return name.empty() ? std::string_view() : request.Header(name);
}

auto CorrelatedResponseReader::MayCarry(const HttpRequest& request) const -> bool {
  const auto id = IdOf(request);
  if (id.empty()) return client_->limits().correlation_header.empty();
  return carried_.size() < kMaxCarriedIds &&
         std::find(carried_.begin(), carried_.end(), absl::HashOf(id)) == carried_.end();
}

auto CorrelatedResponseReader::Start(const HttpRequest& request, bool reused) -> void {
  expected_ = IdOf(request);
  if (!expected_.empty()) carried_.push_back(absl::HashOf(std::string_view(expected_)));
  is_head_request_ = request.method == "HEAD";
  is_reused_ = reused;
  has_started_ = false;
  foreign_responses_ = 0;
  reader_.Start(is_head_request_);
}

auto CorrelatedResponseReader::Shrink() -> void {
  if (buffer_.size() > kInitialBufferBytes) buffer_ = std::vector<char>(kInitialBufferBytes);
}

auto CorrelatedResponseReader::Abandon() -> void {
  reader_.Start(false);
  SetReadingBytes(0);
}

auto CorrelatedResponseReader::Space() -> std::span<char> {
  if (end_ == buffer_.size()) {
    if (buffer_.size() >= kMaxBufferBytes) return {};
    buffer_.resize(buffer_.size() * 2);
  }
  return std::span(buffer_).subspan(end_);
}

auto CorrelatedResponseReader::OnBytes(std::size_t size) -> absl::Status {
  end_ += size;
  if (end_ == buffer_.size() && end_ < kMaxBufferBytes) buffer_.resize(buffer_.size() * 2);
  has_started_ = true;
  do {
    if (auto status = Parse(); !status.ok()) return status;
    if (!reader_.done() || !DropForeignResponse()) return absl::OkStatus();
    if (foreign_responses_ > kMaxForeignResponses) {
      return absl::DataLossError(
          fmt::format("{} sends responses to other requests without end", peer_));
    }
  } while (end_ > 0);
  return absl::OkStatus();
}

auto CorrelatedResponseReader::OnEndOfInput() -> bool {
  reader_.OnEndOfInput();
  return reader_.done() && reader_.error() == HttpReadError::kNone && !DropForeignResponse();
}

auto CorrelatedResponseReader::Parse() -> absl::Status {
  const auto used = reader_.Read({buffer_.data(), end_});
  std::copy(buffer_.begin() + static_cast<std::ptrdiff_t>(used),
            buffer_.begin() + static_cast<std::ptrdiff_t>(end_), buffer_.begin());
  end_ -= used;
  if (!SetReadingBytes(reader_.memory_bytes())) return OutOfMemory();
  switch (reader_.error()) {
    case HttpReadError::kNone:
      break;
    case HttpReadError::kHeaderTooLarge:
    case HttpReadError::kBodyTooLarge:
      return absl::ResourceExhaustedError(
          fmt::format("the response from {} is larger than {} bytes", peer_,
                      client_->limits().max_response_bytes));
    case HttpReadError::kNoLength:
      return absl::DataLossError(fmt::format(
          "the response from {} has neither Content-Length nor chunked encoding, so that a "
          "truncation would go unnoticed",
          peer_));
    case HttpReadError::kMalformed:
      return absl::DataLossError(fmt::format("malformed response from {}", peer_));
  }
  return absl::OkStatus();
}

auto CorrelatedResponseReader::SetReadingBytes(std::size_t bytes) -> bool {
  if (bytes <= MemoryAccount::kSmallBytes) bytes = 0;
  client_->ChangeReadingBytes(std::exchange(reading_bytes_, bytes), bytes);
  if (bytes == 0) {
    arriving_.reset();
    return true;
  }
  if (!arriving_.has_value()) arriving_.emplace(client_->memory(), MemoryUse::kAnswers, give_way_);
  return arriving_->OnBytes(bytes, 0, SystemClock().Now());
}

auto CorrelatedResponseReader::OutOfMemory() const -> absl::Status {
  return absl::ResourceExhaustedError(fmt::format(
      "the response from {} is one of the largest, and all that the process holds takes nearly {} "
      "bytes",
      peer_, client_->memory()->max_bytes()));
}

/// A late second response to an earlier request stands where the response to this one is due.
auto CorrelatedResponseReader::DropForeignResponse() -> bool {
  if (identity() != AnswerIdentity::kOtherRequest) return false;
  in_step_ = false;
  ++foreign_responses_;
  reader_.Start(is_head_request_);
  return true;
}

auto CorrelatedResponseReader::identity() const -> AnswerIdentity {
  if (!has_started_ || !reader_.head_done()) return AnswerIdentity::kNoAnswer;
  if (expected_.empty()) return AnswerIdentity::kUnnamed;
  const auto found = reader_.response().Header(client_->limits().correlation_header);
  if (found.empty()) return AnswerIdentity::kUnnamed;
  return found == expected_ ? AnswerIdentity::kThisRequest : AnswerIdentity::kOtherRequest;
}

auto CorrelatedResponseReader::may_be_copy() const -> bool {
  return is_reused_ && !expected_.empty() && identity() == AnswerIdentity::kUnnamed;
}

auto CorrelatedResponseReader::HeadOfResponse() const -> HttpResponse {
  HttpResponse head;
  const auto known = identity();
  if (known == AnswerIdentity::kNoAnswer || known == AnswerIdentity::kOtherRequest ||
      may_be_copy()) {
    return head;
  }
  head.status = reader_.response().status;
  head.headers = reader_.response().headers;
  return head;
}

auto CorrelatedResponseReader::Take() -> HttpResponse {
  auto response = reader_.Take();
  SetReadingBytes(0);
  return response;
}

}  // namespace heatherspan
