#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "soak/trouble_log.h"

namespace heatherspan {

/// The figures of the promises, as the users' pages and site files give them.
struct PromiseBounds {
  Duration stable = std::chrono::seconds(4);
  Duration apply = std::chrono::milliseconds(2500);
  Duration drain = std::chrono::milliseconds(2500);
  Duration evacuate = std::chrono::seconds(5);
  Duration directory_lag = std::chrono::seconds(3);
  Duration loss_slack = std::chrono::milliseconds(200);
  Duration late_slack = std::chrono::milliseconds(500);
  double late_part = 0.25;
  int late_least = 8;
  double retry_ratio = 0.2;
  double retry_allowance = 20;
  Duration retry_window = std::chrono::seconds(10);
  double cold_per_second = 3 * 1.5 + 5;
  Duration limit_window = std::chrono::seconds(4);
  Duration told_delay = std::chrono::milliseconds(500);
  double limit_factor = 1.5;
  double limit_slack = 5;
  double recovered_part = 0.25;
  Duration crash = std::chrono::seconds(2);  ///< Until a target is back that a request has ended.
  std::size_t crashes_most = 3;              ///< Then a request is known to be harmful.
  int late_harm_most = 3;
  double stranded_part = 2.0 / 3;  ///< Of the service elsewhere.
  double stranded_failures = 10;
  double stranded_failed_part = 1.0 / 50;
  int pause_arrivals_most = 2;
  int over_budget_most = 20;  ///< Attempts with more time than is left.
  double over_budget_part = 0.2;
  int gone_arrivals_most = 3;
  int directory_most = 3;
};

/// A caller's attempt as it was sent.
struct SentRequest {
  std::string id;
  std::string gateway;
  std::string route;
  std::string host;
  std::string method;
  std::string target;  ///< Path and query.
  std::string body;
  bool at_most_once = false;
  Duration patience{};
  Duration route_timeout{};
};

/// A whole response as a caller got it.
struct SeenAnswer {
  int status = 0;
  std::string id;  ///< As the response repeats it; empty if it doesn't.
  std::string signature;
  std::string body;
};

/// A request as it reached a target.
struct SeenArrival {
  std::string id;
  std::string target_name;
  std::string service;
  std::string zone;
  std::string region;
  std::string method;
  std::string target;  ///< Path and query.
  std::string body;
  Duration time_left{};
  bool runs = false;         ///< Else the target refuses it.
  bool misdirected = false;  ///< Refused because it was meant for another instance.
  bool cold = false;         ///< The target is cold.
  Duration work{};           ///< How long it will take, if it runs.
};

/// What a configuration says of each route: its service, and the only region that it may use.
struct PolicyFacts {
  std::map<std::string, std::string> services;  ///< By route.
  std::map<std::string, std::string> regions;   ///< By route; all are allowed to the others.
};

/// Arrivals of requests on routes with homes.
struct HomeCounts {
  int arrivals = 0;
  /// Not in a home of the newest version, but in one of a version that may be in force.
  int former_homes = 0;
  /// Outside of the homes, where another instance has taken over the address and refused.
  int misdirected = 0;
};

/// Checks the promises of the users' pages from what callers and targets see. Not thread-safe.
class PromiseLedger {
 public:
  struct Violation {
    std::string promise;
    std::string text;
  };

  explicit PromiseLedger(PromiseBounds bounds) : bounds_(bounds) {}

  auto troubles() -> TroubleLog& { return troubles_; }

  // What operators and targets tell the store; its answer has that time.
  auto OnPolicy(PolicyFacts facts, MonotonicTime now) -> void;
  auto OnLeaving(const std::string& target, MonotonicTime now) -> void;
  /// The target names a limit of requests per second from now on, or none.
  auto OnLimit(const std::string& target, std::optional<double> per_second, MonotonicTime now)
      -> void;
  /// The target's answer to the request has the limit.
  auto OnLimitTold(const std::string& target, const std::string& id, MonotonicTime now) -> void;
  /// The answer to the request, which has just been written, says that the target leaves.
  auto OnLeavingTold(const std::string& target, const std::string& id, MonotonicTime now) -> void;
  /// The refusal of the request asks for a pause until then.
  auto OnPauseTold(const std::string& target, const std::string& id, MonotonicTime until,
                   MonotonicTime now) -> void;
  auto OnEvacuated(const std::string& zone, bool evacuated, MonotonicTime now) -> void;

