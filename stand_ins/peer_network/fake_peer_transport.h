#ifndef STAND_INS_PEER_NETWORK_FAKE_PEER_TRANSPORT_H_
#define STAND_INS_PEER_NETWORK_FAKE_PEER_TRANSPORT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "libraries/peer_protocol/peer_transport.h"

namespace bulrushshore {

class fake_peer_transport;

// An in-memory network for tests. Frames wait in one queue until the test
// delivers them, in the order in which they were sent. Not thread safe.
class fake_peer_network {
 public:
  struct traffic {
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
  };

  // Returns a transport that listens at `address` for the host `id`.
  // Precondition: this object outlives it.
  std::unique_ptr<fake_peer_transport> Attach(std::string id,
                                              const endpoint& address);

  // Drops frames from `from` to `to` from now on; the other direction is not
  // affected. Replies take the direction of their sender.
  void Cut(const endpoint& from, const endpoint& to);
  void Restore(const endpoint& from, const endpoint& to);

  // Drops all frames to and from `address`, like a host that lost power.
  void Isolate(const endpoint& address);
  void Reconnect(const endpoint& address);

  // Delivers the frames that wait now; frames sent meanwhile stay for the next
  // call. Returns the number delivered.
  std::size_t DeliverWaiting();

  // Drops the frames that wait now.
  void DropWaiting();

  // Returns what each address, as text, sent since the last call of
  // ResetTraffic().
  const std::map<std::string, traffic>& sent() const { return sent_; }
  void ResetTraffic();

 private:
  friend class fake_peer_transport;

  struct waiting_frame {
    endpoint from;
    endpoint to;
    std::string bytes;
  };

  void Queue(waiting_frame frame);
  bool IsCut(const endpoint& from, const endpoint& to) const;
  connection_id ConnectionTo(const endpoint& address);

  // Keyed by the texts of addresses.
  std::map<std::string, fake_peer_transport*> transports_;
  std::map<std::string, connection_id> connection_ids_;
  std::vector<endpoint> connections_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> isolated_;
  std::deque<waiting_frame> waiting_;
  std::map<std::string, traffic> sent_;
};

// One host's side of a fake_peer_network. Not thread safe.
class fake_peer_transport : public peer_transport {
 public:
  fake_peer_transport(fake_peer_network& network,
                      std::string id,
                      const endpoint& address);
  ~fake_peer_transport() override;

  fake_peer_transport(const fake_peer_transport&) = delete;
  fake_peer_transport& operator=(const fake_peer_transport&) = delete;

  status Start(peer_frame_listener& listener) override;
  void Stop() override;
  status Send(const endpoint& peer, std::string frame) override;
  status Reply(connection_id connection, std::string frame) override;
  endpoint local_address() const override;

 private:
  friend class fake_peer_network;

  fake_peer_network& network_;
  const std::string id_;
  const endpoint address_;
  peer_frame_listener* listener_ = nullptr;
};

}  // namespace bulrushshore

#endif  // STAND_INS_PEER_NETWORK_FAKE_PEER_TRANSPORT_H_
