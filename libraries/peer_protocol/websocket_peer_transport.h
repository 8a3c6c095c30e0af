#ifndef LIBRARIES_PEER_PROTOCOL_WEBSOCKET_PEER_TRANSPORT_H_
#define LIBRARIES_PEER_PROTOCOL_WEBSOCKET_PEER_TRANSPORT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/peer_protocol/handshake.h"
#include "libraries/peer_protocol/peer_transport.h"
#include "libraries/peer_protocol/websocket_engine.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

struct websocket_transport_options {
  // Host id that this host gives to its peers.
  std::string self_id;
  // Port 0 picks a free port.
  endpoint listen_address;
  peer_keys keys;
  std::size_t max_queued_bytes = 4'194'304;
  // Connections to random peers are closed again, least recently used first.
  std::size_t max_outgoing = 48;
  std::size_t max_incoming = 512;
  duration minimum_backoff = std::chrono::milliseconds(200);
  duration maximum_backoff = std::chrono::seconds(10);
};

// Peer connections over WebSockets. Thread safe.
class websocket_peer_transport : public peer_transport,
                                 private websocket_listener {
 public:
  // Precondition: `clock` and `metrics` outlive this object.
  websocket_peer_transport(websocket_transport_options options,
                           const clock& clock,
                           metric_registry& metrics);
  ~websocket_peer_transport() override;

  websocket_peer_transport(const websocket_peer_transport&) = delete;
  websocket_peer_transport& operator=(const websocket_peer_transport&) = delete;

  status Start(peer_frame_listener& listener) override;
  void Stop() override;
  status Send(const endpoint& peer, std::string frame) override;
  status Reply(connection_id connection, std::string frame) override;
  endpoint local_address() const override;

 private:
  // A connection that this host opens to a peer.
  struct outgoing_link {
    std::optional<connection_id> connection;
    bool is_ready = false;
    // Frames that wait for the handshake.
    std::deque<std::string> waiting;
    std::size_t waiting_bytes = 0;
    time_point last_used;
    time_point not_before;
    duration backoff{0};
  };

  // What is known of an open connection of either side.
  struct open_connection {
    std::optional<handshake_client> client;
    std::optional<handshake_server> server;
    bool has_answered_hello = false;
    bool is_ready = false;
    std::string peer_id;
    // Key in outgoing_; empty for accepted connections.
    std::string address;
  };

  void OnAccepted(std::uint64_t connection) override;
  void OnConnected(std::uint64_t connection) override;
  void OnMessage(std::uint64_t connection, const std::string& bytes) override;
  void OnClosed(std::uint64_t connection) override;

  // The methods below need the lock.
  void ContinueHandshake(connection_id number,
                         open_connection& connection,
                         const std::string& bytes);
  void ContinueAsClient(connection_id number,
                        open_connection& connection,
                        const std::string& bytes);
  void ContinueAsServer(connection_id number,
                        open_connection& connection,
                        const std::string& bytes);
  void Refuse(connection_id number);
  void FlushWaiting(outgoing_link& link);
  void CloseLeastRecentlyUsed();
  status SendOn(connection_id number, std::string frame);
  // Hands `frame` to the engine and counts it.
  void SendCounted(connection_id number, std::string frame);

  const websocket_transport_options options_;
  const clock& clock_;
  counter& refused_handshakes_;
  counter& full_queues_;
  counter& sent_frames_;
  counter& sent_bytes_;
  counter& received_frames_;
  counter& received_bytes_;
  gauge& open_connections_;
  peer_frame_listener* listener_ = nullptr;
  mutable std::mutex mutex_;
  seeded_random random_;
  std::map<std::string, outgoing_link> outgoing_;
  std::map<connection_id, open_connection> connections_;
  websocket_engine engine_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_WEBSOCKET_PEER_TRANSPORT_H_
