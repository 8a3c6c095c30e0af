#include "libraries/membership/key_handover.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/peer_protocol/message_fields.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kSliceTimeout(1);
constexpr std::chrono::milliseconds kRetryDelay(500);
constexpr std::uint32_t kAttemptsPerSlice = 8;
constexpr std::size_t kMaxReceiving = 2;
constexpr std::chrono::seconds kIdleTransferTime(30);
// Results are remembered for repeated last slices.
constexpr std::chrono::minutes kResultTime(10);

// Sends one table, slice after slice. Each step starts when the one before has
// ended, so that no two threads use it at once.
class handover_sender : public std::enable_shared_from_this<handover_sender> {
 public:
  handover_sender(std::shared_ptr<peer_messenger> messenger,
                  const endpoint& successor,
                  handover_contents contents,
                  handover_done done)
      : messenger_(std::move(messenger)),
        successor_(successor),
        contents_(std::move(contents)),
        done_(std::move(done)) {}

  void SendSlice() {
    ++attempts_;
    handover_message message;
    message.incarnation = contents_.incarnation;
    message.inherited_incarnations = contents_.inherited_incarnations;
    message.successor = contents_.successor;
    message.total_bytes = contents_.bytes.size();
    message.offset = offset_;
    message.bytes = contents_.bytes.substr(offset_, kMaxSliceBytes);
    messenger_->Request(
        successor_, std::move(message), kSliceTimeout,
        [self = shared_from_this()](const result<peer_body>& reply) {
          self->OnReply(reply);
        });
  }

 private:
  void OnReply(const result<peer_body>& reply) {
    if (!IsOk(reply)) {
      OnFailure(ErrorOf(reply));
      return;
    }
    was_sent_ = true;
    const handover_ack_message* ack =
        std::get_if<handover_ack_message>(&ValueOf(reply));
    if (ack == nullptr || ack->incarnation != contents_.incarnation) {
      OnFailure(
          error{error_code::kInternal, "the answer is for another table"});
      return;
    }
    if (!ack->is_accepted) {
      // After a slice without an answer the refusal may come from another
      // process at the address of the one that took the keys.
      done_(error{may_be_taken_ ? error_code::kUnknownEffect
                                : error_code::kPermissionDenied,
                  "the successor refused the keys"});
      return;
    }
    if (ack->is_complete) {
      done_(OkStatus());
      return;
    }
    const bool has_progressed = ack->received_bytes > offset_;
    offset_ =
        std::min<std::uint64_t>(ack->received_bytes, contents_.bytes.size());
    if (has_progressed) {
      attempts_ = 0;
      SendSlice();
      return;
    }
    OnFailure(error{error_code::kInternal, "the successor takes no slice"});
  }

  void OnFailure(const error& fault) {
    // The transport fails a frame with these codes before it sends a byte.
    may_be_taken_ = may_be_taken_ || messenger_->is_stopped() ||
                    (fault.code != error_code::kUnavailable &&
                     fault.code != error_code::kResourceExhausted);
    was_sent_ = was_sent_ || may_be_taken_;
    if (attempts_ >= kAttemptsPerSlice || messenger_->is_stopped()) {
      const error_code code =
          was_sent_ ? error_code::kUnknownEffect : error_code::kUnavailable;
      done_(error{code, fault.message});
      return;
    }
    messenger_->Schedule(kRetryDelay,
                         [self = shared_from_this()] { self->SendSlice(); });
  }

  const std::shared_ptr<peer_messenger> messenger_;
  const endpoint successor_;
  const handover_contents contents_;
  const handover_done done_;
  std::uint64_t offset_ = 0;
  std::uint32_t attempts_ = 0;
  bool was_sent_ = false;
  // A slice was sent and stayed without an answer.
  bool may_be_taken_ = false;
};

}  // namespace

std::string JoinHandoverParts(const std::vector<std::string>& parts) {
  nlohmann::json list = nlohmann::json::array();
  for (const std::string& part : parts) {
    list.push_back(BinaryField(part));
  }
  return SerializeCbor(list);
}

