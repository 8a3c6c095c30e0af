#include "review/stand_ins_3/store_relay.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include <boost/asio/write.hpp>

#include "libraries/event_loop/socket_options.h"

namespace bulrushshore::review {
namespace {

namespace asio = boost::asio;

bool IsStaleWatch(std::string_view request) {
  const std::string_view line = request.substr(0, request.find('\r'));
  return line.find("watch=") != std::string_view::npos &&
         line.find("serializable=1") != std::string_view::npos;
}

}  // namespace

struct store_relay::link {
  link(asio::ip::tcp::socket accepted, asio::io_context& loop)
      : host(std::move(accepted)), store(loop) {}

  asio::ip::tcp::socket host;
  asio::ip::tcp::socket store;
  std::array<char, 65'536> to_store{};
  std::array<char, 65'536> to_host{};
  bool has_stale_watch = false;
};

store_relay::store_relay(asio::io_context& loop, const endpoint& store)
    : loop_(loop),
      store_(asio::ip::make_address(store.ip), store.port),
      acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
  Accept();
}

store_relay::~store_relay() {
  for (const std::shared_ptr<link>& between : links_) {
    Close(*between);
  }
}

endpoint store_relay::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

std::size_t store_relay::CutWaitingStaleWatches() {
  std::size_t cut = 0;
  for (const std::shared_ptr<link>& between : links_) {
    if (between->has_stale_watch) {
      between->has_stale_watch = false;
      Close(*between);
      ++cut;
    }
  }
  return cut;
}

void store_relay::Accept() {
  acceptor_.async_accept(
      [this](const socket_error& error, asio::ip::tcp::socket socket) {
        if (error) {
          return;
        }
        std::erase_if(links_, [](const std::shared_ptr<link>& between) {
          return !between->host.is_open();
        });
        const std::shared_ptr<link> accepted =
            std::make_shared<link>(std::move(socket), loop_);
        links_.push_back(accepted);
        Connect(accepted);
        Accept();
      });
}

void store_relay::Connect(const std::shared_ptr<link>& accepted) {
  accepted->store.async_connect(store_,
                                [this, accepted](const socket_error& error) {
                                  if (error) {
                                    Close(*accepted);
                                    return;
                                  }
                                  Pump(accepted, true);
                                  Pump(accepted, false);
                                });
}

void store_relay::Pump(const std::shared_ptr<link>& between, bool is_to_store) {
  asio::ip::tcp::socket& source = is_to_store ? between->host : between->store;
  source.async_read_some(
      asio::buffer(is_to_store ? between->to_store : between->to_host),
      [this, between, is_to_store](const socket_error& error,
                                   std::size_t size) {
        if (error) {
          Close(*between);
          return;
        }
        between->has_stale_watch =
            is_to_store && IsStaleWatch({between->to_store.data(), size});
        Forward(between, is_to_store, size);
      });
}

void store_relay::Forward(const std::shared_ptr<link>& between,
                          bool is_to_store,
                          std::size_t size) {
  asio::ip::tcp::socket& sink = is_to_store ? between->store : between->host;
  const std::array<char, 65'536>& bytes =
      is_to_store ? between->to_store : between->to_host;
  asio::async_write(
      sink, asio::buffer(bytes.data(), size),
      [this, between, is_to_store](const socket_error& error, std::size_t) {
        if (error) {
          Close(*between);
          return;
        }
        Pump(between, is_to_store);
      });
}

void store_relay::Close(link& between) {
  socket_error ignored;  // Either side may be gone already.
  between.host.close(ignored);
  between.store.close(ignored);
}

}  // namespace bulrushshore::review
