#include "libraries/peer_protocol/websocket_peer_transport.h"

#include <algorithm>
#include <utility>

#include "libraries/peer_protocol/messages.h"
#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

constexpr long kEstablishTimeoutMs = 3'000;
// Peers that are not connected are remembered for their backoff only.
constexpr std::size_t kMaxRememberedPeers = 4'096;

}  // namespace

websocket_peer_transport::websocket_peer_transport(
    websocket_transport_options options,
    const clock& clock,
    metric_registry& metrics)
    : options_(std::move(options)),
      clock_(clock),
      refused_handshakes_(metrics.GetCounter(
          "peer_handshakes_refused_total",
          "Connections refused because the peer proved no key.")),
      full_queues_(metrics.GetCounter(
          "peer_frames_not_queued_total",
          "Frames dropped because the connection's queue was full.")),
      sent_frames_(metrics.GetCounter(
          "peer_frames_sent_total",
          "Frames sent to peers, those of handshakes included.")),
      sent_bytes_(metrics.GetCounter(
          "peer_bytes_sent_total",
          "Bytes of these frames, without WebSocket and TCP headers.")),
      received_frames_(metrics.GetCounter(
          "peer_frames_received_total",
          "Frames received from peers, those of handshakes included.")),
      received_bytes_(metrics.GetCounter(
          "peer_bytes_received_total",
          "Bytes of these frames, without WebSocket and TCP headers.")),
      open_connections_(
          metrics.GetGauge("peer_connections", "Open connections to peers.")),
      random_(seeded_random::FromSystemEntropy()),
      engine_(*this,
              {kMaxFrameBytes, kMaxHandshakeFrameBytes, kEstablishTimeoutMs}) {}

websocket_peer_transport::~websocket_peer_transport() {
  Stop();
}

status websocket_peer_transport::Start(peer_frame_listener& listener) {
  listener_ = &listener;
  const std::string fault =
      engine_.Start(options_.listen_address.ip, options_.listen_address.port);
  if (!fault.empty()) {
    return error{error_code::kUnavailable,
                 "cannot listen at " + FormatEndpoint(options_.listen_address) +
                     ": " + fault};
  }
  return OkStatus();
}

void websocket_peer_transport::Stop() {
  engine_.Stop();
}

status websocket_peer_transport::Send(const endpoint& peer, std::string frame) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::string address = FormatEndpoint(peer);
  const time_point now = clock_.Now();
  outgoing_link& link = outgoing_[address];
  link.last_used = now;
  if (link.is_ready) {
    return SendOn(*link.connection, std::move(frame));
  }
  if (!link.connection.has_value()) {
    if (now < link.not_before) {
      return error{error_code::kUnavailable, "waiting to connect again"};
    }
    CloseLeastRecentlyUsed();
    link.connection = engine_.Connect(peer.ip, peer.port);
    connections_[*link.connection].address = address;
  }
  if (frame.size() > kMaxFrameBytes ||
      link.waiting_bytes + frame.size() > options_.max_queued_bytes) {
    full_queues_.Increment();
    return error{error_code::kResourceExhausted, "the queue is full"};
  }
  link.waiting_bytes += frame.size();
  link.waiting.push_back(std::move(frame));
  return OkStatus();
}

status websocket_peer_transport::Reply(connection_id connection,
                                       std::string frame) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto position = connections_.find(connection);
  if (position == connections_.end() || !position->second.is_ready) {
    return error{error_code::kUnavailable, "the connection is closed"};
  }
  return SendOn(connection, std::move(frame));
}

endpoint websocket_peer_transport::local_address() const {
  return {options_.listen_address.ip, engine_.port()};
}

void websocket_peer_transport::OnAccepted(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  result<std::string> nonce = MakeNonce();
  const std::size_t incoming = static_cast<std::size_t>(std::count_if(
      connections_.begin(), connections_.end(),
      [](const std::pair<const connection_id, open_connection>& item) {
        return item.second.server.has_value();
      }));
  if (!IsOk(nonce) || incoming >= options_.max_incoming) {
    engine_.Close(connection);
    return;
  }
  connections_[connection].server.emplace(options_.keys, options_.self_id,
                                          TakeValue(std::move(nonce)));
  open_connections_.Add(1);
}

void websocket_peer_transport::OnConnected(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto position = connections_.find(connection);
  result<std::string> nonce = MakeNonce();
  if (position == connections_.end() || !IsOk(nonce)) {
    engine_.Close(connection);
    return;
  }
  open_connection& opened = position->second;
  opened.client.emplace(options_.keys, options_.self_id,
                        TakeValue(std::move(nonce)));
  open_connections_.Add(1);
  SendCounted(connection, opened.client->Hello());
}

