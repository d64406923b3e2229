// Stand-ins for the review's cases: the platform's store, backends, clients and gateway processes.
// Only the standard library, POSIX sockets on loopback, and nlohmann-json, which the project uses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

inline auto SecondsSince(Clock::time_point from) -> double {
  return std::chrono::duration<double>(Clock::now() - from).count();
}
inline auto Sleep(double seconds) -> void {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

/// A loopback address of this process alone.
inline auto Address(int number) -> std::string {
  const int process = ::getpid();
  return "127." + std::to_string(process / 250 % 250 + 1) + "." +
         std::to_string(process % 250 + 1) + "." + std::to_string(number);
}

/// record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path), began_(Clock::now()) {}
  auto Line(const std::string& text) -> void {
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", SecondsSince(began_));
    file_ << time << text << '\n';
    file_.flush();
  }
  auto Say(const std::string& text) -> void {
    Line(text);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
  Clock::time_point began_;
};

inline auto SocketAddress(const std::string& address, int port) -> sockaddr_in {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, address.c_str(), &name.sin_addr);
  return name;
}

struct Message {
  std::string start;                           ///< Request line or status line.
  std::map<std::string, std::string> headers;  ///< Names in lower case.
  std::string body;
  auto Header(const std::string& name) const -> std::string {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  auto Word(int index) const -> std::string {
    std::size_t begin = 0;
    for (; index > 0; --index) {
      const auto space = start.find(' ', begin);
      if (space == std::string::npos) return "";
      begin = space + 1;
    }
    return start.substr(begin, start.find(' ', begin) - begin);
  }
};

/// A connected socket with blocking calls.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  static auto Open(const std::string& address, int port) -> std::unique_ptr<Connection> {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto name = SocketAddress(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0) {
      ::close(descriptor);
      return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
  }

  auto Send(std::string_view text) -> bool {
    while (!text.empty()) {
      const auto size = ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
      if (size <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }

  /// Whether the peer has closed, waiting up to that time.
  auto ClosedWithin(double seconds) -> bool {
    pollfd poll{descriptor_, POLLIN, 0};
    if (::poll(&poll, 1, static_cast<int>(seconds * 1000)) <= 0) return false;
    char byte = 0;
    return ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
  }

  /// Reads one message; empty at the end of the connection or after the time.
  auto Read(double seconds) -> std::optional<Message> {
    const auto until = Clock::now() + std::chrono::milliseconds(static_cast<long>(seconds * 1000));
    std::size_t head = std::string::npos;
    while ((head = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(until)) return std::nullopt;
    }
    Message message;
    std::size_t begin = 0;
    bool first = true;
    while (begin < head + 2) {
      const auto end = input_.find("\r\n", begin);
      const auto line = input_.substr(begin, end - begin);
      begin = end + 2;
      if (std::exchange(first, false)) {
        message.start = line;
        continue;
      }
      const auto colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (auto& c : name) c = static_cast<char>(std::tolower(c));
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    input_.erase(0, head + 4);
    const auto length =
        static_cast<std::size_t>(std::atoll(message.Header("content-length").c_str()));
    while (input_.size() < length) {
      if (!ReadMore(until)) return std::nullopt;
    }
    message.body = input_.substr(0, length);
    input_.erase(0, length);
    return message;
  }

  /// Closes with a reset.
  auto Reset() -> void {
    const linger hard{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    Close();
  }
  auto Shutdown() -> void { ::shutdown(descriptor_, SHUT_RDWR); }
  /// The last answer that a stand-in has sent on it.
  std::string last_answer;

  auto Close() -> void {
    if (descriptor_ >= 0) ::close(std::exchange(descriptor_, -1));
  }

 private:
  auto ReadMore(Clock::time_point until) -> bool {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
    if (left <= 0) return false;
    pollfd poll{descriptor_, POLLIN, 0};
    if (::poll(&poll, 1, static_cast<int>(left)) <= 0) return false;
    char buffer[65536];
    const auto size = ::recv(descriptor_, buffer, sizeof buffer, 0);
    if (size <= 0) return false;
    input_.append(buffer, static_cast<std::size_t>(size));
    return true;
  }

  int descriptor_;
  std::string input_;
};

/// Accepts connections and serves each on a thread of its own until Stop.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  Server(std::string address, int port, Handler handler)
      : address_(std::move(address)), handler_(std::move(handler)) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto name = SocketAddress(address_, port);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0 ||
        ::listen(listener_, 512) != 0) {
      std::printf("cannot listen on %s:%d\n", address_.c_str(), port);
      std::exit(2);
    }
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(listener_, reinterpret_cast<sockaddr*>(&bound), &size);
    port_ = ntohs(bound.sin_port);
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }

  auto address() const -> const std::string& { return address_; }
  auto port() const -> int { return port_; }
  auto Text() const -> std::string { return address_ + ":" + std::to_string(port_); }

  /// Closes the listener and all connections, as the end of the process would.
  auto Stop() -> void {
    if (stopped_.exchange(true)) return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    CloseAll();
    for (auto& thread : threads_) thread.join();
  }
  auto CloseAll() -> void {
    const std::lock_guard lock(mutex_);
    for (auto* connection : connections_) connection->Shutdown();
  }

 private:
  auto Accept() -> void {
    while (!stopped_) {
      const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (descriptor < 0) {
        if (stopped_) return;
        Sleep(0.01);
        continue;
      }
      threads_.emplace_back([this, descriptor] {
        Connection connection(descriptor);
        {
          const std::lock_guard lock(mutex_);
          connections_.push_back(&connection);
          if (stopped_) connection.Shutdown();
        }
        handler_(connection);
        const std::lock_guard lock(mutex_);
        connections_.remove(&connection);
      });
    }
  }

  const std::string address_;
  const Handler handler_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopped_{false};
  std::thread acceptor_;
  std::mutex mutex_;
  std::list<Connection*> connections_;
  std::list<std::thread> threads_;
};

