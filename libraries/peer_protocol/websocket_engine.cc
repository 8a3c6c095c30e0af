#include "libraries/peer_protocol/websocket_engine.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

namespace bulrushshore {
namespace {

using server_endpoint = websocketpp::server<websocketpp::config::asio>;
using client_endpoint = websocketpp::client<websocketpp::config::asio_client>;
using server_connection = server_endpoint::connection_ptr;
using client_connection = client_endpoint::connection_ptr;

// One connection of either side.
struct websocket_link {
  server_connection accepted;
  client_connection opened;
  bool is_established = false;
};

std::string UriOf(const std::string& ip, std::uint16_t port) {
  const bool is_ipv6 = ip.find(':') != std::string::npos;
  const std::string host = is_ipv6 ? "[" + ip + "]" : ip;
  return "ws://" + host + ":" + std::to_string(port) + "/";
}

template <typename Connection>
void Prepare(const Connection& connection) {
  websocketpp::lib::asio::error_code ignored;
  connection->get_raw_socket().set_option(
      websocketpp::lib::asio::ip::tcp::no_delay(true), ignored);
}

}  // namespace

class websocket_engine::implementation {
 public:
  implementation(websocket_listener& listener, const limits& limits)
      : listener_(listener), limits_(limits) {
    Configure(server_);
    Configure(client_);
    server_.set_reuse_addr(true);
    server_.set_open_handler(
        [this](const websocketpp::connection_hdl& handle) { Accept(handle); });
  }

  ~implementation() { Stop(); }

  std::string Start(const std::string& ip, std::uint16_t port) {
    websocketpp::lib::error_code fault;
    websocketpp::lib::asio::error_code address_fault;
    const websocketpp::lib::asio::ip::address address =
        websocketpp::lib::asio::ip::address::from_string(ip, address_fault);
    if (address_fault) {
      return address_fault.message();
    }
    server_.listen(websocketpp::lib::asio::ip::tcp::endpoint(address, port),
                   fault);
    if (fault) {
      return fault.message();
    }
    port_ = server_.get_local_endpoint(address_fault).port();
    server_.start_accept(fault);
    if (fault) {
      return fault.message();
    }
    client_.start_perpetual();
    thread_ = std::thread([this] { context_.run(); });
    return std::string();
  }

  void Stop() {
    if (!thread_.joinable()) {
      return;
    }
    context_.stop();
    thread_.join();
    const std::lock_guard<std::mutex> lock(mutex_);
    links_.clear();
  }

  std::uint16_t port() const { return port_; }

  std::uint64_t Connect(const std::string& ip, std::uint16_t port) {
    const std::uint64_t number = next_number_++;
    context_.post([this, number, uri = UriOf(ip, port)] { Open(number, uri); });
    return number;
  }

  void Send(std::uint64_t number, std::string bytes) {
    websocketpp::lib::error_code ignored;
    const websocket_link link = Find(number);
    if (link.accepted != nullptr) {
      link.accepted->send(bytes, websocketpp::frame::opcode::binary);
    }
    if (link.opened != nullptr) {
      link.opened->send(bytes, websocketpp::frame::opcode::binary);
    }
  }

  void MarkEstablished(std::uint64_t number) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto position = links_.find(number);
    if (position == links_.end()) {
      return;
    }
    websocket_link& link = position->second;
    link.is_established = true;
    if (link.accepted != nullptr) {
      link.accepted->set_max_message_size(limits_.max_message_bytes);
    }
    if (link.opened != nullptr) {
      link.opened->set_max_message_size(limits_.max_message_bytes);
    }
  }

  void Close(std::uint64_t number) {
    context_.post([this, number] {
      const websocket_link link = Find(number);
      websocketpp::lib::error_code ignored;
      if (link.accepted != nullptr) {
        link.accepted->close(websocketpp::close::status::going_away, "",
                             ignored);
      }
      if (link.opened != nullptr) {
        link.opened->close(websocketpp::close::status::going_away, "", ignored);
      }
    });
  }

  std::size_t QueuedBytes(std::uint64_t number) const {
    const websocket_link link = Find(number);
    if (link.accepted != nullptr) {
      return link.accepted->get_buffered_amount();
    }
    return link.opened != nullptr ? link.opened->get_buffered_amount() : 0;
  }

