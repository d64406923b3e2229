#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "net/http_request.h"
#include "net/http_response.h"
#include "nlohmann/json.hpp"
#include "standins/key_value_store.h"
#include "standins/request_target.h"

namespace heatherspan {

/// The platform's key-value service and VM list as a state machine without sockets or clock. The
/// protocol is in section 13 of the design page; the control requests inject faults:
///
///   PUT  /control/faults           {"down", "refuse", "slow_ms", "forget_writes"}; absent keys
///   stay POST /control/copies/NAME      saves a copy of all keys POST /control/restore/NAME goes
///   back to it GET  /control/vms, PUT /control/vms   the VM list as in GET /v1/vms POST
///   /control/vms/NAME/leaving lists a VM as leaving GET  /control/counts           {"reads",
///   "writes", "waits", "waiting", "refused", "forgotten"}
class PlatformStandin {
 public:
  /// Gets the response; an empty one closes the connection without an answer.
  using Reply = std::function<void(std::optional<HttpResponse>)>;
  using CallId = std::uint64_t;

  /// Answers at once, or in a later OnTick for a wait or a slowed answer. The id is for Abandon.
  auto Handle(const HttpRequest& request, MonotonicTime now, Reply reply) -> CallId;
  /// Forgets a call whose caller has gone; its reply is not called.
  auto Abandon(CallId id) -> void;
  auto HandleControl(const HttpRequest& request, MonotonicTime now) -> HttpResponse;
  /// Ends leases and waits whose time has passed and sends the slowed answers that are due.
  auto OnTick(MonotonicTime now) -> void;

  /// Sets the VM list, in the form of GET /v1/vms. False if the text has another form.
  auto SetVms(std::string_view json_text) -> bool;
  /// While down, the binding accepts no connection and closes the existing ones.
  auto down() const -> bool { return faults_.down; }

 private:
  struct Faults {
    bool down = false;
    bool refuse = false;  ///< Every request gets 503 and has no effect.
    std::chrono::milliseconds slow{0};
    int forget_writes = 0;  ///< So many writes take effect and get no answer.
  };
  struct Counts {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t waits = 0;
    std::uint64_t refused = 0;
    std::uint64_t forgotten = 0;
  };
  struct PendingWait {
    std::string key;
    std::uint64_t after = 0;
    MonotonicTime end;
    Reply reply;
  };
  struct SlowAnswer {
    MonotonicTime due;
    std::optional<HttpResponse> response;
    Reply reply;
  };

  auto HandleKey(const HttpRequest& request, const RequestTarget& target) -> HttpResponse;
  auto WriteKey(const HttpRequest& request, const std::string& key) -> HttpResponse;
  auto HandleLease(const HttpRequest& request, const RequestTarget& target, MonotonicTime now)
      -> HttpResponse;
  auto HandleVms(const HttpRequest& request, const RequestTarget& target) -> HttpResponse;
  auto SetFaults(std::string_view json_text) -> bool;
  auto CountsResponse() const -> HttpResponse;
  auto ReadResponse(std::string_view key) const -> HttpResponse;
  auto Send(CallId id, std::optional<HttpResponse> response, MonotonicTime now, Reply reply)
      -> void;
  auto ReleaseWaits(MonotonicTime now) -> void;
  auto ReleaseSlowAnswers(MonotonicTime now) -> void;

  KeyValueStore store_;
  nlohmann::json vms_ = nlohmann::json::array();
  Faults faults_;
  Counts counts_;
  std::map<CallId, PendingWait> waits_;
  std::map<CallId, SlowAnswer> slow_answers_;
  CallId last_call_ = 0;
};

}  // namespace heatherspan
