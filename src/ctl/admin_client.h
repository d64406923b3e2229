#pragma once

#include <string>
#include <vector>

#include "base/endpoint.h"
#include "ctl/admin_result.h"
#include "ctl/admin_transport.h"

namespace heatherspan {

/// Sends requests to the first of several entry VMs that can be reached.
class AdminClient {
 public:
  AdminClient(SendFunction send, std::vector<Endpoint> servers, std::string credential);

  /// A GET; whatever the failure, the next server may answer it.
  auto Read(const std::string& path) -> AdminResult;
  /// A change. Another server is tried only when it is sure that nothing was written.
  auto Write(const std::string& method, const std::string& path, std::vector<HeaderField> headers,
             const std::string& body) -> AdminResult;

 private:
  enum class Kind { kRead, kWrite };

  auto Send(Kind kind, const HttpRequest& request) -> AdminResult;
  auto Judge(Kind kind, const Endpoint& server, HttpResult result) const -> AdminResult;

  SendFunction send_;
  std::vector<Endpoint> servers_;
  std::string credential_;
  std::size_t preferred_ = 0;  ///< The server that answered last.
};

}  // namespace heatherspan
