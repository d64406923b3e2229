#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "soak/promise_ledger.h"

namespace heatherspan {

inline constexpr MonotonicTime kLedgerStart = MonotonicTime(std::chrono::seconds(1000));

/// Each test guards against a check of the soak that can't fail.
class PromiseLedgerTest : public testing::Test {
 protected:
  PromiseLedgerTest() {
    PolicyFacts facts;
    facts.services = {{"read", "alpha"}, {"book", "beta"}, {"moving", "alpha"}, {"home", "alpha"}};
    facts.regions = {{"home", "east"}};
    ledger_.OnPolicy(facts, kLedgerStart - std::chrono::seconds(100));
    ledger_.OnProcessStart("edge", kLedgerStart - std::chrono::seconds(100));
  }

  auto Send(const std::string& id, const std::string& route = "book", Duration at = {},
            const std::function<void(SentRequest&)>& change = {}) -> void {
    SentRequest request;
    request.id = id;
    request.gateway = "edge";
    request.route = route;
    request.method = "POST";
    request.target = "/" + route + "/1/50";
    request.at_most_once = route == "book";
    request.patience = std::chrono::milliseconds(2500);
    request.route_timeout = std::chrono::milliseconds(1500);
    if (change) change(request);
    ledger_.OnSent(request, kLedgerStart + at);
  }

  auto Arrive(const std::string& id, const std::string& route = "book", Duration at = {},
              const std::string& target = "i-1") -> void {
    SeenArrival arrival;
    arrival.id = id;
    arrival.target_name = target;
    arrival.service = route == "book" ? "beta" : "alpha";
    arrival.zone = "east-a";
    arrival.region = "east";
    arrival.method = "POST";
    arrival.target = "/" + route + "/1/50";
    arrival.time_left = std::chrono::milliseconds(1000);
    arrival.runs = arrives_to_run_;
    arrival.work = work_;
    Change(arrival);
    ledger_.OnArrival(arrival, kLedgerStart + at);
  }

  auto Answer(const std::string& id, int status, Duration at = std::chrono::milliseconds(100),
              const std::string& signature = "") -> void {
    ledger_.OnAnswer(id,
                     {status, id, signature,
                      signature.empty() ? "" : PromiseLedger::ExpectedBody(signature, id)},
                     kLedgerStart + at);
  }

  auto Broken() -> std::vector<std::string> {
    std::vector<std::string> promises;
    for (const auto& violation : ledger_.violations()) promises.push_back(violation.promise);
    return promises;
  }

  auto BrokenAtTheEnd() -> std::vector<std::string> {
    ledger_.Finish();
    return Broken();
  }

  bool arrives_to_run_ = true;  ///< Otherwise targets refuse requests.
  PromiseLedger ledger_{PromiseBounds{}};
  Duration work_ = std::chrono::milliseconds(50);
  std::function<void(SeenArrival&)> change_;

 private:
  auto Change(SeenArrival& arrival) -> void {
    if (change_) change_(arrival);
  }
};

}  // namespace heatherspan
