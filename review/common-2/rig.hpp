// Stand-ins of the store, the targets and the clients, and the start of the project's program, for the
// scripts of this review. Plain sockets and threads; nothing of the project's libraries.
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

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

extern char** environ;

namespace rig {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;
using std::string;

inline const Clock::time_point g_start = Clock::now();
inline double Now() { return std::chrono::duration<double>(Clock::now() - g_start).count(); }
inline void Sleep(double s) {
  if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void SleepUntil(double t) { Sleep(t - Now()); }

// ---- record.txt
inline std::mutex g_record_mutex;
inline std::ofstream g_record;
inline void OpenRecord(const string& path) { g_record.open(path, std::ios::trunc); }
inline void Record(const string& text) {
  std::lock_guard lock(g_record_mutex);
  char at[32];
  std::snprintf(at, sizeof at, "%8.3f ", Now());
  g_record << at << text << '\n';
  g_record.flush();
}
template <class... A>
inline string F(const char* format, A... a) {
  char text[4096];
  std::snprintf(text, sizeof text, format, a...);
  return text;
}

// ---- addresses: loopback addresses of this process alone
inline string Ip(int number) {
  const int pid = getpid();
  return F("127.%d.%d.%d", 10 + pid / 240 % 200, 1 + pid % 240, number);
}
struct Address {
  string ip;
  int port = 0;
  string Text() const { return ip + ":" + std::to_string(port); }
};

// ---- sockets
inline sockaddr_in ToSock(const Address& a) {
  sockaddr_in s{};
  s.sin_family = AF_INET;
  s.sin_port = htons(static_cast<uint16_t>(a.port));
  inet_pton(AF_INET, a.ip.c_str(), &s.sin_addr);
  return s;
}
inline int Connect(const Address& to, double timeout_s = 1.0) {
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  fcntl(fd, F_SETFL, O_NONBLOCK);
  auto s = ToSock(to);
  int r = connect(fd, reinterpret_cast<sockaddr*>(&s), sizeof s);
  if (r != 0 && errno == EINPROGRESS) {
    pollfd p{fd, POLLOUT, 0};
    int error = 0;
    socklen_t n = sizeof error;
    if (poll(&p, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &n) != 0 || error != 0) {
      close(fd);
      return -1;
    }
  } else if (r != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, 0);
  int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}
inline bool SendAll(int fd, const string& text) {
  size_t at = 0;
  while (at < text.size()) {
    auto n = send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (n <= 0) return false;
    at += static_cast<size_t>(n);
  }
  return true;
}
/// Reads some bytes until the time; 0: end, -1: error or time-out (errno ETIMEDOUT).
inline ssize_t ReadSome(int fd, string& into, double until) {
  const double left = until - Now();
  pollfd p{fd, POLLIN, 0};
  if (left <= 0 || poll(&p, 1, static_cast<int>(left * 1000) + 1) <= 0) {
    errno = ETIMEDOUT;
    return -1;
  }
  char buffer[65536];
  auto n = recv(fd, buffer, sizeof buffer, 0);
  if (n > 0) into.append(buffer, static_cast<size_t>(n));
  return n;
}

// ---- HTTP
struct Message {
  string start;  // first line
  string method, target;
  int status = 0;
  std::vector<std::pair<string, string>> headers;
  string body;
  string Header(const string& name) const {
    for (auto& [k, v] : headers)
      if (strcasecmp(k.c_str(), name.c_str()) == 0) return v;
    return "";
  }
};
inline bool ParseHead(const string& head, Message& m) {
  std::istringstream in(head);
  string line;
  if (!std::getline(in, line)) return false;
  if (!line.empty() && line.back() == '\r') line.pop_back();
  m.start = line;
  while (std::getline(in, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    auto c = line.find(':');
    if (c == string::npos) continue;
    auto v = line.substr(c + 1);
    v.erase(0, v.find_first_not_of(" \t"));
    m.headers.emplace_back(line.substr(0, c), v);
  }
  std::istringstream first(m.start);
  string a, b;
  first >> a >> b;
  if (a.rfind("HTTP/", 0) == 0) {
    m.status = std::atoi(b.c_str());
  } else {
    m.method = a;
    m.target = b;
  }
  return !b.empty();
}
/// Reads one message with a length (or none). `buffer` keeps what follows it. Chunked is read as well.
inline bool ReadMessage(int fd, string& buffer, Message& m, double until) {
  size_t end;
  while ((end = buffer.find("\r\n\r\n")) == string::npos)
    if (ReadSome(fd, buffer, until) <= 0) return false;
  m = Message();
  if (!ParseHead(buffer.substr(0, end + 2), m)) return false;
  buffer.erase(0, end + 4);
  if (strcasecmp(m.Header("Transfer-Encoding").c_str(), "chunked") == 0) {
    while (true) {
      size_t nl;
      while ((nl = buffer.find("\r\n")) == string::npos)
        if (ReadSome(fd, buffer, until) <= 0) return false;
      const size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
      while (buffer.size() < nl + 2 + size + 2)
        if (ReadSome(fd, buffer, until) <= 0) return false;
      m.body.append(buffer, nl + 2, size);
      buffer.erase(0, nl + 2 + size + 2);
      if (size == 0) return true;
    }
  }
  const size_t length = std::strtoul(m.Header("Content-Length").c_str(), nullptr, 10);
  while (buffer.size() < length)
    if (ReadSome(fd, buffer, until) <= 0) return false;
  m.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return true;
}
/// The same, but looks every 20 ms whether to stop before the message has begun.
template <class Stop>
bool ReadMessageOr(int fd, string& buffer, Message& m, double until, Stop stop) {
  while (buffer.empty()) {
    if (stop()) return false;
    const auto n = ReadSome(fd, buffer, std::min(until, Now() + 0.02));
    if (n == 0 || (n < 0 && (errno != ETIMEDOUT || Now() >= until))) return false;
  }
  if (stop()) return false;
  return ReadMessage(fd, buffer, m, until);
}
inline string Answer(int status, const string& body,
                     const std::vector<std::pair<string, string>>& headers = {}) {
  string text = F("HTTP/1.1 %d Status\r\n", status);
  for (auto& [k, v] : headers) text += k + ": " + v + "\r\n";
  return text + F("Content-Length: %zu\r\n\r\n", body.size()) + body;
}

/// Which of the processes holds the other end of an accepted loopback connection; 0 if none.
inline pid_t OwnerOf(int fd, const std::vector<pid_t>& processes) {
  sockaddr_in peer{}, own{};
  socklen_t n = sizeof peer;
  getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &n);
  n = sizeof own;
  getsockname(fd, reinterpret_cast<sockaddr*>(&own), &n);
  const auto local = F("%08X:%04X", peer.sin_addr.s_addr, ntohs(peer.sin_port));
  const auto remote = F("%08X:%04X", own.sin_addr.s_addr, ntohs(own.sin_port));
  std::ifstream table("/proc/net/tcp");
  string line, inode;
  while (std::getline(table, line)) {
    std::istringstream in(line);
    string sl, l, r, st, queues, timers, retransmits, uid, timeout, i;
    in >> sl >> l >> r >> st >> queues >> timers >> retransmits >> uid >> timeout >> i;
    if (l == local && r == remote) inode = "socket:[" + i + "]";
  }
  if (inode.empty()) return 0;
  for (auto pid : processes) {
    std::error_code error;
    for (auto& entry : std::filesystem::directory_iterator(F("/proc/%d/fd", pid), error))
      if (std::filesystem::read_symlink(entry.path(), error) == inode) return pid;
  }
  return 0;
}
/// Closes with a reset.
inline void Reset(int fd) {
  linger l{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}

// ---- a server: one thread a connection
class Server {
 public:
  using OnConnection = std::function<void(int fd)>;
  Server(Address at, OnConnection on) : at_(at), on_(std::move(on)) {}
  ~Server() { Stop(); }
  bool Listen() {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    auto s = ToSock(at_);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&s), sizeof s) != 0 || listen(fd_, 1024) != 0) {
      close(fd_);
      fd_ = -1;
      return false;
    }
    stopping_ = false;
    thread_ = std::thread([this] { Run(); });
    return true;
  }
  /// Closes the listener; `abort`: resets all connections, as a machine whose process has been killed.
  void Stop() {
    stopping_ = true;
    if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
    if (thread_.joinable()) thread_.join();
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
    CloseAll();
    while (open_.load() > 0) Sleep(0.002);
  }
  void CloseAll() {
    std::lock_guard lock(mutex_);
    for (int c : connections_) shutdown(c, SHUT_RDWR);
  }
  const Address& at() const { return at_; }

