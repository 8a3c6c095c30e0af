#ifndef STAND_INS_LINK_LINK_RELAY_H_
#define STAND_INS_LINK_LINK_RELAY_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <thread>

#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"

namespace bulrushshore {

enum class link_mode {
  kPass,
  // Bytes towards the server wait until the mode ends, as if each packet were
  // lost and sent again.
  kCutToServer,
  // Bytes towards the client wait until the mode ends.
  kCutToClient,
  // Connections that are open when the mode starts never pass anything again,
  // not even their end; new ones work.
  kSilent,
};

// Returns nothing if `name` is no mode. Thread safe.
std::optional<link_mode> ParseLinkMode(std::string_view name);

// Passes bytes between the clients that connect to it and a server. Thread
// safe.
class link_relay {
 public:
  explicit link_relay(const endpoint& server);
  // Stops.
  ~link_relay();

  link_relay(const link_relay&) = delete;
  link_relay& operator=(const link_relay&) = delete;

  // Listens on 127.0.0.1:`port`, or a free port if it is 0, and returns the
  // port. kUnavailable if it cannot be used. Precondition: not started.
  result<std::uint16_t> Start(std::uint16_t port);

  void SetMode(link_mode mode);

  // Closes all connections and waits for their threads. Precondition: not
  // called by two threads at once.
  void Stop();

 private:
  struct relayed_connection {
    std::atomic<bool> is_finished{false};
    std::thread thread;
  };

  void Accept();
  void RemoveFinished();
  void Relay(int client);
  bool IsSilent(std::uint64_t epoch) const { return epoch < silent_epoch_; }

  const endpoint server_;
  int listener_ = -1;
  std::atomic<link_mode> mode_{link_mode::kPass};
  std::atomic<std::uint64_t> silent_epoch_{0};
  std::atomic<bool> is_stopping_{false};
  std::thread accept_thread_;
  // Used by the accepting thread, and by Stop() after that thread has ended.
  std::list<relayed_connection> connections_;
};

}  // namespace bulrushshore

#endif  // STAND_INS_LINK_LINK_RELAY_H_