inline auto Base64(const std::string& text) -> std::string {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j <= text.size() ? kDigits[bits >> (18 - 6 * j) & 63] : '=';
    }
  }
  return out;
}

/// The platform's store: listings, watches, writes and leases, as PROTOCOL.md tells them. Each
/// entry VM may have an address of its own, at which the store can turn it away or be slow.
class Store {
 public:
  /// How the store treats the calls at one address.
  struct Manner {
    std::atomic<bool> silent{false};  ///< Calls get no answer.
    std::atomic<bool> busy{false};    ///< 503: nothing was done.
    std::atomic<bool> reset{false};   ///< Connections are reset.
    std::atomic<int> delay_ms{4};     ///< The way to the store and back.
    std::atomic<int> link_mbps{0};    ///< Of the machine that calls; 0: no limit.
    std::atomic<int> answered{0};
    std::atomic<int> reads{0};  ///< Listings and watches that were asked for.
  };
  struct Door {
    Manner manner;
    std::unique_ptr<Server> server;
  };

  ~Store() {
    stopped_ = true;
    changed_.notify_all();
    for (auto& door : doors_) door->server->Stop();
  }

  auto AddDoor(const std::string& address) -> Door& {
    auto& door = *doors_.emplace_back(std::make_unique<Door>());
    door.server = std::make_unique<Server>(
        address, 0, [this, &door](Connection& connection) { Serve(connection, door.manner); });
    return door;
  }

  /// Changes that are older are dropped from the history.
  auto SetRetention(std::chrono::seconds time) -> void {
    const std::lock_guard lock(mutex_);
    retention_ = time;
  }
  auto Put(const std::string& key, const std::string& value, std::uint64_t lease = 0) -> void {
    const std::lock_guard lock(mutex_);
    PutLocked(key, Base64(value), lease);
  }
  auto Remove(const std::string& key) -> void {
    const std::lock_guard lock(mutex_);
    RemoveLocked(key);
  }
  auto Has(const std::string& key) -> bool {
    const std::lock_guard lock(mutex_);
    return items_.contains(key);
  }
  /// The drill: the store is back from a copy, the era rises, and revisions go back.
  auto Save() -> void {
    const std::lock_guard lock(mutex_);
    saved_items_ = items_;
    saved_revision_ = revision_;
    saved_leases_ = leases_;
  }
  auto Restore() -> void {
    {
      const std::lock_guard lock(mutex_);
      ++era_;
      items_ = saved_items_;
      revision_ = saved_revision_;
      history_.erase(history_.upper_bound(revision_), history_.end());
      leases_ = saved_leases_;
      for (auto& [id, end] : leases_) end = Clock::now() + kLease;
    }
    for (auto& door : doors_) door->server->CloseAll();
    changed_.notify_all();
  }