 private:
  void Run() {
    while (!stopping_) {
      pollfd p{fd_, POLLIN, 0};
      if (poll(&p, 1, 100) <= 0) continue;
      int c = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (c < 0) continue;
      int one = 1;
      setsockopt(c, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        std::lock_guard lock(mutex_);
        connections_.insert(c);
      }
      ++open_;
      std::thread([this, c] {
        on_(c);
        {
          std::lock_guard lock(mutex_);
          connections_.erase(c);
        }
        close(c);
        --open_;
      }).detach();
    }
  }
  Address at_;
  OnConnection on_;
  int fd_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<int> open_{0};
  std::mutex mutex_;
  std::set<int> connections_;
  std::thread thread_;
};

// ---- base64
inline string Encode64(const string& in) {
  static const char* t = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  string out;
  size_t i = 0;
  for (; i + 2 < in.size(); i += 3) {
    unsigned v = static_cast<unsigned char>(in[i]) << 16 | static_cast<unsigned char>(in[i + 1]) << 8 |
                 static_cast<unsigned char>(in[i + 2]);
    for (int s = 18; s >= 0; s -= 6) out += t[v >> s & 63];
  }
  if (i < in.size()) {
    unsigned v = static_cast<unsigned char>(in[i]) << 16;
    const bool two = i + 1 < in.size();
    if (two) v |= static_cast<unsigned char>(in[i + 1]) << 8;
    out += t[v >> 18 & 63];
    out += t[v >> 12 & 63];
    out += two ? t[v >> 6 & 63] : '=';
    out += '=';
  }
  return out;
}
inline string Decode64(const string& in) {
  string out;
  unsigned v = 0;
  int bits = 0;
  for (char c : in) {
    int d = c >= 'A' && c <= 'Z'   ? c - 'A'
            : c >= 'a' && c <= 'z' ? c - 'a' + 26
            : c >= '0' && c <= '9' ? c - '0' + 52
            : c == '+'             ? 62
            : c == '/'             ? 63
                                   : -1;
    if (d < 0) break;
    v = v << 6 | static_cast<unsigned>(d);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      out += static_cast<char>(v >> bits & 255);
    }
  }
  return out;
}
inline string Unescape(const string& in) {
  string out;
  for (size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(std::strtol(in.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}
inline std::map<string, string> Query(const string& target) {
  std::map<string, string> q;
  auto at = target.find('?');
  if (at == string::npos) return q;
  std::istringstream in(target.substr(at + 1));
  string part;
  while (std::getline(in, part, '&')) {
    auto e = part.find('=');
    if (e != string::npos) q[part.substr(0, e)] = Unescape(part.substr(e + 1));
  }
  return q;
}

// ---- the platform's store (PROTOCOL.md, "The platform's metadata store")
class Store {
 public:
  struct Item {
    string value;
    uint64_t revision = 0, created = 0, lease = 0;
  };
  struct Copy {
    std::map<string, Item> items;
    uint64_t revision = 0;
  };

  explicit Store(Address at) : server_(at, [this](int fd) { Serve(fd); }) {
    expiry_ = std::thread([this] {
      while (!stopped_) {
        Sleep(0.02);
        Expire();
      }
    });
  }
  ~Store() {
    stopped_ = true;
    changed_.notify_all();
    expiry_.join();
    for (auto& other : others_) other->Stop();
    server_.Stop();
  }
  bool Listen() { return server_.Listen(); }
  const Address& at() const { return server_.at(); }
  /// Another address of the store. What is read there names the second text in place of the first: the
  /// addresses by which one machine reaches the others, so that the path can be cut.
  bool ListenFor(Address at, std::vector<std::pair<string, string>> paths) {
    others_.push_back(std::make_unique<Server>(at, [this, paths](int fd) { Serve(fd, paths); }));
    return others_.back()->Listen();
  }

  uint64_t Put(const string& key, const string& value, uint64_t lease = 0) {
    std::lock_guard lock(mutex_);
    return PutLocked(key, value, lease);
  }
  void Remove(const string& key) {
    std::lock_guard lock(mutex_);
    RemoveLocked(key);
  }
  bool Has(const string& key) {
    std::lock_guard lock(mutex_);
    return items_.contains(key);
  }
  /// silent: takes calls and answers nothing; busy: 503 at once.
  enum class Mode { kUp, kSilent, kBusy };
  void SetMode(Mode mode) {
    {
      std::lock_guard lock(mutex_);
      mode_ = mode;
    }
    changed_.notify_all();
    if (mode != Mode::kUp) server_.CloseAll();
  }
  Copy Snapshot() {
    std::lock_guard lock(mutex_);
    return {items_, revision_};
  }
  /// The store comes back from an older copy: leases and what the system wrote since are gone, the era
  /// rises by one.
  void Restore(const Copy& copy) {
    std::lock_guard lock(mutex_);
    items_ = copy.items;
    // Leases are gone, and with them their keys.
    for (auto it = items_.begin(); it != items_.end();) it = it->second.lease != 0 ? items_.erase(it) : ++it;
    leases_.clear();
    revision_ = copy.revision;
    history_.clear();
    history_start_ = revision_;
    ++era_;
    changed_.notify_all();
  }
  /// Called (without the lock) for each call that the store answers.
  std::function<void(const Message&, int status)> on_call;

 private:
  struct Lease {
    double ttl = 0, until = 0;
  };
  uint64_t PutLocked(const string& key, const string& value, uint64_t lease) {
    auto& item = items_[key];
    ++revision_;
    if (item.created == 0) item.created = revision_;
    item.value = value;
    item.revision = revision_;
    item.lease = lease;
    history_[revision_] = ItemJson(key, item);
    changed_.notify_all();
    return revision_;
  }
  void RemoveLocked(const string& key) {
    if (items_.erase(key) == 0) return;
    ++revision_;
    history_[revision_] = Json{{"key", key}, {"revision", revision_}, {"tombstone", true}};
    changed_.notify_all();
  }
  static Json ItemJson(const string& key, const Item& item) {
    return {{"key", key},         {"value", Encode64(item.value)}, {"revision", item.revision},
            {"created", item.created}, {"lease", item.lease}};
  }
  void Expire() {
    std::lock_guard lock(mutex_);
    if (mode_ != Mode::kUp) {
      // Leases pause while the store is down.
      for (auto& [id, lease] : leases_) lease.until += 0.02;
      return;
    }
    std::vector<uint64_t> ended;
    for (auto& [id, lease] : leases_)
      if (lease.until < Now()) ended.push_back(id);
    for (auto id : ended) EndLocked(id);
  }
  void EndLocked(uint64_t id) {
    leases_.erase(id);
    std::vector<string> keys;
    for (auto& [key, item] : items_)
      if (item.lease == id) keys.push_back(key);
    for (auto& key : keys) RemoveLocked(key);
  }
  using Paths = std::vector<std::pair<string, string>>;
  static void Replace(Json& item, const Paths& paths) {
    if (!item.contains("value")) return;
    auto value = Decode64(item["value"].get<string>());
    for (auto& [from, to] : paths)
      if (auto at = value.find(from); at != string::npos) value.replace(at, from.size(), to);
    item["value"] = Encode64(value);
  }
  void Serve(int fd, const Paths& paths = {}) {
    string buffer;
    Message m;
    while (ReadMessage(fd, buffer, m, Now() + 60)) {
      int status = 200;
      Json body;
      std::optional<string> answer = Handle(m, status, body);
      if (answer && status == 200 && !paths.empty() && (body.contains("items") || body.contains("events"))) {
        for (const char* list : {"items", "events"})
          if (body.contains(list))
            for (auto& item : body[list]) Replace(item, paths);
        answer = Answer(200, body.dump(), {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}});
      }
      if (on_call) on_call(m, answer ? status : 0);
      if (!answer) {  // silent: a connection on which a response is lost returns nothing further
        string rest;
        while (!stopped_ && ReadSome(fd, rest, Now() + 0.1) != 0)
          if (errno != ETIMEDOUT) break;
        return;
      }
      if (!SendAll(fd, *answer)) return;
    }
  }
  std::optional<string> Handle(const Message& m, int& status, Json& body) {
    std::unique_lock lock(mutex_);
    if (mode_ == Mode::kSilent) return std::nullopt;
    const auto reply = [&](int s, const Json& b) {
      status = s;
      body = b;
      return Answer(s, b.dump(),
                    {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}});
    };
    if (mode_ == Mode::kBusy) return reply(503, Json::object());
    auto q = Query(m.target);
    const auto path = m.target.substr(0, m.target.find('?'));
    const auto last = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    if (path == "/heatherspan/kv-key") {
      auto it = items_.find(q["key"]);
      if (it == items_.end()) return reply(404, {{"current_rev", revision_}});
      auto json = ItemJson(it->first, it->second);
      json["current_rev"] = revision_;
      return reply(200, json);
    }
    if (path == "/heatherspan/kv-range") {
      auto items = Json::array();
      bool more = false;
      for (auto& [key, item] : items_) {
        if (key.rfind(q["path_prefix"], 0) != 0 || (q.contains("after") && key <= q["after"])) continue;
        if (items.size() == 500) {
          more = true;
          break;
        }
        items.push_back(ItemJson(key, item));
      }
      return reply(200, {{"items", items}, {"has_more", more}, {"current_rev", revision_}});
    }
    if (path == "/heatherspan/kv-watch") {
      const auto after = std::strtoull(q["after"].c_str(), nullptr, 10);
      const double until = Now() + std::strtod(q["wait_ms"].c_str(), nullptr) / 1000;
      const auto era = era_;
      if (after > revision_ || after < history_start_) return reply(410, Json::object());
      while (revision_ <= after && Now() < until && mode_ == Mode::kUp && era == era_ && !stopped_)
        changed_.wait_for(lock, std::chrono::duration<double>(std::min(0.1, until - Now())));
      if (mode_ == Mode::kSilent) return std::nullopt;
      if (mode_ == Mode::kBusy) return reply(503, Json::object());
      if (era != era_) return reply(410, Json::object());
      auto events = Json::array();
      for (auto e = history_.upper_bound(after); e != history_.end(); ++e) events.push_back(e->second);
      return reply(200, {{"events", events}, {"current_rev", revision_}});
    }
    if (path == "/heatherspan/kv-txn") {
      const auto json = Json::parse(m.body, nullptr, false);
      if (json.is_discarded()) return reply(400, Json::object());
      auto failed = Json::array();
      bool holds = true;
      for (auto& row : json.value("expected", Json::array())) {
        const auto key = row.at("key").get<string>();
        auto it = items_.find(key);
        const uint64_t revision = it == items_.end() ? 0 : it->second.revision;
        if (revision != row.at("revision").get<uint64_t>()) holds = false;
        if (it != items_.end()) failed.push_back(ItemJson(key, it->second));
      }
      if (!holds) return reply(412, {{"items", failed}});
      for (auto& put : json.value("puts", Json::array())) {
        const auto key = put.at("key").get<string>();
        if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) return reply(403, Json::object());
        const auto lease = put.value("lease", uint64_t{0});
        if (lease != 0 && !leases_.contains(lease)) return reply(404, Json::object());
      }
      for (auto& put : json.value("puts", Json::array()))
        PutLocked(put.at("key").get<string>(), Decode64(put.at("value").get<string>()),
                  put.value("lease", uint64_t{0}));
      for (auto& key : json.value("remove", Json::array())) RemoveLocked(key.get<string>());
      return reply(200, {{"revision", revision_}});
    }
    if (path == "/heatherspan/kv-lease") {
      const auto json = Json::parse(m.body, nullptr, false);
      const double ttl = std::clamp(json.value("ttl_s_time", 3.0), 1.0, 600.0);
      const auto id = ++last_lease_;
      leases_[id] = {ttl, Now() + ttl};
      return reply(200, {{"lease", id}, {"ttl_s_time", ttl}});
    }
    if (path.rfind("/heatherspan/kv-keep/", 0) == 0) {
      if (!leases_.contains(last)) return reply(404, Json::object());
      leases_[last].until = Now() + leases_[last].ttl;
      return reply(200, {{"lease", last}, {"ttl_s_time", leases_[last].ttl}});
    }
    if (path.rfind("/heatherspan/kv-lease-end/", 0) == 0) {
      if (!leases_.contains(last)) return reply(404, Json::object());
      EndLocked(last);
      return reply(200, Json::object());
    }
    return reply(404, Json::object());
  }

  Server server_;
  std::vector<std::unique_ptr<Server>> others_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<string, Item> items_;
  std::map<uint64_t, Json> history_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 1, history_start_ = 0, last_lease_ = 0, era_ = 1;
  Mode mode_ = Mode::kUp;
  std::atomic<bool> stopped_{false};
  std::thread expiry_;
};

