#ifndef STAND_INS_OBJECT_STORE_STORE_SERVER_H_
#define STAND_INS_OBJECT_STORE_STORE_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "libraries/base/result.h"

namespace bulrushshore {

struct store_server_options {
  std::string ip = "127.0.0.1";
  // 0 picks a free port.
  std::uint16_t port = 0;
  // Connections served at the same time; a waiting watch holds one.
  std::size_t threads = 256;
};

// Stands in for the platform's object store and machine list: the HTTP form of
// docs/store.md in memory, with control endpoints for faults. Thread safe.
class store_server {
 public:
  explicit store_server(store_server_options options);
  // Stops the server.
  ~store_server();

  store_server(const store_server&) = delete;
  store_server& operator=(const store_server&) = delete;

  // Starts to listen and serves on a thread of its own. Returns the port.
  // kUnavailable if the address cannot be used. Precondition: not started.
  result<std::uint16_t> Start();

  // Ends all connections and waits until the last one is closed.
  void Stop();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace bulrushshore

#endif  // STAND_INS_OBJECT_STORE_STORE_SERVER_H_
