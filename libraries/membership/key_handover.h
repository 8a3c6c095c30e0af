#ifndef LIBRARIES_MEMBERSHIP_KEY_HANDOVER_H_
#define LIBRARIES_MEMBERSHIP_KEY_HANDOVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/peer_protocol/messages.h"
#include "libraries/peer_protocol/peer_messenger.h"

namespace bulrushshore {

// Joins the parts of a sealed key table to one byte string, and splits it.
// kInvalidArgument for bytes of another form. Thread safe.
std::string JoinHandoverParts(const std::vector<std::string>& parts);
result<std::vector<std::string>> SplitHandoverParts(std::string_view bytes);

// What a host hands over when it shuts down.
struct handover_contents {
  std::string incarnation;
  // Incarnations whose keys the host had inherited itself.
  std::vector<std::string> inherited_incarnations;
  // Incarnation of the one process that may take the keys.
  std::string successor;
  // At most kMaxHandoverBytes.
  std::string bytes;
};

// Called once: without an error when the successor answers for the keys;
// kPermissionDenied if it refused, and kUnavailable if nothing could be sent to
// it, so that another one may be chosen; kUnknownEffect if a slice stayed
// without an answer, in which case no other one may be chosen.
using handover_done = std::function<void(const status&)>;

// Sends `contents` in slices to the host at `successor`, and repeats slices
// that get no answer. Returns at once; `done` runs on the messenger's threads.
// Thread safe.
void SendHandover(const std::shared_ptr<peer_messenger>& messenger,
                  const endpoint& successor,
                  handover_contents contents,
                  handover_done done);

// Assembles the tables that hosts hand over to this one. Thread safe.
class handover_receiver {
 public:
  // `incarnation` is that of this process. Tables for other ones, such as a
  // former process at this address, are refused.
  explicit handover_receiver(std::string incarnation);

  // What has to happen after a slice was taken.
  struct outcome {
    // The answer to be sent now, if any.
    std::optional<handover_ack_message> ack;
    // Set once per table: the complete table, to be imported. The last slice is
    // answered by the ack that Finish() returns.
    std::optional<handover_contents> complete;
  };

  // Takes one slice. A table whose first slice is not yet here is taken only if
  // `accepts_new`; one that is under way is always carried to its end, since a
  // refusal tells the sender that this host holds nothing. Precondition:
  // `message` passed the decoder.
  outcome OnSlice(const handover_message& message,
                  bool accepts_new,
                  time_point now);

  // Notes whether the table of `incarnation` was imported and announced, and
  // returns the answer to its last slice.
  handover_ack_message Finish(const std::string& incarnation, bool is_imported);

 private:
  enum class phase { kReceiving, kImporting, kImported, kRefused };

  struct transfer {
    phase current = phase::kReceiving;
    handover_contents contents;
    std::uint64_t total_bytes = 0;
    time_point last_slice;
  };

  transfer* FindOrBegin(const handover_message& message,
                        bool accepts_new,
                        time_point now);
  void ForgetIdle(time_point now);

  const std::string incarnation_;
  std::mutex mutex_;
  std::map<std::string, transfer> transfers_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_KEY_HANDOVER_H_