// ---- a path between two machines: carries bytes, or, while it is cut, nothing
class Path {
 public:
  Path(Address at, Address to) : server_(at, [this](int fd) { Carry(fd); }), to_(std::move(to)) {}
  bool Listen() { return server_.Listen(); }
  const Address& at() const { return server_.at(); }
  std::atomic<bool> cut{false};

 private:
  void Carry(int fd) {
    int other = -1;
    if (!cut) other = Connect(to_);
    // A connection that is opened during the cut hangs; one that lives on stays silent.
    bool open = other >= 0 || cut;
    while (open) {
      if (cut) {
        Sleep(0.01);
        pollfd p{fd, 0, 0};
        if (poll(&p, 1, 0) > 0 && (p.revents & (POLLHUP | POLLERR)) != 0) break;
        continue;
      }
      if (other < 0) break;
      pollfd p[2]{{fd, POLLIN, 0}, {other, POLLIN, 0}};
      if (poll(p, 2, 10) <= 0) continue;
      for (int i = 0; i < 2 && open; ++i) {
        if (p[i].revents == 0) continue;
        char buffer[65536];
        const auto n = recv(p[i].fd, buffer, sizeof buffer, 0);
        open = n > 0 && SendAll(p[1 - i].fd, string(buffer, static_cast<size_t>(n)));
      }
    }
    if (other >= 0) close(other);
  }
  Server server_;
  const Address to_;
};

