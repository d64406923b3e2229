#include "scripted_peer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace heatherspan {
namespace {

constexpr int kTimeoutMs = 10'000;
constexpr std::string_view kIdField = "Heatherspan-Request-Id: ";

auto CountOf(const std::map<std::string, int>& counts, const std::string& id) -> int {
  const auto found = counts.find(id);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

ScriptedPeer::ScriptedPeer(const RawListener& listener)
    : listener_(listener), end_descriptor_(::eventfd(0, EFD_NONBLOCK)) {}

// A reset leaves no connection in TIME_WAIT, of which thousands would delay new ones.
ScriptedPeer::~ScriptedPeer() {
  socket_.Reset();
  pollfd entry{.fd = listener_.descriptor(), .events = POLLIN, .revents = 0};
  while (::poll(&entry, 1, 0) == 1) listener_.Accept().Reset();
  ::close(end_descriptor_);
}

auto ScriptedPeer::ReadHead() -> std::string {
  const auto head = socket_.ReadUntil("\r\n\r\n");
  const auto start = head.find(kIdField);
  if (!head.ends_with("\r\n\r\n") || start == std::string::npos) return "";
  const auto text = head.substr(start + kIdField.size());
  auto id = text.substr(0, text.find('\r'));
  ++arrivals_[id];
  return id;
}

auto ScriptedPeer::runs(const std::string& id) const -> int { return CountOf(runs_, id); }
auto ScriptedPeer::arrivals(const std::string& id) const -> int { return CountOf(arrivals_, id); }

auto ScriptedPeer::SendUntilClosed(std::string_view bytes) -> void {
  if (socket_.descriptor() < 0) return;
  socket_.Send(bytes);
  socket_.ReadUntilClosed();
  socket_.Reset();
}

auto ScriptedPeer::NotifyEnd() const -> void { ::eventfd_write(end_descriptor_, 1); }

auto ScriptedPeer::ForgetEnd() const -> void {
  eventfd_t count = 0;
  ::eventfd_read(end_descriptor_, &count);
}

auto ScriptedPeer::Await(int present) -> Input {
  while (true) {
    std::array<pollfd, 3> entries{
        pollfd{.fd = present, .events = POLLIN, .revents = 0},
        pollfd{.fd = listener_.descriptor(), .events = POLLIN, .revents = 0},
        pollfd{.fd = end_descriptor_, .events = POLLIN, .revents = 0}};
    if (::poll(entries.data(), entries.size(), kTimeoutMs) <= 0) return Input::kNothing;
    if (entries[0].revents != 0) {
      if (!socket_.ReadSize(1).empty()) {
        connections_ += std::exchange(is_new_, false) ? 1 : 0;
        return Input::kRequest;
      }
      socket_.Reset();
      present = -1;
    } else if (entries[1].revents != 0) {
      socket_.Reset();
      socket_ = listener_.Accept();
      is_new_ = true;
      present = socket_.descriptor();
      // Each send leaves at once, whatever came before.
      const int enabled = 1;
      ::setsockopt(present, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    } else {
      return Input::kEnded;
    }
  }
}

}  // namespace heatherspan
