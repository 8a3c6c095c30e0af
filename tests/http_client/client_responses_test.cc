#include <ostream>
#include <string>

#include <gtest/gtest.h>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "libraries/caller/http_transport.h"
#include "libraries/probing/http_probe_client.h"
#include "libraries/store/http_exchange.h"
#include "tests/proxy/socket_peer.h"

namespace bulrushshore {
namespace {

struct server_response {
  const char* name;
  std::string bytes;
  bool is_sound = false;
};

void PrintTo(const server_response& response, std::ostream* out) {
  *out << response.name;
}

// The readers of responses beside those of the request path.
class ClientResponsesTest : public testing::TestWithParam<server_response> {
 protected:
  static std::unique_ptr<scripted_target> Serve() {
    return std::make_unique<scripted_target>(
        std::vector<scripted_target::script>{[](raw_connection& connection) {
          connection.ReceiveMessage();
          connection.Send(GetParam().bytes);
        }});
  }

  caf::actor_system_config config_;
  caf::actor_system system_{config_};
  runtime_clock time_{system_.clock()};
};

// Guards against an object of the store that is read from a broken response.
TEST_P(ClientResponsesTest, OfTheStore) {
  const std::unique_ptr<scripted_target> server = Serve();
  store_request request;
  request.path = "/objects/a";
  request.max_response_bytes = 1000;
  const result<store_response> response =
      ExchangeHttp({{"127.0.0.1", server->port()}}, time_, request);
  ASSERT_EQ(IsOk(response), GetParam().is_sound);
  if (!IsOk(response)) {
    EXPECT_EQ(ErrorOf(response).code, error_code::kUnknownEffect);
  }
}

// Guards against a broken response that counts as a sign of health.
TEST_P(ClientResponsesTest, OfAProbedTarget) {
  const std::unique_ptr<scripted_target> server = Serve();
  http_probe_client client(time_, std::chrono::milliseconds(2000));
  EXPECT_EQ(client.Probe({"127.0.0.1", server->port()}).is_healthy,
            GetParam().is_sound);
}

// Guards against a broken response of a host that its caller takes for whole.
TEST_P(ClientResponsesTest, OfAHost) {
  const std::unique_ptr<scripted_target> server = Serve();
  http_transport transport(time_, std::chrono::seconds(2));
  const transport_result response = transport.Exchange(
      {"127.0.0.1", server->port()}, {}, std::chrono::seconds(10));
  ASSERT_EQ(std::holds_alternative<transport_response>(response),
            GetParam().is_sound);
  if (!GetParam().is_sound) {
    EXPECT_EQ(std::get<transport_failure>(response),
              transport_failure::kConnectionLost);
  }
}

std::string Head(std::string_view fields) {
  return "HTTP/1.1 200 OK\r\n" + std::string(fields) + "\r\n";
}

INSTANTIATE_TEST_SUITE_P(
    Forms,
    ClientResponsesTest,
    testing::Values(
        server_response{"sound", Head("Content-Length: 4\r\n") + "body", true},
        server_response{
            "sound_in_chunks",
            Head("Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n",
            true},
        server_response{"sound_behind_an_interim_response",
                        "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" +
                            Head("Content-Length: 4\r\n") + "body",
                        true},
        server_response{"status_000",
                        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" +
                            Head("Content-Length: 4\r\n") + "body"},
        server_response{"status_600",
                        "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nbody"},
        server_response{"cut_off", Head("Content-Length: 9\r\n") + "body"},
        server_response{"unknown_transfer_coding",
                        Head("Transfer-Encoding: gzip\r\n") + "part"},
        server_response{
            "chunk_longer_than_stated",
            Head("Transfer-Encoding: chunked\r\n") + "3\r\nbody\r\n0\r\n\r\n"},
        server_response{"blank_in_a_name",
                        Head("Bad Name: x\r\nContent-Length: 4\r\n") + "body"},
        server_response{
            "control_byte_in_a_name",
            Head("Bad\x01Name: x\r\nContent-Length: 4\r\n") + "body"},
        server_response{"line_feed_alone", Head("Transfer-Encoding: chunked\n"
                                                "Content-Length: 4\r\n") +
                                               "body"}));

}  // namespace
}  // namespace bulrushshore