  /// The gateway reaches no target from now on, or reaches them again.
  auto OnStranded(const std::string& gateway, bool stranded, MonotonicTime now) -> void;

  auto OnSent(SentRequest request, MonotonicTime now) -> void;
  auto OnAnswer(const std::string& id, const SeenAnswer& answer, MonotonicTime now) -> void;
  /// The connection ended after the request was written.
  auto OnConnectionEnd(const std::string& id, MonotonicTime now) -> void;
  /// The caller has waited in vain.
  auto OnSilence(const std::string& id, MonotonicTime now) -> void;
  /// The caller has closed its connection.
  auto OnCallerGone(const std::string& id, MonotonicTime now) -> void;

  auto OnArrival(const SeenArrival& arrival, MonotonicTime now) -> void;
  auto OnWorkEnd(const std::string& id, MonotonicTime now) -> void;

  auto OnStopBegin(const std::string& gateway, MonotonicTime now) -> void;
  auto OnProcessEnd(const std::string& gateway, bool expected, const std::string& how) -> void;
  auto OnProcessStart(const std::string& gateway, MonotonicTime now) -> void;
  auto OnStopOverdue(const std::string& gateway) -> void;
  auto OnReadyAnswer(const std::string& gateway, bool ready, MonotonicTime now) -> void;
  auto OnDirectoryAnswer(const std::string& asked, const std::vector<std::string>& named,
                         MonotonicTime now) -> void;
  auto OnConfigVersion(const std::string& gateway, std::uint64_t version) -> void;

  /// Requests sent from then on have to be served again.
  auto OnRecovered(MonotonicTime now) -> void { recovered_ = now; }
  /// Checks what can be judged only over a span.
  auto Finish() -> void;

  auto violations() const -> const std::vector<Violation>& { return violations_; }
  auto sent() const -> std::size_t { return requests_.size(); }
  auto served() const -> std::size_t { return served_; }
  auto refused() const -> std::size_t { return refused_; }
  auto home_counts() const -> const HomeCounts& { return home_counts_; }
  /// Answers by status, 3xx and 4xx of gateways themselves that are no refusals. Harmful requests
  /// are left out.
  auto rejected() const -> const std::map<int, int>& { return rejected_; }

  /// The end of the path of the request that ends each target that begins to run it.
  static constexpr std::string_view kHarmfulPath = "/harmful/20";
  static auto IsHarmful(const std::string& target) -> bool {
    return target.ends_with(kHarmfulPath);
  }
  /// The body of a target's response, which the caller can check by itself.
  static auto ExpectedBody(const std::string& target, const std::string& id) -> std::string;

 private:
  struct Entry {
    SentRequest request;
    MonotonicTime sent;
    std::optional<MonotonicTime> answered;
    std::optional<MonotonicTime> gone;
    bool refused = false;
    bool served = false;
    bool silent = false;  ///< The caller has waited in vain.
    int runs = 0;
    int arrivals = 0;
    MonotonicTime last_arrival;
    std::string last_target;
    bool last_target_refused = false;
    MonotonicTime work_planned_end;
    std::optional<MonotonicTime> work_end;
  };
  struct Policy {
    PolicyFacts facts;
    MonotonicTime since;
  };
  struct Span {
    MonotonicTime begin;
    MonotonicTime end = MonotonicTime::max();
  };
  struct Limit {
    double per_second = 0;
    MonotonicTime since;
    std::map<std::string, MonotonicTime> told;  ///< Since when, by gateway.
    std::deque<MonotonicTime> arrivals;         ///< From told gateways, in one window.
  };
  /// What a target has said of itself to a gateway.
  struct Notices {
    std::optional<MonotonicTime> leaving_told;
    MonotonicTime paused_at;
    MonotonicTime paused_until;
    int arrivals_in_pause = 0;
  };

  struct Process {
    bool running = false;
    MonotonicTime since;  ///< Of its start or its end.
    std::optional<MonotonicTime> stop_began;
    std::uint64_t version = 0;
  };

