#ifndef LIBRARIES_IDEMPOTENCY_HANDOVER_H_
#define LIBRARIES_IDEMPOTENCY_HANDOVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "libraries/base/result.h"

namespace bulrushshore {

struct stored_header {
  std::string name;
  std::string value;

  bool operator==(const stored_header&) const = default;
};

// The response to the first attempt of a key, kept for its retries.
struct stored_response {
  int status = 0;
  std::vector<stored_header> headers;
  std::string body;

  // Returns the memory that counts against the table's bound.
  std::size_t Bytes() const;

  bool operator==(const stored_response&) const = default;
};

// How far the one attempt of a key got.
enum class key_state { kRunning, kAnswered, kResponseNotKept, kUnknown };

struct exported_key {
  std::uint64_t generation = 0;
  std::string caller_part;
  // Never kRunning: an attempt that was running at the export is kUnknown.
  key_state state = key_state::kUnknown;
  std::uint64_t fingerprint = 0;
  // Set for kAnswered only.
  std::shared_ptr<const stored_response> response;
};

struct incarnation_export {
  std::string incarnation;
  // Current generation at the time of the export.
  std::uint64_t generation = 0;
  std::uint64_t last_issued_generation = 0;
  std::vector<exported_key> entries;
};

// The keys of a host that shuts down, for the one successor that it chose.
struct handover {
  std::vector<incarnation_export> incarnations;
};

inline constexpr std::size_t kMaxHandoverPartBytes = std::size_t{900} * 1024;

// Encodes `value` as CBOR in one or more parts of at most `max_part_bytes`
// each. A response that does not fit into a part is left out and its key
// becomes kResponseNotKept. Precondition: `max_part_bytes` >= 1024.
// Thread safe.
std::vector<std::string> EncodeHandover(const handover& value,
                                        std::size_t max_part_bytes);

// Decodes all parts of a hand-over, in any order. kInvalidArgument if a part is
// faulty, missing or repeated: a hand-over is taken as a whole or not at all,
// since a key that is missing from it would run again. Thread safe.
result<handover> DecodeHandover(std::span<const std::string> parts);

}  // namespace bulrushshore

#endif  // LIBRARIES_IDEMPOTENCY_HANDOVER_H_
