#include "net/udp_socket.h"

#include <gtest/gtest.h>

#include <utility>

#include "blocking_queue.h"
#include "net/worker_pool.h"

namespace heatherspan {
namespace {

struct Received {
  InstanceId sender;
  Endpoint from;
  Datagram datagram;
};

TEST(UdpSocket, CarriesAuthenticatedDatagramsOnly) {
  BlockingQueue<Received> received;
  WorkerPool workers(2);
  const auto handler = [&](InstanceId sender, const Endpoint& from, Datagram datagram) {
    received.Push({sender, from, std::move(datagram)});
  };
  UdpSocket a(workers, InstanceId(1), "key", handler);
  UdpSocket b(workers, InstanceId(2), "key", handler);
  UdpSocket stranger(workers, InstanceId(3), "other", handler);
  const auto at_a = a.Listen({"127.0.0.1", 0});
  const auto at_b = b.Listen({"127.0.0.1", 0});
  ASSERT_TRUE(at_a.ok() && at_b.ok() && stranger.Listen({"127.0.0.1", 0}).ok());

  // Loopback keeps the order, so that the stranger's datagram has been seen before the valid one.
  stranger.Send(*at_b, ShareRequest{});
  ShareRequest request;
  request.sequence = 77;
  a.Send(*at_b, request);
  const auto datagram = received.Pop();
  ASSERT_TRUE(datagram.has_value());
  EXPECT_EQ(datagram->sender, InstanceId(1));
  EXPECT_EQ(datagram->from, *at_a);
  EXPECT_EQ(std::get<ShareRequest>(datagram->datagram).sequence, 77U);
  EXPECT_EQ(b.counters().rejected, 1U);
  EXPECT_EQ(b.counters().received, 1U);
  EXPECT_EQ(b.counters().received_bytes, a.counters().sent_bytes);

  Ping too_long;
  too_long.config.manifest_hash = std::string(1200, 'x');
  a.Send(*at_b, too_long);
  EXPECT_EQ(a.counters().sent, 1U);
  EXPECT_EQ(a.counters().rejected, 1U);
  workers.Stop();
}

}  // namespace
}  // namespace heatherspan
