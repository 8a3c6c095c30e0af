#include "review/stand_ins_3/upstream.h"

#include <array>
#include <utility>
#include <variant>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "libraries/event_loop/socket_options.h"
#include "libraries/http/message_writer.h"
#include "libraries/http/request_reader.h"
#include "platform/names.h"
#include "review/stand_ins_3/text_template.h"

namespace bulrushshore::review {
namespace {

namespace asio = boost::asio;

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr std::uint32_t kMaxHeaderBytes = 65'536;
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{128} << 20;

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

struct upstream::connection {
  explicit connection(asio::ip::tcp::socket accepted)
      : socket(std::move(accepted)),
        timer(socket.get_executor()),
        reader({kMaxHeaderBytes, kMaxBodyBytes}) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  request_reader reader;
  std::string outgoing;
  std::array<char, 65'536> buffer{};
};

upstream::upstream(const environment& around,
                   const std::string& id,
                   const std::string& service,
                   std::chrono::milliseconds work)
    : around_(around),
      id_(id),
      service_(service),
      work_(work),
      acceptor_(around.loop, {asio::ip::make_address("127.0.0.1"), 0}),
      born_ms_(UnixMilliseconds()) {
  Accept();
  Register("ready");
}

upstream::~upstream() {
  for (const std::shared_ptr<connection>& peer : connections_) {
    peer->timer.cancel();
    peer->socket.close();
  }
}

void upstream::Register(const std::string& state) {
  const std::string address =
      "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  around_.store.Put(platform_names::kTargetKind, id_,
                    nlohmann::json::parse(
                        FillTemplate(around_.templates + "/upstream.json",
                                     {{"SERVICE", service_},
                                      {"ADDRESS", address},
                                      {"STATE", state},
                                      {"SEQUENCE", std::to_string(++sequence_)},
                                      {"BORN", std::to_string(born_ms_)}})));
  around_.record.Note("store holds " + id_ + " of " + service_ + ": " + state);
}

void upstream::Drain() {
  is_draining_ = true;
  Register("draining");
}

void upstream::End() {
  around_.store.Remove(platform_names::kTargetKind, id_);
  around_.record.Note("upstream " + id_ + " ends");
  acceptor_.close();
  for (const std::shared_ptr<connection>& peer : connections_) {
    peer->timer.cancel();
    peer->socket.close();
  }
  connections_.clear();
}

void upstream::Accept() {
  acceptor_.async_accept(
      [this](const socket_error& error, asio::ip::tcp::socket socket) {
        if (error) {
          return;
        }
        const std::shared_ptr<connection> peer =
            std::make_shared<connection>(std::move(socket));
        connections_.push_back(peer);
        Receive(peer);
        Accept();
      });
}

void upstream::Receive(const std::shared_ptr<connection>& peer) {
  peer->socket.async_read_some(
      asio::buffer(peer->buffer),
      [this, peer](const socket_error& error, std::size_t size) {
        if (error) {
          // Drops the request when its connection closes.
          peer->timer.cancel();
          if (error != asio::error::operation_aborted) {
            peer->socket.close();
            std::erase(connections_, peer);
          }
          return;
        }
        peer->reader.Append({peer->buffer.data(), size});
        request_read_result next = peer->reader.Next();
        if (const received_request* received =
                std::get_if<received_request>(&next)) {
          Answer(peer, received->request);
        }
        Receive(peer);
      });
}

void upstream::Answer(const std::shared_ptr<connection>& peer,
                      const proxy_request& request) {
  const std::string id =
      request.headers.Find(platform_names::kAttemptIdHeader).value_or("");
  proxy_response response{kOk, {}, ""};
  response.headers.Add(platform_names::kAttemptIdHeader, id);
  const bool is_meant =
      request.headers.Find(platform_names::kExpectedTargetHeader)
          .value_or(id_) == id_;
  if (!is_meant) {
    response.status = kMisdirected;
    response.headers.Add(platform_names::kNotExecutedHeader, "1");
    Send(peer, response, request.method);
    return;
  }
  around_.record.OnRun(id, {id_, service_, around_.time.Now()});
  response.headers.Add(platform_names::kSignatureHeader, id_ + "." + id);
  response.body = id + " by " + id_;
  peer->timer.expires_after(work_);
  peer->timer.async_wait([this, peer, response, method = request.method](
                             const socket_error& cancelled) {
    if (!cancelled) {
      Send(peer, response, method);
    }
  });
}

void upstream::Send(const std::shared_ptr<connection>& peer,
                    const proxy_response& response,
                    const std::string& method) {
  peer->outgoing = SerializeResponse(response, method, is_draining_);
  asio::async_write(
      peer->socket, asio::buffer(peer->outgoing),
      [peer, closes = is_draining_](const socket_error&, std::size_t) {
        if (closes) {
          socket_error ignored;  // The other side may have closed it already.
          peer->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        }
      });
}

}  // namespace bulrushshore::review
