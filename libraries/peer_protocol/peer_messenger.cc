#include "libraries/peer_protocol/peer_messenger.h"

#include <cassert>
#include <utility>
#include <vector>

#include "libraries/peer_protocol/message_codec.h"

namespace bulrushshore {
namespace {

constexpr std::string_view kDroppedFramesName = "peer_frames_dropped_total";
constexpr std::string_view kDroppedFramesHelp =
    "Frames of authenticated peers that were dropped, by reason.";

counter& DroppedFrames(metric_registry& metrics, const char* reason) {
  return metrics.GetCounter(kDroppedFramesName, kDroppedFramesHelp,
                            {{"reason", reason}});
}

}  // namespace

peer_messenger::peer_messenger(std::string self_id,
                               peer_transport& transport,
                               const clock& clock,
                               metric_registry& metrics)
    : self_id_(std::move(self_id)),
      transport_(transport),
      clock_(clock),
      malformed_frames_(DroppedFrames(metrics, "malformed")),
      unknown_types_(DroppedFrames(metrics, "unknown_type")),
      late_replies_(DroppedFrames(metrics, "late_reply")),
      impersonations_(DroppedFrames(metrics, "impersonation")),
      timeouts_(metrics.GetCounter("peer_request_timeouts_total",
                                   "Requests to peers without a reply.")) {}

peer_messenger::~peer_messenger() = default;

void peer_messenger::SetRequestHandler(const peer_body& prototype,
                                       request_handler handler) {
  assert(!IsReply(prototype));
  request_handlers_[prototype.index()] = std::move(handler);
}

status peer_messenger::Start() {
  return transport_.Start(*this);
}

void peer_messenger::Stop() {
  transport_.Stop();
  // Handlers hold actors that hold this object.
  request_handlers_.clear();
  std::map<std::uint64_t, pending_request> abandoned;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopped_ = true;
    abandoned.swap(pending_);
  }
  for (std::map<std::uint64_t, pending_request>::value_type& entry :
       abandoned) {
    entry.second.handler(
        error{error_code::kUnavailable, "the messenger has stopped"});
  }
}

void peer_messenger::Request(const endpoint& peer,
                             peer_body body,
                             duration timeout,
                             reply_handler handler) {
  assert(!IsReply(body));
  pending_request pending;
  // Each request type is followed by its reply type in peer_body.
  pending.reply_type = body.index() + 1;
  pending.deadline = clock_.Now() + timeout;
  pending.handler = std::move(handler);
  peer_message message{0, self_id_, std::move(body)};
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    message.id = next_id_++;
    pending_.emplace(message.id, std::move(pending));
  }
  const status sent = transport_.Send(peer, EncodeMessage(message));
  if (IsOk(sent)) {
    return;
  }
  const reply_handler failed = TakePending(message.id);
  if (failed != nullptr) {
    failed(ErrorOf(sent));
  }
}

void peer_messenger::Schedule(duration delay, std::function<void()> action) {
  pending_request pending;
  pending.deadline = clock_.Now() + delay;
  pending.handler = [action = std::move(action)](const result<peer_body>&) {
    action();
  };
  const std::lock_guard<std::mutex> lock(mutex_);
  pending_.emplace(next_id_++, std::move(pending));
}

bool peer_messenger::is_stopped() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return is_stopped_;
}

void peer_messenger::Reply(const peer_request& request, peer_body body) {
  assert(IsReply(body));
  const peer_message message{request.id, self_id_, std::move(body)};
  // The requester's time-out covers an answer that cannot be sent.
  static_cast<void>(
      transport_.Reply(request.connection, EncodeMessage(message)));
}

void peer_messenger::ExpireRequests() {
  const time_point now = clock_.Now();
  std::vector<reply_handler> expired;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto entry = pending_.begin();
    while (entry != pending_.end()) {
      if (entry->second.deadline > now) {
        ++entry;
        continue;
      }
      timeouts_.Increment(entry->second.reply_type == kNoReply ? 0 : 1);
      expired.push_back(std::move(entry->second.handler));
      entry = pending_.erase(entry);
    }
  }
  for (const reply_handler& handler : expired) {
    handler(error{error_code::kDeadlineExceeded, "the peer did not reply"});
  }
}

std::size_t peer_messenger::pending_requests() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return pending_.size();
}

void peer_messenger::OnFrame(connection_id connection,
                             std::string_view peer_id,
                             std::string_view frame) {
  result<peer_message> message = DecodeMessage(frame);
  if (!IsOk(message)) {
    const bool is_unknown = ErrorOf(message).code == error_code::kNotFound;
    (is_unknown ? unknown_types_ : malformed_frames_).Increment();
    return;
  }
  if (ValueOf(message).from != peer_id) {
    impersonations_.Increment();
    return;
  }
  if (IsReply(ValueOf(message).body)) {
    HandleReply(TakeValue(std::move(message)));
    return;
  }
  HandleRequest(connection, TakeValue(std::move(message)));
}

void peer_messenger::HandleReply(peer_message message) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto position = pending_.find(message.id);
    if (position == pending_.end() ||
        position->second.reply_type != message.body.index()) {
      late_replies_.Increment();
      return;
    }
  }
  const reply_handler handler = TakePending(message.id);
  if (handler != nullptr) {
    handler(std::move(message.body));
  }
}

void peer_messenger::HandleRequest(connection_id connection,
                                   peer_message message) {
  const auto position = request_handlers_.find(message.body.index());
  if (position == request_handlers_.end()) {
    unknown_types_.Increment();
    return;
  }
  position->second(peer_request{connection, message.id, std::move(message.from),
                                std::move(message.body)});
}

peer_messenger::reply_handler peer_messenger::TakePending(std::uint64_t id) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto position = pending_.find(id);
  if (position == pending_.end()) {
    return nullptr;
  }
  reply_handler handler = std::move(position->second.handler);
  pending_.erase(position);
  return handler;
}

}  // namespace bulrushshore
