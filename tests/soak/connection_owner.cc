#include "soak/connection_owner.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <boost/asio/ip/address_v4.hpp>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <optional>
#include <string>
#include <system_error>

#include "fmt/format.h"

namespace heatherspan {
namespace {

namespace fs = std::filesystem;

auto Bytes(const Endpoint& endpoint) -> std::uint32_t {
  const auto bytes = boost::asio::ip::make_address_v4(endpoint.address).to_bytes();
  std::uint32_t number = 0;
  std::memcpy(&number, bytes.data(), sizeof(number));
  return number;
}

/// Asks the kernel for one connection. Its table in /proc/net/tcp takes hundreds of milliseconds to
/// read once tests have left tens of thousands of closed connections.
auto SocketInode(const Endpoint& local, const Endpoint& remote) -> std::optional<std::uint32_t> {
  struct {
    nlmsghdr header;
    inet_diag_req_v2 query;
  } request{};
  request.header.nlmsg_len = sizeof(request);
  request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
  request.header.nlmsg_flags = NLM_F_REQUEST;
  request.query.sdiag_family = AF_INET;
  request.query.sdiag_protocol = IPPROTO_TCP;
  request.query.idiag_states = ~0U;
  request.query.id.idiag_sport = htons(local.port);
  request.query.id.idiag_dport = htons(remote.port);
  request.query.id.idiag_src[0] = Bytes(local);
  request.query.id.idiag_dst[0] = Bytes(remote);
  request.query.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  request.query.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;

  const int descriptor = ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (descriptor < 0) {
    std::perror("cannot ask the kernel for a connection's owner");
    return std::nullopt;
  }
  std::array<char, 4096> answer{};
  const bool asked = ::send(descriptor, &request, sizeof(request), 0) == sizeof(request);
  const auto size = asked ? ::recv(descriptor, answer.data(), answer.size(), 0) : -1;
  ::close(descriptor);
  if (size < static_cast<ssize_t>(sizeof(nlmsghdr) + sizeof(inet_diag_msg))) return std::nullopt;
  nlmsghdr header{};
  inet_diag_msg message{};
  std::memcpy(&header, answer.data(), sizeof(header));
  // Otherwise an error: the connection is gone.
  if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) return std::nullopt;
  std::memcpy(&message, answer.data() + sizeof(header), sizeof(message));
  return message.idiag_inode;
}

auto Holds(pid_t process, const std::string& link) -> bool {
  std::error_code error;  // The process may have ended.
  fs::directory_iterator files(fmt::format("/proc/{}/fd", process), error);
  for (; !error && files != fs::directory_iterator(); files.increment(error)) {
    std::error_code closed;  // The file may have been closed.
    if (fs::read_symlink(files->path(), closed).native() == link) return true;
  }
  return false;
}

}  // namespace

auto FindConnectionOwner(const Endpoint& client, const Endpoint& server,
                         const std::vector<pid_t>& processes) -> int {
  const auto inode = SocketInode(client, server);
  if (!inode.has_value()) return -1;
  const auto link = fmt::format("socket:[{}]", *inode);
  for (std::size_t i = 0; i < processes.size(); ++i) {
    if (processes[i] > 0 && Holds(processes[i], link)) return static_cast<int>(i);
  }
  return -1;
}

}  // namespace heatherspan
