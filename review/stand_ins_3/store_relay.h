#ifndef REVIEW_STAND_INS_3_STORE_RELAY_H_
#define REVIEW_STAND_INS_3_STORE_RELAY_H_

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "libraries/base/endpoint.h"

namespace bulrushshore::review {

// Passes bytes between the hosts and the store, and cuts their watches off.
// Runs on the loop's thread.
class store_relay {
 public:
  store_relay(boost::asio::io_context& loop, const endpoint& store);
  ~store_relay();
  store_relay(const store_relay&) = delete;
  store_relay& operator=(const store_relay&) = delete;

  endpoint address() const;

  // Closes the connections on which a watch that accepts stale data waits.
  // Returns their number.
  std::size_t CutWaitingStaleWatches();

 private:
  struct link;

  void Accept();
  void Connect(const std::shared_ptr<link>& accepted);
  void Pump(const std::shared_ptr<link>& between, bool is_to_store);
  void Forward(const std::shared_ptr<link>& between,
               bool is_to_store,
               std::size_t size);
  static void Close(link& between);

  boost::asio::io_context& loop_;
  boost::asio::ip::tcp::endpoint store_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<link>> links_;
};

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_STORE_RELAY_H_