result<std::vector<std::string>> SplitHandoverParts(std::string_view bytes) {
  const result<nlohmann::json> list = ParseBoundedCbor(bytes);
  if (!IsOk(list)) {
    return ErrorOf(list);
  }
  std::vector<std::string> parts;
  for (const nlohmann::json& item : ValueOf(list)) {
    if (!ValueOf(list).is_array() || !item.is_binary()) {
      return error{error_code::kInvalidArgument, "expected byte strings"};
    }
    const nlohmann::json::binary_t& part = item.get_binary();
    parts.emplace_back(part.begin(), part.end());
  }
  return parts;
}

void SendHandover(const std::shared_ptr<peer_messenger>& messenger,
                  const endpoint& successor,
                  handover_contents contents,
                  handover_done done) {
  if (contents.bytes.size() > kMaxHandoverBytes) {
    done(error{error_code::kResourceExhausted, "the key table is too large"});
    return;
  }
  std::make_shared<handover_sender>(messenger, successor, std::move(contents),
                                    std::move(done))
      ->SendSlice();
}

handover_receiver::handover_receiver(std::string incarnation)
    : incarnation_(std::move(incarnation)) {}

handover_receiver::outcome handover_receiver::OnSlice(
    const handover_message& message,
    bool accepts_new,
    time_point now) {
  if (message.successor != incarnation_) {
    return {handover_ack_message{message.incarnation, false, 0, false}, {}};
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  transfer* found = FindOrBegin(message, accepts_new, now);
  const bool is_refused = found == nullptr ||
                          found->current == phase::kRefused ||
                          found->total_bytes != message.total_bytes;
  if (is_refused) {
    return {handover_ack_message{message.incarnation, false, 0, false}, {}};
  }
  if (found->current == phase::kImported) {
    return {handover_ack_message{message.incarnation, true, message.total_bytes,
                                 true},
            {}};
  }
  if (found->current == phase::kImporting) {
    return {};
  }
  found->last_slice = now;
  std::string& bytes = found->contents.bytes;
  if (message.offset == bytes.size()) {
    bytes += message.bytes;
  }
  if (bytes.size() < found->total_bytes) {
    return {
        handover_ack_message{message.incarnation, true, bytes.size(), false},
        {}};
  }
  found->current = phase::kImporting;
  return {std::nullopt, std::move(found->contents)};
}

handover_ack_message handover_receiver::Finish(const std::string& incarnation,
                                               bool is_imported) {
  const std::lock_guard<std::mutex> lock(mutex_);
  transfer& finished = transfers_[incarnation];
  finished.current = is_imported ? phase::kImported : phase::kRefused;
  return {incarnation, is_imported, finished.total_bytes, is_imported};
}

handover_receiver::transfer* handover_receiver::FindOrBegin(
    const handover_message& message,
    bool accepts_new,
    time_point now) {
  ForgetIdle(now);
  const auto position = transfers_.find(message.incarnation);
  if (position != transfers_.end()) {
    return &position->second;
  }
  const std::int64_t receiving =
      std::count_if(transfers_.begin(), transfers_.end(),
                    [](const std::pair<const std::string, transfer>& item) {
                      return item.second.current == phase::kReceiving;
                    });
  if (!accepts_new || static_cast<std::size_t>(receiving) >= kMaxReceiving) {
    return nullptr;
  }
  transfer& begun = transfers_[message.incarnation];
  begun.contents.incarnation = message.incarnation;
  begun.contents.inherited_incarnations = message.inherited_incarnations;
  begun.contents.successor = message.successor;
  begun.total_bytes = message.total_bytes;
  return &begun;
}

void handover_receiver::ForgetIdle(time_point now) {
  std::erase_if(transfers_,
                [now](const std::pair<const std::string, transfer>& item) {
                  const duration idle = now - item.second.last_slice;
                  switch (item.second.current) {
                    case phase::kReceiving:
                      return idle >= kIdleTransferTime;
                    case phase::kImporting:
                      return false;
                    case phase::kImported:
                    case phase::kRefused:
                      return idle >= kResultTime;
                  }
                  return false;
                });
}

}  // namespace bulrushshore
