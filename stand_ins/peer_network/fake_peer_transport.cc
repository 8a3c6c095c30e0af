#include "stand_ins/peer_network/fake_peer_transport.h"

#include <cassert>

#include "libraries/peer_protocol/messages.h"

namespace bulrushshore {

std::unique_ptr<fake_peer_transport> fake_peer_network::Attach(
    std::string id,
    const endpoint& address) {
  return std::make_unique<fake_peer_transport>(*this, std::move(id), address);
}

void fake_peer_network::Cut(const endpoint& from, const endpoint& to) {
  cuts_.emplace(FormatEndpoint(from), FormatEndpoint(to));
}

void fake_peer_network::Restore(const endpoint& from, const endpoint& to) {
  cuts_.erase({FormatEndpoint(from), FormatEndpoint(to)});
}

void fake_peer_network::Isolate(const endpoint& address) {
  isolated_.insert(FormatEndpoint(address));
}

void fake_peer_network::Reconnect(const endpoint& address) {
  isolated_.erase(FormatEndpoint(address));
}

std::size_t fake_peer_network::DeliverWaiting() {
  std::deque<waiting_frame> frames;
  frames.swap(waiting_);
  std::size_t delivered = 0;
  for (const waiting_frame& frame : frames) {
    const auto receiver = transports_.find(FormatEndpoint(frame.to));
    const auto sender = transports_.find(FormatEndpoint(frame.from));
    if (IsCut(frame.from, frame.to) || receiver == transports_.end() ||
        sender == transports_.end() || receiver->second->listener_ == nullptr) {
      continue;
    }
    receiver->second->listener_->OnFrame(ConnectionTo(frame.from),
                                         sender->second->id_, frame.bytes);
    ++delivered;
  }
  return delivered;
}

void fake_peer_network::DropWaiting() {
  waiting_.clear();
}

void fake_peer_network::ResetTraffic() {
  sent_.clear();
}

void fake_peer_network::Queue(waiting_frame frame) {
  traffic& total = sent_[FormatEndpoint(frame.from)];
  ++total.frames;
  total.bytes += frame.bytes.size();
  waiting_.push_back(std::move(frame));
}

bool fake_peer_network::IsCut(const endpoint& from, const endpoint& to) const {
  const std::string sender = FormatEndpoint(from);
  const std::string receiver = FormatEndpoint(to);
  return isolated_.count(sender) != 0 || isolated_.count(receiver) != 0 ||
         cuts_.count({sender, receiver}) != 0;
}

connection_id fake_peer_network::ConnectionTo(const endpoint& address) {
  const auto position =
      connection_ids_.try_emplace(FormatEndpoint(address), connections_.size())
          .first;
  if (position->second == connections_.size()) {
    connections_.push_back(address);
  }
  return position->second;
}

fake_peer_transport::fake_peer_transport(fake_peer_network& network,
                                         std::string id,
                                         const endpoint& address)
    : network_(network), id_(std::move(id)), address_(address) {
  network_.transports_[FormatEndpoint(address_)] = this;
}

fake_peer_transport::~fake_peer_transport() {
  const auto position = network_.transports_.find(FormatEndpoint(address_));
  if (position != network_.transports_.end() && position->second == this) {
    network_.transports_.erase(position);
  }
}

status fake_peer_transport::Start(peer_frame_listener& listener) {
  listener_ = &listener;
  return OkStatus();
}

void fake_peer_transport::Stop() {
  listener_ = nullptr;
}

status fake_peer_transport::Send(const endpoint& peer, std::string frame) {
  if (frame.size() > kMaxFrameBytes) {
    return error{error_code::kResourceExhausted, "frame is too large"};
  }
  if (listener_ == nullptr) {
    return error{error_code::kUnavailable, "the transport has stopped"};
  }
  network_.Queue({address_, peer, std::move(frame)});
  return OkStatus();
}

status fake_peer_transport::Reply(connection_id connection, std::string frame) {
  assert(connection < network_.connections_.size());
  return Send(network_.connections_[connection], std::move(frame));
}

endpoint fake_peer_transport::local_address() const {
  return address_;
}

}  // namespace bulrushshore