 private:
  static constexpr auto kLease = std::chrono::seconds(3);

  struct Item {
    std::string value;  ///< As base64 text.
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    std::uint64_t lease = 0;
  };

  static auto ItemJson(const std::string& key, const Item& item) -> Json {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"created", item.created},
            {"lease", item.lease}};
  }
  auto PutLocked(const std::string& key, const std::string& value, std::uint64_t lease) -> void {
    ++revision_;
    auto& item = items_[key];
    if (item.created == 0) item.created = revision_;
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    history_[revision_] = ItemJson(key, item);
    written_at_[revision_] = Clock::now();
    changed_.notify_all();
  }
  auto RemoveLocked(const std::string& key) -> void {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_[revision_] = {{"key", key}, {"revision", revision_}, {"tombstone", true}};
    written_at_[revision_] = Clock::now();
    changed_.notify_all();
  }
  auto ExpireLeases() -> void {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, end] : leases_) {
      if (end < Clock::now()) ended.push_back(id);
    }
    for (const auto id : ended) EndLease(id);
  }
  auto EndLease(std::uint64_t id) -> void {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
      if (item.lease == id) keys.push_back(key);
    }
    for (const auto& key : keys) RemoveLocked(key);
  }

  auto DropOldHistory() -> void {
    if (retention_ == std::chrono::seconds(0)) return;
    while (!written_at_.empty() && written_at_.begin()->second < Clock::now() - retention_) {
      dropped_ = written_at_.begin()->first;
      history_.erase(dropped_);
      written_at_.erase(written_at_.begin());
    }
  }

  static auto Parameter(const std::string& target, const std::string& name) -> std::string {
    for (const char mark : {'?', '&'}) {
      const auto found = target.find(mark + name + "=");
      if (found == std::string::npos) continue;
      const auto begin = found + name.size() + 2;
      return target.substr(begin, target.find('&', begin) - begin);
    }
    return "";
  }

  auto Serve(Connection& connection, Manner& manner) -> void {
    while (!stopped_) {
      const auto request = connection.Read(3600);
      if (!request.has_value()) return;
      if (request->Word(1).find("/kv-range") != std::string::npos ||
          request->Word(1).find("/kv-watch") != std::string::npos) {
        ++manner.reads;
      }
      if (manner.silent) {
        // A connection on which a response is lost returns nothing further.
        while (!stopped_ && !connection.ClosedWithin(0.2)) {
        }
        return;
      }
      Sleep(manner.delay_ms / 2000.0);
      if (manner.reset) {
        connection.Reset();
        return;
      }
      auto [status, body] = manner.busy ? std::pair(503, Json::object()) : Handle(*request);
      Sleep(manner.delay_ms / 2000.0);
      const auto text = body.dump();
      if (manner.link_mbps > 0) {
        Sleep(static_cast<double>(text.size()) * 8 / (manner.link_mbps * 1e6));
      }
      std::uint64_t era = 0;
      {
        const std::lock_guard lock(mutex_);
        era = era_;
      }
      if (!connection.Send(
              "HTTP/1.1 " + std::to_string(status) +
              " X\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(era) +
              "\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text)) {
        return;
      }
      ++manner.answered;
    }
  }

  auto Handle(const Message& request) -> std::pair<int, Json> {
    std::unique_lock lock(mutex_);
    ExpireLeases();
    const auto target = request.Word(1);
    const auto path = target.substr(0, target.find('?'));
    const auto number = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (path.ends_with("kv-range")) {
      auto items = Json::array();
      for (const auto& [key, item] : items_) items.push_back(ItemJson(key, item));
      return {200, {{"items", items}, {"has_more", false}, {"current_rev", revision_}}};
    }
    if (path.ends_with("kv-watch")) return Watch(target, lock);
    if (path.ends_with("kv-txn")) {
      const auto body = Json::parse(request.body, nullptr, false);
      for (const auto& put : body.value("puts", Json::array())) {
        const auto lease = put.value("lease", std::uint64_t{0});
        if (lease != 0 && !leases_.contains(lease)) return {404, Json::object()};
      }
      for (const auto& put : body.value("puts", Json::array())) {
        PutLocked(put.value("key", ""), put.value("value", ""),
                  put.value("lease", std::uint64_t{0}));
      }
      return {200, {{"revision", revision_}}};
    }
    if (path.ends_with("kv-lease")) {
      leases_[++last_lease_] = Clock::now() + kLease;
      return {200, {{"lease", last_lease_}, {"ttl_s_time", 3}}};
    }
    if (path.find("kv-lease-end/") != std::string::npos) {
      EndLease(number);
      return {200, Json::object()};
    }
    if (path.find("kv-keep/") != std::string::npos && leases_.contains(number)) {
      leases_[number] = Clock::now() + kLease;
      return {200, {{"ttl_s_time", 3}}};
    }
    return {404, Json::object()};
  }

  auto Watch(const std::string& target, std::unique_lock<std::mutex>& lock)
      -> std::pair<int, Json> {
    const auto after = std::strtoull(Parameter(target, "after").c_str(), nullptr, 10);
    const auto wait = std::strtoull(Parameter(target, "wait_ms").c_str(), nullptr, 10);
    const auto era = era_;
    DropOldHistory();
    if (after > revision_ || after < dropped_) return {410, Json::object()};
    const auto until = Clock::now() + std::chrono::milliseconds(wait);
    while (!stopped_ && era == era_ && revision_ <= after && Clock::now() < until) {
      changed_.wait_until(lock, std::min(until, Clock::now() + std::chrono::milliseconds(200)));
      ExpireLeases();
    }
    if (era != era_) return {503, Json::object()};
    auto events = Json::array();
    for (auto event = history_.upper_bound(after); event != history_.end(); ++event) {
      events.push_back(event->second);
    }
    return {200, {{"events", events}, {"current_rev", revision_}}};
  }

  std::atomic<bool> stopped_{false};
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::map<std::uint64_t, Json> history_;
  std::map<std::uint64_t, Clock::time_point> written_at_;
  std::chrono::seconds retention_{0};  ///< Zero: without end.
  std::uint64_t dropped_ = 0;          ///< The last revision that the history lacks.
  std::uint64_t revision_ = 1;
  std::uint64_t era_ = 1;
  std::uint64_t last_lease_ = 0;
  std::map<std::uint64_t, Clock::time_point> leases_;
  std::map<std::string, Item> saved_items_;
  std::uint64_t saved_revision_ = 1;
  std::map<std::uint64_t, Clock::time_point> saved_leases_;
  std::list<std::unique_ptr<Door>> doors_;
};