void websocket_peer_transport::OnMessage(std::uint64_t connection,
                                         const std::string& bytes) {
  received_frames_.Increment();
  received_bytes_.Increment(bytes.size());
  std::string peer_id;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto position = connections_.find(connection);
    if (position == connections_.end()) {
      return;
    }
    if (!position->second.is_ready) {
      ContinueHandshake(connection, position->second, bytes);
      return;
    }
    peer_id = position->second.peer_id;
  }
  listener_->OnFrame(connection, peer_id, bytes);
}

void websocket_peer_transport::OnClosed(std::uint64_t connection) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto position = connections_.find(connection);
  if (position == connections_.end()) {
    return;
  }
  const open_connection closed = std::move(position->second);
  connections_.erase(position);
  if (closed.client.has_value() || closed.server.has_value()) {
    open_connections_.Add(-1);
  }
  const auto link_position = outgoing_.find(closed.address);
  if (link_position == outgoing_.end() ||
      link_position->second.connection != connection) {
    return;
  }
  outgoing_link& link = link_position->second;
  link.connection.reset();
  link.waiting.clear();
  link.waiting_bytes = 0;
  if (!std::exchange(link.is_ready, false)) {
    link.backoff = std::clamp(link.backoff * 2, options_.minimum_backoff,
                              options_.maximum_backoff);
    const double jitter = 0.5 + random_.UniformReal() / 2;
    link.not_before = clock_.Now() + std::chrono::duration_cast<duration>(
                                         link.backoff * jitter);
  }
  if (outgoing_.size() > kMaxRememberedPeers) {
    outgoing_.erase(link_position);
  }
}

void websocket_peer_transport::ContinueHandshake(connection_id number,
                                                 open_connection& connection,
                                                 const std::string& bytes) {
  if (connection.client.has_value()) {
    ContinueAsClient(number, connection, bytes);
  } else if (connection.server.has_value()) {
    ContinueAsServer(number, connection, bytes);
  }
}

void websocket_peer_transport::ContinueAsClient(connection_id number,
                                                open_connection& connection,
                                                const std::string& bytes) {
  result<std::string> proof = connection.client->OnChallenge(bytes);
  if (!IsOk(proof)) {
    Refuse(number);
    return;
  }
  SendCounted(number, TakeValue(std::move(proof)));
  engine_.MarkEstablished(number);
  connection.peer_id = connection.client->peer_id();
  connection.is_ready = true;
  FlushWaiting(outgoing_[connection.address]);
}

void websocket_peer_transport::ContinueAsServer(connection_id number,
                                                open_connection& connection,
                                                const std::string& bytes) {
  if (!connection.has_answered_hello) {
    result<std::string> challenge = connection.server->OnHello(bytes);
    if (!IsOk(challenge)) {
      Refuse(number);
      return;
    }
    connection.has_answered_hello = true;
    SendCounted(number, TakeValue(std::move(challenge)));
    return;
  }
  if (!IsOk(connection.server->OnProof(bytes))) {
    Refuse(number);
    return;
  }
  engine_.MarkEstablished(number);
  connection.peer_id = connection.server->peer_id();
  connection.is_ready = true;
}

void websocket_peer_transport::Refuse(connection_id number) {
  refused_handshakes_.Increment();
  engine_.Close(number);
}

void websocket_peer_transport::FlushWaiting(outgoing_link& link) {
  link.is_ready = true;
  link.backoff = duration(0);
  while (!link.waiting.empty()) {
    SendCounted(*link.connection, std::move(link.waiting.front()));
    link.waiting.pop_front();
  }
  link.waiting_bytes = 0;
}

void websocket_peer_transport::CloseLeastRecentlyUsed() {
  std::size_t open = 0;
  const outgoing_link* oldest = nullptr;
  for (const std::map<std::string, outgoing_link>::value_type& item :
       outgoing_) {
    const outgoing_link& link = item.second;
    open += link.connection.has_value() ? 1U : 0U;
    if (link.is_ready &&
        (oldest == nullptr || link.last_used < oldest->last_used)) {
      oldest = &link;
    }
  }
  if (open >= options_.max_outgoing && oldest != nullptr) {
    engine_.Close(*oldest->connection);
  }
}

status websocket_peer_transport::SendOn(connection_id number,
                                        std::string frame) {
  if (frame.size() > kMaxFrameBytes ||
      engine_.QueuedBytes(number) + frame.size() > options_.max_queued_bytes) {
    full_queues_.Increment();
    return error{error_code::kResourceExhausted, "the queue is full"};
  }
  SendCounted(number, std::move(frame));
  return OkStatus();
}

void websocket_peer_transport::SendCounted(connection_id number,
                                           std::string frame) {
  sent_frames_.Increment();
  sent_bytes_.Increment(frame.size());
  engine_.Send(number, std::move(frame));
}

}  // namespace bulrushshore
