#ifndef LIBRARIES_IDEMPOTENCY_KEY_OWNER_MESSAGES_H_
#define LIBRARIES_IDEMPOTENCY_KEY_OWNER_MESSAGES_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <caf/allowed_unsafe_message_type.hpp>

#include "libraries/idempotency/key_owner.h"

namespace bulrushshore {

// Messages of the actor behind key_owner. They stay within the process, so
// that they need no serialization.

enum class attempt_end { kAnswered, kUnknown, kNotStarted };

struct end_message {
  idempotency_key key;
  attempt_end result = attempt_end::kUnknown;
  // Set for kAnswered only.
  std::shared_ptr<const stored_response> response;
};

struct claim_deadline_message {
  idempotency_key key;
  std::uint64_t waiting_id = 0;
};

struct generation_message {};

struct incarnations_message {};

struct incarnations_reply {
  std::vector<std::string> names;
};

struct seal_message {};

struct import_message {
  handover value;
};

struct import_reply {
  status outcome;
};

}  // namespace bulrushshore

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::claim_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::key_claim_answer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::end_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::claim_deadline_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::generation_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::incarnations_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::incarnations_reply)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::seal_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::import_message)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::import_reply)

#endif  // LIBRARIES_IDEMPOTENCY_KEY_OWNER_MESSAGES_H_
