#include "standins/platform_host.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "base/time.h"
#include "fmt/format.h"
#include "standins/platform_standin.h"
#include "standins/standin_server.h"

namespace heatherspan {
namespace {

/// How late a lease, a wait or a slowed answer may end.
constexpr auto kTick = std::chrono::milliseconds(5);

}  // namespace

class PlatformHost::Impl : public std::enable_shared_from_this<Impl> {
 public:
  using Exchange = std::shared_ptr<StandinServer::Exchange>;

  Impl(boost::asio::io_context& context, PlatformStandin& standin)
      : standin_(standin), timer_(context) {
    server_.emplace(
        context, StandinServer::Limits{},
        [this](const HttpRequest& request, const Exchange& exchange) { Serve(request, exchange); });
    control_.emplace(context, StandinServer::Limits{},
                     [this](const HttpRequest& request, const Exchange& exchange) {
                       Control(request, exchange);
                     });
  }

  auto Listen(const Endpoint& endpoint) { return server_->Listen(endpoint); }
  auto ListenControl(const Endpoint& endpoint) { return control_->Listen(endpoint); }

  auto Tick() -> void {
    timer_.expires_after(kTick);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (error || self == nullptr) return;
      self->standin_.OnTick(self->clock_.Now());
      self->Tick();
    });
  }

 private:
  auto Serve(const HttpRequest& request, const Exchange& exchange) -> void {
    const auto id =
        standin_.Handle(request, clock_.Now(), [exchange](std::optional<HttpResponse> response) {
          if (response.has_value()) {
            exchange->Respond(*std::move(response));
          } else {
            exchange->Drop();
          }
        });
    exchange->OnClose([this, id] { standin_.Abandon(id); });
  }

  auto Control(const HttpRequest& request, const Exchange& exchange) -> void {
    auto response = standin_.HandleControl(request, clock_.Now());
    if (standin_.down()) {
      server_->Suspend();
    } else if (const auto status = server_->Resume(); !status.ok()) {
      response = {.status = 500, .headers = {}, .body = fmt::format("{}\n", status.ToString())};
    }
    exchange->Respond(std::move(response));
  }

  PlatformStandin& standin_;
  SystemClock clock_;
  boost::asio::steady_timer timer_;
  std::optional<StandinServer> server_;
  std::optional<StandinServer> control_;
};

PlatformHost::PlatformHost(boost::asio::io_context& context, PlatformStandin& standin)
    : impl_(std::make_shared<Impl>(context, standin)) {
  impl_->Tick();
}

PlatformHost::~PlatformHost() = default;

auto PlatformHost::Listen(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->Listen(endpoint);
}

auto PlatformHost::ListenControl(const Endpoint& endpoint) -> absl::StatusOr<Endpoint> {
  return impl_->ListenControl(endpoint);
}

}  // namespace heatherspan