 private:
  template <typename Endpoint>
  void Configure(Endpoint& target) {
    target.clear_access_channels(websocketpp::log::alevel::all);
    target.clear_error_channels(websocketpp::log::elevel::all);
    target.init_asio(&context_);
    target.set_max_message_size(limits_.max_early_message_bytes);
    target.set_open_handshake_timeout(limits_.establish_timeout_ms);
  }

  void Accept(const websocketpp::connection_hdl& handle) {
    websocketpp::lib::error_code fault;
    const server_connection connection =
        server_.get_con_from_hdl(handle, fault);
    if (fault) {
      return;
    }
    const std::uint64_t number = next_number_++;
    Observe(number, connection);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      links_[number].accepted = connection;
    }
    Prepare(connection);
    WatchEstablishing(number, connection);
    listener_.OnAccepted(number);
  }

  void Open(std::uint64_t number, const std::string& uri) {
    websocketpp::lib::error_code fault;
    const client_connection connection = client_.get_connection(uri, fault);
    if (fault) {
      listener_.OnClosed(number);
      return;
    }
    Observe(number, connection);
    connection->set_open_handler(
        [this, number,
         weak = std::weak_ptr<client_connection::element_type>(connection)](
            const websocketpp::connection_hdl&) {
          const client_connection opened = weak.lock();
          Prepare(opened);
          WatchEstablishing(number, opened);
          listener_.OnConnected(number);
        });
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      links_[number].opened = connection;
    }
    client_.connect(connection);
  }

  // Sets the handlers that both sides have in common.
  template <typename Connection>
  void Observe(std::uint64_t number, const Connection& connection) {
    using element = typename Connection::element_type;
    connection->set_message_handler(
        [this, number](const websocketpp::connection_hdl&,
                       const typename element::message_ptr& message) {
          listener_.OnMessage(number, message->get_payload());
        });
    connection->set_close_handler(
        [this, number](const websocketpp::connection_hdl&) { Drop(number); });
    connection->set_fail_handler(
        [this, number](const websocketpp::connection_hdl&) { Drop(number); });
  }

  template <typename Connection>
  void WatchEstablishing(std::uint64_t number, const Connection& connection) {
    connection->set_timer(
        limits_.establish_timeout_ms,
        [this, number](const websocketpp::lib::error_code& fault) {
          if (!fault && !Find(number).is_established) {
            Close(number);
          }
        });
  }

  void Drop(std::uint64_t number) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      links_.erase(number);
    }
    listener_.OnClosed(number);
  }

  websocket_link Find(std::uint64_t number) const {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto position = links_.find(number);
    return position == links_.end() ? websocket_link() : position->second;
  }

  websocket_listener& listener_;
  const limits limits_;
  websocketpp::lib::asio::io_service context_;
  server_endpoint server_;
  client_endpoint client_;
  std::uint16_t port_ = 0;
  std::atomic<std::uint64_t> next_number_{1};
  mutable std::mutex mutex_;
  std::map<std::uint64_t, websocket_link> links_;
  std::thread thread_;
};

websocket_engine::websocket_engine(websocket_listener& listener,
                                   const limits& limits)
    : implementation_(std::make_unique<implementation>(listener, limits)) {}

websocket_engine::~websocket_engine() = default;

std::string websocket_engine::Start(const std::string& ip, std::uint16_t port) {
  return implementation_->Start(ip, port);
}

void websocket_engine::Stop() {
  implementation_->Stop();
}

std::uint16_t websocket_engine::port() const {
  return implementation_->port();
}

std::uint64_t websocket_engine::Connect(const std::string& ip,
                                        std::uint16_t port) {
  return implementation_->Connect(ip, port);
}

void websocket_engine::Send(std::uint64_t connection, std::string bytes) {
  implementation_->Send(connection, std::move(bytes));
}

void websocket_engine::MarkEstablished(std::uint64_t connection) {
  implementation_->MarkEstablished(connection);
}

void websocket_engine::Close(std::uint64_t connection) {
  implementation_->Close(connection);
}

std::size_t websocket_engine::QueuedBytes(std::uint64_t connection) const {
  return implementation_->QueuedBytes(connection);
}

}  // namespace bulrushshore
