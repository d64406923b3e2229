#include "client_crowd.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace heatherspan {
namespace {

// Without any byte sent and any connection closed for so long, the peer hangs.
constexpr int kHangMs = 60'000;

}  // namespace

ClientCrowd::ClientCrowd(const Endpoint& endpoint, CrowdPlan plan) : plan_(std::move(plan)) {
  for (int i = 0; i < plan_.clients; ++i) {
    const bool whole = i % plan_.whole_every == 0;
    clients_.push_back(
        {RawSocket::Connect(endpoint), 0, size() - (whole ? 0 : plan_.stop_short), false});
  }
}

auto ClientCrowd::size() const -> std::size_t {
  return plan_.head.size() + plan_.piece.size() * plan_.pieces + plan_.tail.size();
}

auto ClientCrowd::BytesAt(std::size_t position) const -> std::string_view {
  if (position < plan_.head.size()) return std::string_view(plan_.head).substr(position);
  position -= plan_.head.size();
  const auto pieces_size = plan_.piece.size() * plan_.pieces;
  if (position < pieces_size) {
    return std::string_view(plan_.piece).substr(position % plan_.piece.size());
  }
  return std::string_view(plan_.tail).substr(position - pieces_size);
}

auto ClientCrowd::Send(Client& client) const -> void {
  auto left_in_turn = std::min(plan_.bytes_per_turn, client.size - client.sent);
  while (left_in_turn > 0) {
    const auto bytes = BytesAt(client.sent).substr(0, left_in_turn);
    const auto sent =
        ::send(client.socket.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0) {
      client.turned_away = errno != EAGAIN && errno != EWOULDBLOCK;
      return;
    }
    client.sent += static_cast<std::size_t>(sent);
    left_in_turn -= static_cast<std::size_t>(sent);
  }
}

auto ClientCrowd::ReadAnswer(Client& client) -> void {
  std::array<char, 4096> buffer;
  const auto size = ::recv(client.socket.descriptor(), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK)) client.turned_away = true;
}

auto ClientCrowd::SendAll() -> bool {
  while (true) {
    std::vector<pollfd> entries;
    std::vector<Client*> sending;
    for (auto& client : clients_) {
      if (client.turned_away || client.sent == client.size) continue;
      sending.push_back(&client);
      entries.push_back(
          {.fd = client.socket.descriptor(), .events = POLLIN | POLLOUT, .revents = 0});
    }
    if (sending.empty()) return true;
    if (::poll(entries.data(), entries.size(), kHangMs) <= 0) return false;
    for (std::size_t i = 0; i < entries.size(); ++i) {
      if ((entries[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0) ReadAnswer(*sending[i]);
      if ((entries[i].revents & POLLOUT) != 0 && !sending[i]->turned_away) Send(*sending[i]);
    }
  }
}

}  // namespace heatherspan
