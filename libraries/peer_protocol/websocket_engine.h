#ifndef LIBRARIES_PEER_PROTOCOL_WEBSOCKET_ENGINE_H_
#define LIBRARIES_PEER_PROTOCOL_WEBSOCKET_ENGINE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

// This header and its source stay free of C++20, because websocketpp 0.8.2 does
// not compile as C++20 with g++ 12.

namespace bulrushshore {

// Receives the events of a websocket_engine, all on its thread.
class websocket_listener {
 public:
  virtual ~websocket_listener() = default;

  virtual void OnAccepted(std::uint64_t connection) = 0;
  virtual void OnConnected(std::uint64_t connection) = 0;
  virtual void OnMessage(std::uint64_t connection,
                         const std::string& bytes) = 0;
  // The connection has closed, or could not be opened.
  virtual void OnClosed(std::uint64_t connection) = 0;
};

// WebSocket connections, server and client side, on one thread. Knows nothing
// of the protocol above it. Thread safe.
class websocket_engine {
 public:
  struct limits {
    std::size_t max_message_bytes;
    // Bound for peers that are not marked as established.
    std::size_t max_early_message_bytes;
    // A connection that is not marked as established in time is closed.
    long establish_timeout_ms;
  };

  // Precondition: `listener` outlives this object.
  websocket_engine(websocket_listener& listener, const limits& limits);
  // Stops.
  ~websocket_engine();

  websocket_engine(const websocket_engine&) = delete;
  websocket_engine& operator=(const websocket_engine&) = delete;

  // Listens at a numeric address and starts the thread; port 0 picks a free
  // one. Returns an empty text, or the reason of the failure.
  std::string Start(const std::string& ip, std::uint16_t port);

  // Closes all connections and ends the thread. No event follows.
  void Stop();

  // Returns the port in use. Precondition: started.
  std::uint16_t port() const;

  // Opens a connection to a numeric address and returns its number at once;
  // OnConnected() or OnClosed() follows.
  std::uint64_t Connect(const std::string& ip, std::uint16_t port);

  // Queues a binary message; dropped if the connection is gone.
  void Send(std::uint64_t connection, std::string bytes);

  // Notes that the peer is authenticated.
  void MarkEstablished(std::uint64_t connection);

  // Closes a connection; OnClosed() follows.
  void Close(std::uint64_t connection);

  // Returns the bytes that wait to be sent on a connection.
  std::size_t QueuedBytes(std::uint64_t connection) const;

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_WEBSOCKET_ENGINE_H_
