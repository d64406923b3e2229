#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "raw_socket.h"

namespace heatherspan {

/// What each client of a crowd sends: a head, then a piece many times. Most stop just short of the
/// end and stay open.
struct CrowdPlan {
  int clients = 0;
  std::string head;
  std::string piece;
  std::size_t pieces = 0;
  std::string tail = {};       ///< Behind the last piece.
  std::size_t stop_short = 1;  ///< Bytes that are never sent.
  int whole_every = 6;         ///< One client of so many sends all.
  /// Bytes that a client sends before the next one's turn.
  std::size_t bytes_per_turn = std::size_t{64} * 1024;
};

/// Clients that send all at once. Their connections stay open until the crowd is destroyed.
class ClientCrowd {
 public:
  ClientCrowd(const Endpoint& endpoint, CrowdPlan plan);

  /// Returns once each client has sent what it means to, or was turned away. False if that takes so
  /// long that the peer must hang.
  auto SendAll() -> bool;

 private:
  struct Client {
    RawSocket socket;
    std::size_t sent = 0;
    std::size_t size = 0;
    bool turned_away = false;
  };

  auto size() const -> std::size_t;
  /// Some of the bytes that follow the position.
  auto BytesAt(std::size_t position) const -> std::string_view;
  auto Send(Client& client) const -> void;
  static auto ReadAnswer(Client& client) -> void;

  const CrowdPlan plan_;
  std::vector<Client> clients_;
};

}  // namespace heatherspan