  auto Report(const std::string& promise, const std::string& text) -> void;
  auto Find(const std::string& id) -> Entry*;
  /// The gateway and the store have been undisturbed for long enough.
  auto InTouch(const std::string& gateway, MonotonicTime now) const -> bool;
  auto StoreCalm(MonotonicTime now) const -> bool;
  auto WasStranded(const std::string& gateway, MonotonicTime begin, MonotonicTime end) const
      -> bool;
  /// No disturbance touches the span: of the gateway or, while it is stranded, of any that may pass
  /// its requests on.
  auto IsCalm(const std::string& gateway, MonotonicTime begin, MonotonicTime end) const -> bool;
  auto HasOnlyPlanned(const std::string& gateway, MonotonicTime begin, MonotonicTime end) const
      -> bool;
  auto CheckSuccess(const Entry& entry, const SeenAnswer& answer) -> void;
  auto CheckRefusal(Entry& entry, const SeenAnswer& answer, MonotonicTime now) -> void;
  auto CheckDenied(const Entry& entry, const SeenAnswer& answer, MonotonicTime now) -> void;
  auto CheckBrokenOff(const Entry& entry, MonotonicTime now, const std::string& how) -> void;
  auto CheckLate(const Entry& entry, MonotonicTime now) -> void;
  auto CheckPlace(const Entry& entry, const SeenArrival& arrival, MonotonicTime now) -> void;
  auto CheckPolicy(const Entry& entry, const SeenArrival& arrival, MonotonicTime now) -> void;
  auto CheckHome(const Entry& entry, const SeenArrival& arrival, MonotonicTime now) -> void;
  auto CheckTimeLeft(const Entry& entry, const SeenArrival& arrival, MonotonicTime now) -> void;
  auto CheckLimit(const Entry& entry, const SeenArrival& arrival, MonotonicTime now) -> void;
  auto CheckNotices(const Entry& entry, const SeenArrival& arrival, MonotonicTime now) -> void;
  auto CheckHarm(const Entry& entry, const SeenArrival& arrival, MonotonicTime now) -> void;
  auto CheckCold(const SeenArrival& arrival, MonotonicTime now) -> void;
  /// The configurations that may decide a request sent then.
  auto PoliciesFor(MonotonicTime sent, MonotonicTime now) const -> std::vector<const Policy*>;
  auto FinishRetries() -> void;
  auto FinishGone() -> void;
  auto FinishRecovery() -> void;
  auto FinishStranded() -> void;
  /// Some gateway that reaches targets is undisturbed.
  auto CanBeHelped(MonotonicTime now) const -> bool;

  PromiseBounds bounds_;
  TroubleLog troubles_;
  std::map<std::string, Entry> requests_;
  std::vector<Policy> policies_;
  std::map<std::string, MonotonicTime> leaving_;
  std::map<std::string, std::vector<Span>> evacuations_;
  std::map<std::string, std::vector<Span>> stranded_;  ///< By gateway.
  std::map<std::string, Process> processes_;
  std::map<std::pair<std::string, std::string>, Notices> notices_;      ///< By target and gateway.
  std::map<std::string, Limit> limits_;                                 ///< By target.
  std::map<std::string, std::deque<MonotonicTime>> cold_arrivals_;      ///< By target.
  std::map<std::string, std::vector<MonotonicTime>> repeats_;           ///< By service.
  std::map<std::string, std::vector<MonotonicTime>> service_requests_;  ///< By service.
  std::vector<MonotonicTime> harm_;  ///< When the harmful request ended targets.
  int late_harm_ = 0;                ///< Times that it was sent although it was known.
  HomeCounts home_counts_;
  std::size_t served_ = 0;
  std::size_t refused_ = 0;
  int timed_out_ = 0;
  int timed_out_late_ = 0;
  int with_deadline_ = 0;
  int over_deadline_ = 0;
  int gone_arrivals_ = 0;
  int dead_named_ = 0;
  std::map<int, int> rejected_;
  std::optional<MonotonicTime> recovered_;
  std::vector<Violation> violations_;
};

}  // namespace heatherspan