// ---- a target (PROTOCOL.md, "Backends")
struct Arrival {
  double at = 0;
  string target, id, method, path, tenant, deadline;
  bool ran = false;
  int status = 0;
};
inline std::mutex g_arrivals_mutex;
inline std::vector<Arrival> g_arrivals;

class Target {
 public:
  /// Given the request (not a health question), returns the answer as it goes over the wire; "" closes the
  /// connection without an answer.
  using Behaviour = std::function<string(Target&, const Message&, Arrival&)>;
  Target(string name, string service, string zone, Address at)
      : name_(std::move(name)),
        service_(std::move(service)),
        zone_(std::move(zone)),
        server_(at, [this](int fd) { Serve(fd); }) {}
  bool Listen() { return server_.Listen(); }
  void Stop() { server_.Stop(); }
  const string& name() const { return name_; }
  const Address& at() const { return server_.at(); }

  string Entry() const {
    return Json{{"address", server_.at().Text()},
                {"born", born_},
                {"info",
                 {{"service", service_}, {"version", "v1"}, {"zone", zone_}, {"max_concurrency", slots}}},
                {"status", {{"state", state}, {"sequence", ++sequence_}, {"cold_left_s", 0}}}}
        .dump();
  }
  void Register(Store& store) { store.Put("servers/" + name_, Entry()); }

