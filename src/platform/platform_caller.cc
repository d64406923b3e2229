#include "platform/platform_caller.h"

#include <utility>

#include "fmt/chrono.h"
#include "fmt/format.h"
#include "net/http_client.h"

namespace heatherspan {
namespace {

auto Milliseconds(Duration duration) -> std::chrono::milliseconds {
  return std::chrono::ceil<std::chrono::milliseconds>(duration);
}

}  // namespace

PlatformCaller::PlatformCaller(HttpClient& client, Options options, Random random)
    : client_(client), options_(std::move(options)), pacer_(options_.pace, random) {}

auto PlatformCaller::Call(HttpRequest request, Duration extra_time) -> HttpResult {
  if (auto status = WaitForTurn(); !status.ok()) {
    return {.status = std::move(status), .progress = SendProgress::kNothingWritten, .response = {}};
  }
  auto result = client_.SendAndWait(options_.endpoint, std::move(request),
                                    options_.call_timeout + extra_time);
  OnResult(result);
  return result;
}

auto PlatformCaller::WaitForTurn() -> absl::Status {
  std::unique_lock lock(mutex_);
  const auto give_up = clock_.Now() + options_.call_timeout;
  while (true) {
    const auto now = clock_.Now();
    if (const auto pause = pacer_.BackoffLeft(now); pause > Duration::zero()) {
      return absl::UnavailableError(
          fmt::format("calls to the platform pause for {} after a failure", Milliseconds(pause)));
    }
    const auto delay = pacer_.TakeToken(now);
    if (delay == Duration::zero()) return absl::OkStatus();
    if (now + delay > give_up) {
      return absl::ResourceExhaustedError(
          fmt::format("the rate limit of {} calls/s to the platform has no room within {}",
                      options_.pace.calls_per_second, Milliseconds(options_.call_timeout)));
    }
    turn_.wait_for(lock, delay);
  }
}

auto PlatformCaller::OnResult(const HttpResult& result) -> void {
  const std::lock_guard lock(mutex_);
  const bool served = result.status.ok() && result.response.status < 500;
  if (served) {
    pacer_.OnSuccess();
  } else {
    pacer_.OnFailure(clock_.Now());
  }
}

}  // namespace heatherspan
