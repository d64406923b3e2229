#include "target_stub.h"

#include "fmt/format.h"

namespace heatherspan {

TargetStub::TargetStub(std::string name, const HttpServer::Limits& limits)
    : name_(std::move(name)),
      server_(workers_, limits,
              [this](const HttpRequest& request, const HttpServer::Responder& respond) {
                Handle(request, respond);
              }) {
  endpoint_ = *server_.Listen({"127.0.0.1", 0});
  SetBehaviour([](const HttpRequest& request, const HttpServer::Responder& respond) {
    HttpResponse response;
    response.headers = {
        {"Heatherspan-Response-Signature", "sig"},
        {"Heatherspan-Request-Id", std::string(request.Header("Heatherspan-Request-Id"))},
        {"Heatherspan-Backend-Load", "1,0,3"}};
    response.body = "answer";
    respond(std::move(response));
  });
}

auto TargetStub::Registration(const std::string& state) const -> std::string {
  return RegistrationAt(endpoint_, state);
}

auto TargetStub::RegistrationAt(const Endpoint& endpoint, const std::string& state) -> std::string {
  return fmt::format(
      R"({{"address":"{}","info":{{"service":"s","version":"v1","zone":"a","max_concurrency":3}},)"
      R"("status":{{"state":"{}","sequence":1,"cold_left_s":0}}}})",
      endpoint.Text(), state);
}

auto TargetStub::SetBehaviour(Behaviour behaviour) -> void {
  const std::lock_guard lock(mutex_);
  behaviour_ = std::move(behaviour);
}

auto TargetStub::Hold(const HttpServer::Responder& respond) -> void {
  const std::lock_guard lock(mutex_);
  held_.push_back(respond);
}

auto TargetStub::Requests() const -> std::vector<HttpRequest> {
  const std::lock_guard lock(mutex_);
  return requests_;
}

auto TargetStub::Disconnects() const -> int {
  const std::lock_guard lock(mutex_);
  return disconnects_;
}

auto TargetStub::Handle(const HttpRequest& request, const HttpServer::Responder& respond) -> void {
  Behaviour behaviour;
  {
    const std::lock_guard lock(mutex_);
    requests_.push_back(request);
    behaviour = behaviour_;
  }
  request.disconnect->on_disconnect = [this] {
    const std::lock_guard lock(mutex_);
    ++disconnects_;
  };
  behaviour(request, respond);
}

}  // namespace heatherspan
