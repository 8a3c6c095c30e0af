#ifndef TESTS_GATEWAY_EARLY_TARGET_H_
#define TESTS_GATEWAY_EARLY_TARGET_H_

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "libraries/base/endpoint.h"

namespace bulrushshore {

// How a target ends the connection on which it has responded.
enum class connection_end {
  kReset,
  // Ends the response in order and reads the rest of the upload.
  kHalfClose,
  // Ends both directions in order; what arrives afterwards is reset.
  kClose,
};

// A target that responds to the first bytes of a request, without reading the
// rest, and then ends its connection. Runs on the test's event loop. Not thread
// safe.
class early_target {
 public:
  // Time between the response and the end of its connection.
  static constexpr std::chrono::milliseconds kUsualPause{20};

  // Listens on a free port. Precondition: `loop` outlives this object.
  early_target(boost::asio::io_context& loop,
               std::string response,
               connection_end end,
               std::chrono::milliseconds pause = kUsualPause);
  ~early_target();
  early_target(const early_target&) = delete;
  early_target& operator=(const early_target&) = delete;

  endpoint address() const;

 private:
  struct connection;

  void Accept();
  void Respond(const std::shared_ptr<connection>& peer);
  void End(const std::shared_ptr<connection>& peer) const;
  static void Drain(const std::shared_ptr<connection>& peer);

  const std::string response_;
  const connection_end end_;
  const std::chrono::milliseconds pause_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<connection>> connections_;
};

}  // namespace bulrushshore

#endif  // TESTS_GATEWAY_EARLY_TARGET_H_