  int slots = 3;
  double work_s = 0.02;
  string state = "ready";
  Behaviour behaviour;
  std::vector<std::pair<string, string>> extra;  // fields in all answers
  /// Whether the path between the target and the process at the other end is cut. Connections are reset.
  static inline std::function<bool(pid_t, const string& zone)> is_cut;
  static inline std::vector<pid_t> processes;
  static inline std::mutex processes_mutex;
  static void SetProcesses(std::vector<pid_t> ids) {
    std::lock_guard lock(processes_mutex);
    processes = std::move(ids);
  }
  static inline std::atomic<bool> cuts{false};
  std::mutex mutex;

  std::vector<std::pair<string, string>> Fields(const Message& m, bool is_signed = true) {
    std::vector<std::pair<string, string>> fields{
        {"Heatherspan-Request-Id", m.Header("Heatherspan-Request-Id")},
        {"Heatherspan-Backend-Load", F("%d,0,%d", running_.load(), slots)}};
    if (is_signed) fields.emplace_back("Heatherspan-Response-Signature", "sig." + name_);
    std::lock_guard lock(mutex);
    for (auto& f : extra) fields.push_back(f);
    return fields;
  }
  string Refusal(const Message& m, int status, std::vector<std::pair<string, string>> more = {}) {
    auto fields = Fields(m, false);
    fields.emplace_back("Heatherspan-Not-Executed", "1");
    for (auto& f : more) fields.push_back(f);
    return rig::Answer(status, "", fields);
  }

