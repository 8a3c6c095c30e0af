#ifndef LIBRARIES_PEER_PROTOCOL_PEER_TRANSPORT_H_
#define LIBRARIES_PEER_PROTOCOL_PEER_TRANSPORT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"

namespace bulrushshore {

// Identifies a connection within one transport; never used twice.
using connection_id = std::uint64_t;

// Receives the frames of authenticated peers.
class peer_frame_listener {
 public:
  virtual ~peer_frame_listener() = default;

  // Called on the transport's thread, which it must not block. `peer_id` is the
  // host id that the peer gave when it authenticated.
  virtual void OnFrame(connection_id connection,
                       std::string_view peer_id,
                       std::string_view frame) = 0;
};

// Carries frames between this host and its peers. Frames of one connection
// arrive in order; any frame may be lost without notice. Implementations are
// thread safe.
class peer_transport {
 public:
  virtual ~peer_transport() = default;

  // Starts to accept connections. `listener` outlives the call of Stop().
  // kUnavailable if the address is in use. Precondition: not started before.
  virtual status Start(peer_frame_listener& listener) = 0;

  // Closes all connections. The listener is not called after the return.
  virtual void Stop() = 0;

  // Queues a frame for the host that listens at `peer`, connecting if need be.
  // kUnavailable while the connection waits for its next attempt,
  // kResourceExhausted if the frame or the connection's queue is too large.
  virtual status Send(const endpoint& peer, std::string frame) = 0;

  // Queues a frame on a connection over which a frame was received.
  // kUnavailable if it is closed, kResourceExhausted as for Send().
  virtual status Reply(connection_id connection, std::string frame) = 0;

  // Returns the address that peers connect to, with the port in use.
  // Precondition: started.
  virtual endpoint local_address() const = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_PEER_TRANSPORT_H_