/// A backend: answers its health check, turns away requests for another instance, and leaves the
/// rest to the case.
class Backend {
 public:
  /// Serves one request; returns false to end the connection.
  using Work = std::function<bool(Backend& backend, const Message& request, Connection& caller)>;

  Backend(std::string name, std::string service, std::string zone, const std::string& address,
          int port, Work work)
      : name_(std::move(name)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        work_(std::move(work)),
        server_(address, port, [this](Connection& connection) { Serve(connection); }) {}

  auto name() const -> const std::string& { return name_; }
  auto service() const -> const std::string& { return service_; }
  auto Stop() -> void {
    stopped_ = true;
    server_.Stop();
  }
  auto stopped() const -> bool { return stopped_; }

  auto Entry(const std::string& state = "ready") const -> std::string {
    return Json{
        {"address", server_.Text()},
        {"born", 1700000000000},
        {"info",
         {{"service", service_}, {"version", "v1"}, {"zone", zone_}, {"max_concurrency", 3}}},
        {"status", {{"state", state}, {"sequence", 1}, {"cold_left_s", 0}}}}
        .dump();
  }
  auto Success(const Message& request, const std::string& body) const -> std::string {
    return "HTTP/1.1 200 OK\r\nHeatherspan-Request-Id: " +
           request.Header("heatherspan-request-id") + "\r\nHeatherspan-Response-Signature: sig-" +
           name_ + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  auto Serve(Connection& connection) -> void {
    while (!stopped_) {
      const auto request = connection.Read(60);
      if (!request.has_value()) return;
      if (request->Word(1) == "/health") {
        if (!connection.Send("HTTP/1.1 200 OK\r\nHeatherspan-Instance-Id: " + name_ +
                             "\r\nHeatherspan-Cold-Ms: 0\r\nContent-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      const auto expected = request->Header("heatherspan-expected-instance");
      if (!expected.empty() && expected != name_) {
        connection.Send(
            "HTTP/1.1 421 X\r\nHeatherspan-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (!work_(*this, *request, connection)) return;
    }
  }

  const std::string name_;
  const std::string service_;
  const std::string zone_;
  const Work work_;
  std::atomic<bool> stopped_{false};
  Server server_;
};

struct RouteSpec {
  std::string name;
  std::string kind;
  std::string service;
  double timeout_s = 3;
  double objective_s = 0.8;
};

/// The operator's configuration, as the store holds it under op/config.
inline auto Config(int version, const std::vector<RouteSpec>& routes,
                   std::size_t max_body_bytes = 1048576, double header_timeout_s = 10)
    -> std::string {
  auto resources = Json::array();
  std::map<std::string, bool> services;
  for (const auto& route : routes) {
    resources.push_back({{"type", "routes"},
                         {"metadata", {{"name", "r-" + route.name}}},
                         {"spec",
                          {{"host", "spikes.example"},
                           {"path_prefix", "/" + route.name + "/"},
                           {"kind", route.kind},
                           {"timeout_s", route.timeout_s},
                           {"latency_slo_s", route.objective_s},
                           {"priority", 1},
                           {"service", route.service},
                           {"max_attempts", 2},
                           {"session_affinity", false},
                           {"allowed_regions", Json::array()}}}});
    services[route.service] = true;
  }
  for (const auto& [service, unused] : services) {
    resources.push_back(
        {{"type", "services"},
         {"metadata", {{"name", service}}},
         {"spec",
          {{"health_path", "/health"}, {"max_conns", 330}, {"cold_s", 3}, {"cold_per_s", 3}}}});
  }
  resources.push_back({{"type", "limits"},
                       {"metadata", {{"name", "limits"}}},
                       {"spec",
                        {{"header_bytes", 16384},
                         {"max_body_bytes", max_body_bytes},
                         {"header_timeout_s", header_timeout_s},
                         {"idle_timeout_s", 30}}}});
  return Json{{"version", "r" + std::to_string(version)}, {"resources", resources}}.dump();
}

/// Ends the gateways that still run, also if the case is ended early.
class Children {
 public:
  static auto Add(pid_t id) -> void {
    static const bool installed = [] {
      std::atexit([] { KillAll(); });
      for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        std::signal(number, [](int) {
          KillAll();
          ::_exit(2);
        });
      }
      return true;
    }();
    static_cast<void>(installed);
    for (auto& slot : ids_) {
      pid_t none = 0;
      if (slot.compare_exchange_strong(none, id)) return;
    }
  }
  static auto Remove(pid_t id) -> void {
    for (auto& slot : ids_) {
      pid_t expected = id;
      slot.compare_exchange_strong(expected, 0);
    }
  }
  static auto KillAll() -> void {
    for (auto& slot : ids_) {
      if (const pid_t id = slot.exchange(0); id > 0) ::kill(id, SIGKILL);
    }
  }

 private:
  static inline std::array<std::atomic<pid_t>, 64> ids_{};
};

/// One gateway process, run as the deploy file says, with settings as its template gives them.
class Gateway {
 public:
  static constexpr int kCallers = 18641;
  static constexpr int kReadiness = 18640;
  static constexpr int kDirectory = 18644;
  static constexpr int kMetrics = 18620;
  static constexpr int kControl = 18649;

  Gateway(std::string folder, std::string name, std::string zone, std::string region,
          std::string address, std::string store, std::vector<std::string> seeds)
      : folder_(std::move(folder)), name_(std::move(name)), address_(std::move(address)) {
    std::ofstream file(folder_ + "/" + name_ + ".toml");
    const auto at = [&](int port) { return "\"" + address_ + ":" + std::to_string(port) + "\"\n"; };
    file << "[node]\nname = \"" << name_ << "\"\nzone = \"" << zone << "\"\nregion = \"" << region
         << "\"\ndescriptors = 4100\n[listen]\ncallers = " << at(kCallers)
         << "readiness = " << at(kReadiness) << "directory = " << at(kDirectory)
         << "metrics = " << at(kMetrics) << "[store]\naddress = \"" << store
         << "\"\nheartbeat_s = 1.5\n[peers]\nlisten = " << at(kControl) << "seeds = [";
    for (std::size_t i = 0; i < seeds.size(); ++i) {
      file << (i == 0 ? "" : ",") << '"' << seeds[i] << ':' << kControl << '"';
    }
    file << "]\n[bounds]\nretry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 58\n"
            "max_shift = 0.15\nstop_grace_s = 6\ndrain_s = 2.5\napply_s = 2.5\n"
            "[zones]\nsofia-a = \"sofia\"\nsofia-b = \"sofia\"\nplovdiv-a = \"plovdiv\"\n"
            "plovdiv-b = \"plovdiv\"\n";
  }
  ~Gateway() { Kill(); }

  auto name() const -> const std::string& { return name_; }
  auto address() const -> const std::string& { return address_; }
  auto id() const -> pid_t { return id_; }

  auto Start() -> void {
    const char* program = std::getenv("GATEWAY");
    std::string path = program == nullptr ? "target/bin/heatherspan-gateway" : program;
    std::string option = "--settings";
    std::string settings = folder_ + "/" + name_ + ".toml";
    const std::string log = folder_ + "/" + name_ + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    char* arguments[] = {path.data(), option.data(), settings.data(), nullptr};
    if (::posix_spawn(&id_, path.c_str(), &files, nullptr, arguments, environ) != 0) {
      std::printf("cannot start %s\n", path.c_str());
      std::exit(2);
    }
    posix_spawn_file_actions_destroy(&files);
    Children::Add(id_);
  }
  auto Signal(int number) const -> void {
    if (id_ > 0) ::kill(id_, number);
  }
  auto Kill() -> void {
    if (id_ <= 0) return;
    Children::Remove(id_);
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
    id_ = 0;
  }
  /// Whether the process has ended by itself.
  auto Ended() -> bool {
    if (id_ <= 0) return true;
    if (::waitpid(id_, nullptr, WNOHANG) != id_) return false;
    Children::Remove(id_);
    id_ = 0;
    return true;
  }
  auto Ready() const -> bool {
    const auto connection = Connection::Open(address_, kReadiness);
    if (connection == nullptr) return false;
    connection->Send("GET /heatherspan/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto answer = connection->Read(1);
    return answer.has_value() && answer->Word(1) == "200";
  }
  auto WaitReady(double seconds) const -> bool {
    const auto began = Clock::now();
    while (SecondsSince(began) < seconds) {
      if (Ready()) return true;
      Sleep(0.1);
    }
    return false;
  }
  /// Resident memory in MB.
  auto ResidentMb() const -> double {
    std::ifstream file("/proc/" + std::to_string(id_) + "/statm");
    long total = 0;
    long resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }

 private:
  const std::string folder_;
  const std::string name_;
  const std::string address_;
  pid_t id_ = 0;
};

/// The text of a client's request.
inline auto RequestText(const std::string& method, const std::string& path, const std::string& id,
                        int deadline_ms, const std::string& body = "") -> std::string {
  std::string text = method + " " + path + " HTTP/1.1\r\nHost: spikes.example\r\n" +
                     "Heatherspan-Request-Id: " + id +
                     "\r\nHeatherspan-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  if (method != "GET") text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + "\r\n" + body;
}

/// A folder for settings and logs, removed at the end.
class Folder {
 public:
  Folder() {
    auto pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    const char* made = ::mkdtemp(pattern.data());
    if (made == nullptr) std::exit(2);
    path_ = made;
  }
  ~Folder() {
    if (std::getenv("KEEP") != nullptr) return;
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  auto path() const -> const std::string& { return path_; }

 private:
  std::string path_;
};

inline auto WithTrouble() -> bool {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review