 private:
  void Serve(int fd) {
    string buffer;
    Message m;
    pid_t owner = 0;
    if (is_cut) {
      std::vector<pid_t> ids;
      {
        std::lock_guard lock(processes_mutex);
        ids = processes;
      }
      owner = OwnerOf(fd, ids);
    }
    const auto cut = [&] {
      if (!is_cut || !cuts || !is_cut(owner, zone_)) return false;
      Reset(fd);
      return true;
    };
    if (cut()) return;
    while (ReadMessageOr(fd, buffer, m, Now() + 10, cut)) {
      if (m.target == "/health") {
        auto fields = Fields(m, false);
        fields.emplace_back("Heatherspan-Instance-Id", name_);
        if (!SendAll(fd, rig::Answer(state == "ready" ? 200 : 503, "", fields))) return;
        continue;
      }
      Arrival a{Now(), name_, m.Header("Heatherspan-Request-Id"), m.method, m.target,
                m.Header("Heatherspan-Tenant-Id"), m.Header("Heatherspan-Deadline-Ms")};
      string answer;
      const auto expected = m.Header("Heatherspan-Expected-Instance");
      if (!expected.empty() && expected != name_) {
        answer = Refusal(m, 421);
        a.status = 421;
      } else if (behaviour) {
        answer = behaviour(*this, m, a);
      } else if (running_.fetch_add(1) >= 4 * slots) {
        --running_;
        answer = Refusal(m, 503);
        a.status = 503;
      } else {
        a.ran = true;
        a.status = 200;
        Sleep(work_s);
        answer = rig::Answer(200, "body of " + name_ + " for " + a.id, Fields(m));
        --running_;
      }
      {
        std::lock_guard lock(g_arrivals_mutex);
        g_arrivals.push_back(a);
      }
      Record(F("target %s got %s %s id=%s tenant=%s ran=%d status=%d", name_.c_str(), a.method.c_str(),
               a.path.c_str(), a.id.c_str(), a.tenant.c_str(), a.ran, a.status));
      if (answer.empty() || cut()) return;
      if (!SendAll(fd, answer)) return;
    }
    cut();
  }
  const string name_, service_, zone_;
  mutable uint64_t sequence_ = 0;
  const long long born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
  std::atomic<int> running_{0};
  Server server_;
};

