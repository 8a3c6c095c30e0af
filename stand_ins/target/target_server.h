#ifndef STAND_INS_TARGET_TARGET_SERVER_H_
#define STAND_INS_TARGET_TARGET_SERVER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>

#include <httplib.h>

namespace bulrushshore {

// An HTTP server that serves each connection through `connection`, with one
// thread per open connection, started on demand.
class target_server : public httplib::Server {
 public:
  explicit target_server(std::size_t max_connections);

  // Binds 127.0.0.1:`port`, or a free port if it is 0. Returns the port, or
  // nothing if it cannot be bound. Call before listen_after_bind().
  std::optional<int> Bind(int port);

  // Makes all connections that are open now go silent for ever. Thread safe.
  void FreezeOpenConnections();

  // Returns whether the connection of the calling thread is frozen.
  bool IsCurrentConnectionFrozen() const;

  // Returns whether stop() was called. Thread safe.
  bool IsStopping() const;

 private:
  bool process_and_close_socket(socket_t socket) override;

  std::atomic<std::uint64_t> freeze_epoch_{0};
};

}  // namespace bulrushshore

#endif  // STAND_INS_TARGET_TARGET_SERVER_H_
