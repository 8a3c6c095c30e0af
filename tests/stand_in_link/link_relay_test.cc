#include "stand_ins/link/link_relay.h"

#include <string>

#include <gtest/gtest.h>

#include "tests/proxy/socket_peer.h"

namespace bulrushshore {
namespace {

constexpr char kRequest[] = "GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n";

// Answers every request on every connection, and counts them.
class LinkRelayTest : public testing::Test {
 protected:
  LinkRelayTest()
      : server_({[this](raw_connection& connection) {
          server_.Answer(PlainResponse(200, "answer"))(connection);
        }}),
        relay_({"127.0.0.1", server_.port()}) {}

  void SetUp() override {
    const result<std::uint16_t> port = relay_.Start(0);
    ASSERT_TRUE(IsOk(port));
    port_ = ValueOf(port);
  }

  scripted_target server_;
  link_relay relay_;
  std::uint16_t port_ = 0;
};

// Guards against a link that alters or loses what it passes.
TEST_F(LinkRelayTest, PassesBothDirections) {
  raw_connection client = raw_connection::To(port_);
  for (int exchange = 0; exchange < 3; ++exchange) {
    client.Send(kRequest);
    EXPECT_EQ(client.ReceiveMessage(), PlainResponse(200, "answer"));
  }
  EXPECT_EQ(server_.Requests().size(), 3U);
}

// Guards against a cut that loses bytes, which no TCP connection does.
TEST_F(LinkRelayTest, DeliversAfterAOneWayCut) {
  for (const link_mode cut :
       {link_mode::kCutToServer, link_mode::kCutToClient}) {
    raw_connection client = raw_connection::To(port_);
    relay_.SetMode(cut);
    client.Send(kRequest);
    relay_.SetMode(link_mode::kPass);
    EXPECT_EQ(client.ReceiveMessage(), PlainResponse(200, "answer"));
  }
}

// Guards against a silence that also stops new connections, or that passes
// something on an old one.
TEST_F(LinkRelayTest, SilencesOpenConnectionsOnly) {
  raw_connection old = raw_connection::To(port_);
  old.Send(kRequest);
  old.ReceiveMessage();
  relay_.SetMode(link_mode::kSilent);
  old.Send(kRequest);
  relay_.SetMode(link_mode::kPass);
  raw_connection fresh = raw_connection::To(port_);
  fresh.Send(kRequest);
  EXPECT_EQ(fresh.ReceiveMessage(), PlainResponse(200, "answer"));
  EXPECT_EQ(server_.Requests().size(), 2U);
}

// Guards against a client that waits for a server that is not there.
TEST(LinkRelayServerTest, ClosesConnectionsWithoutAServer) {
  link_relay relay({"127.0.0.1", ClosedPort()});
  const result<std::uint16_t> port = relay.Start(0);
  ASSERT_TRUE(IsOk(port));
  raw_connection client = raw_connection::To(ValueOf(port));
  EXPECT_EQ(client.ReceiveAll(), "");
}

}  // namespace
}  // namespace bulrushshore
