#ifndef LIBRARIES_PEER_PROTOCOL_PEER_MESSENGER_H_
#define LIBRARIES_PEER_PROTOCOL_PEER_MESSENGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/peer_protocol/messages.h"
#include "libraries/peer_protocol/peer_transport.h"
#include "libraries/telemetry/metrics.h"

namespace bulrushshore {

// A request of another host, with what is needed to answer it.
struct peer_request {
  connection_id connection = 0;
  std::uint64_t id = 0;
  std::string from;
  peer_body body;
};

// Sends typed requests over a transport, matches replies to them and passes
// incoming requests on. Thread safe. Handlers run on the transport's thread or
// the thread that calls into this object, and must not block.
class peer_messenger : private peer_frame_listener {
 public:
  using reply_handler = std::function<void(result<peer_body>)>;
  using request_handler = std::function<void(peer_request)>;

  // Precondition: the referenced objects outlive this one.
  peer_messenger(std::string self_id,
                 peer_transport& transport,
                 const clock& clock,
                 metric_registry& metrics);
  ~peer_messenger() override;

  peer_messenger(const peer_messenger&) = delete;
  peer_messenger& operator=(const peer_messenger&) = delete;

  // Sets who handles requests of the type of `prototype`. Precondition: called
  // before Start(), once per type.
  void SetRequestHandler(const peer_body& prototype, request_handler handler);

  // Starts the transport. Errors as for peer_transport::Start().
  status Start();

  // Stops the transport and fails the requests that wait for a reply.
  void Stop();

  // Sends a request. `handler` is called exactly once: with the reply, with the
  // transport's error, or with kDeadlineExceeded after `timeout`.
  // Precondition: `body` is not a reply.
  void Request(const endpoint& peer,
               peer_body body,
               duration timeout,
               reply_handler handler);

  // Calls `action` once after `delay`, or at Stop().
  void Schedule(duration delay, std::function<void()> action);

  // Returns true after Stop() was called.
  bool is_stopped() const;

  // Answers a request; the answer is dropped if the connection is gone.
  // Precondition: IsReply(body).
  void Reply(const peer_request& request, peer_body body);

  // Fails the requests whose time-out has passed. Called regularly by the
  // owner, since this object has no thread of its own.
  void ExpireRequests();

  // Returns the number of requests that wait for a reply.
  std::size_t pending_requests() const;

 private:
  static constexpr std::size_t kNoReply = std::variant_size_v<peer_body>;

  struct pending_request {
    // Index of the reply type in peer_body; kNoReply for a scheduled action.
    std::size_t reply_type = kNoReply;
    time_point deadline;
    reply_handler handler;
  };

  void OnFrame(connection_id connection,
               std::string_view peer_id,
               std::string_view frame) override;
  void HandleReply(peer_message message);
  void HandleRequest(connection_id connection, peer_message message);
  // Removes a pending request and returns its handler, or null.
  reply_handler TakePending(std::uint64_t id);

  const std::string self_id_;
  peer_transport& transport_;
  const clock& clock_;
  counter& malformed_frames_;
  counter& unknown_types_;
  counter& late_replies_;
  counter& impersonations_;
  counter& timeouts_;
  // Written before Start() only.
  std::map<std::size_t, request_handler> request_handlers_;
  mutable std::mutex mutex_;
  bool is_stopped_ = false;
  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, pending_request> pending_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_PEER_MESSENGER_H_