// ---- a client's attempt on a new connection
struct Reply {
  int status = 0;  // 0: no answer
  Message message;
  double sent = 0, ended = 0;
  string error;
};
inline std::atomic<int> g_ids{0};
inline string NewId() { return F("%08x%08x", getpid(), ++g_ids); }
inline Reply Ask(const Address& to, const string& method, const string& host, const string& path,
                 const string& id, int deadline_ms,
                 const std::vector<std::pair<string, string>>& headers = {}, const string& body = "") {
  Reply r;
  int fd = Connect(to);
  r.sent = Now();
  if (fd < 0) {
    r.error = "no connection";
    r.ended = Now();
    return r;
  }
  string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n";
  if (!id.empty()) text += "Heatherspan-Request-Id: " + id + "\r\n";
  if (deadline_ms > 0) text += F("Heatherspan-Deadline-Ms: %d\r\n", deadline_ms);
  for (auto& [k, v] : headers) text += k + ": " + v + "\r\n";
  if (!body.empty() || method == "POST") text += F("Content-Length: %zu\r\n", body.size());
  text += "\r\n" + body;
  string buffer;
  if (!SendAll(fd, text)) {
    r.error = "not sent";
  } else if (ReadMessage(fd, buffer, r.message, Now() + deadline_ms / 1000.0)) {
    r.status = r.message.status;
  } else {
    r.error = errno == ETIMEDOUT ? "no answer in time" : "closed without an answer";
  }
  close(fd);
  r.ended = Now();
  return r;
}

// ---- the project's program, as deploy/system.toml starts it
struct Node {
  string name, zone, region, ip;
  int memory_mb = 260, fd_limit = 4100;
  double cpu_share = 0.4;
  Address front, readiness, directory, control, metrics;
};
inline Node MakeNode(const string& name, const string& zone, const string& region, int number) {
  Node n{name, zone, region, Ip(number)};
  n.front = {n.ip, 18641};
  n.readiness = {n.ip, 18640};
  n.directory = {n.ip, 18644};
  n.control = {n.ip, 18649};
  n.metrics = {n.ip, 17620};
  return n;
}

/// The settings file, as the platform fills it in from deploy/gateway-settings.toml.in.
inline string Settings(const Node& n, const Address& store, const std::vector<Node>& all,
                       const string& more_bounds = "", const std::vector<Address>& seeds = {}) {
  std::ostringstream s;
  s << "[node]\nname = \"" << n.name << "\"\nzone = \"" << n.zone << "\"\nregion = \"" << n.region
    << "\"\ndescriptors = " << n.fd_limit << "\nmemory_mb = " << n.memory_mb
    << "\ncpu_share = " << n.cpu_share << "\nlink_mbps = 1000.0\n\n[listen]\ncallers = \"" << n.front.Text()
    << "\"\nreadiness = \"" << n.readiness.Text() << "\"\ndirectory = \"" << n.directory.Text()
    << "\"\nmetrics = \"" << n.metrics.Text() << "\"\n\n[store]\naddress = \"" << store.Text()
    << "\"\nheartbeat_s = 1.5\n\n[peers]\nlisten = \"" << n.control.Text() << "\"\nseeds = [";
  for (size_t i = 0; i < std::min<size_t>(3, all.size()); ++i)
    s << (i ? "," : "") << '"' << (i < seeds.size() ? seeds[i] : all[i].control).Text() << '"';
  s << "]\n\n[bounds]\nretry_ratio = 0.2\nretry_window_s = 10\nretry_allowance = 58\nmax_shift = 0.15\n"
       "stop_grace_s = 6\ndrain_s = 2.5\napply_s = 2.5\n"
    << more_bounds << "\n[zones]\n";
  std::map<string, string> zones;
  for (auto& m : all) zones[m.zone] = m.region;
  for (auto& [z, r] : zones) s << z << " = \"" << r << "\"\n";
  return s.str();
}

class Process {
 public:
  Process(Node node, string folder) : node_(std::move(node)), folder_(std::move(folder)) {}
  ~Process() { Kill(); }
  Process(const Process&) = delete;
  bool Start(const string& settings) {
    const auto path = folder_ + "/" + node_.name + ".toml";
    std::ofstream(path) << settings;
    const auto log = folder_ + "/" + node_.name + ".log";
    posix_spawn_file_actions_t files;
    posix_spawn_file_actions_init(&files);
    posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&files, 1, 2);
    string program = "target/bin/heatherspan-gateway", option = "--settings", file = path;
    char* arguments[] = {program.data(), option.data(), file.data(), nullptr};
    pid_t id = 0;
    const int r = posix_spawn(&id, program.c_str(), &files, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&files);
    if (r != 0) return false;
    id_ = id;
    Record("platform starts " + node_.name);
    return true;
  }
  void Signal(int number) {
    if (id_ > 0) kill(id_, number);
  }
  /// SIGKILL, and waits for the end.
  void Kill() {
    if (id_ <= 0) return;
    kill(id_, SIGKILL);
    waitpid(id_, nullptr, 0);
    id_ = 0;
  }
  /// How the process has ended by itself, if it has.
  std::optional<string> Ended() {
    if (id_ <= 0) return "not running";
    int status = 0;
    if (waitpid(id_, &status, WNOHANG) != id_) return std::nullopt;
    id_ = 0;
    return WIFSIGNALED(status) ? F("signal %d", WTERMSIG(status)) : F("exit status %d", WEXITSTATUS(status));
  }
  /// Resident memory in MB, now or at most.
  double Memory(const char* which = "VmRSS:") const {
    std::ifstream status(F("/proc/%d/status", id_));
    string word;
    while (status >> word) {
      double kilobytes = 0;
      if (word == which && status >> kilobytes) return kilobytes / 1024;
    }
    return 0;
  }
  bool IsReady() const {
    auto r = Ask(node_.readiness, "GET", "x", "/heatherspan/ready", "", 500);
    return r.status == 200;
  }
  bool WaitReady(double s) const {
    for (const double end = Now() + s; Now() < end; Sleep(0.02))
      if (IsReady()) return true;
    return false;
  }
  const Node& node() const { return node_; }
  pid_t id() const { return id_; }

 private:
  const Node node_;
  const string folder_;
  pid_t id_ = 0;
};

// ---- a configuration
struct RouteSpec {
  string name, prefix, kind, service;
  double timeout_s = 4, slo_s = 0.6;
  bool anonymous = false;
  int max_attempts = 2;
};
struct TenantSpec {
  string name;
  std::vector<string> keys;
  double rate = 0, burst = 0;
};
inline string Configuration(int version, const std::vector<RouteSpec>& routes,
                            const std::vector<string>& services, const std::vector<TenantSpec>& tenants = {},
                            size_t max_body = 67108864) {
  auto list = Json::array();
  for (auto& r : routes)
    list.push_back({{"type", "routes"},
                    {"metadata", {{"name", r.name}}},
                    {"spec",
                     {{"host", "h.example"},
                      {"path_prefix", r.prefix},
                      {"kind", r.kind},
                      {"timeout_s", r.timeout_s},
                      {"latency_slo_s", r.slo_s},
                      {"priority", 1},
                      {"service", r.service},
                      {"max_attempts", r.max_attempts},
                      {"allow_anonymous", r.anonymous},
                      {"session_affinity", false},
                      {"allowed_regions", Json::array()}}}});
  for (auto& s : services)
    list.push_back({{"type", "services"},
                    {"metadata", {{"name", s}}},
                    {"spec", {{"health_path", "/health"}, {"max_conns", 330}, {"cold_s", 3.0}, {"cold_per_s", 2.8}}}});
  for (auto& t : tenants)
    list.push_back({{"type", "tenants"},
                    {"metadata", {{"name", t.name}}},
                    {"spec",
                     {{"api_keys", t.keys},
                      {"priority", 1},
                      {"rate_per_s", t.rate},
                      {"burst", t.burst},
                      {"allowed_regions", Json::array()}}}});
  list.push_back({{"type", "limits"},
                  {"metadata", Json::object()},
                  {"spec",
                   {{"header_bytes", 16384},
                    {"max_body_bytes", max_body},
                    {"header_timeout_s", 3},
                    {"idle_timeout_s", 15}}}});
  return Json{{"version", F("r%d", version)}, {"resources", list}}.dump();
}

// ---- the frame of a case
inline bool Trouble() {
  const char* t = std::getenv("TROUBLE");
  return t == nullptr || string(t) != "0";
}
inline string NewFolder() {
  string path = std::filesystem::temp_directory_path() / "review-2-XXXXXX";
  return mkdtemp(path.data()) == nullptr ? "" : path;
}
[[noreturn]] inline void Finish(int code, const string& why) {
  Record(F("result %d: ", code) + why);
  std::printf("result %d: %s\n", code, why.c_str());
  std::fflush(stdout);
  std::_Exit(code);
}

}  // namespace rig
