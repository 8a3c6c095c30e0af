#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/idempotency/handover.h"
#include "libraries/idempotency/idempotency_table.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

constexpr std::string_view kOwnIncarnation = "00000000000000ff";

bool IsSameKey(const exported_key& left, const exported_key& right) {
  const bool has_same_response =
      left.response == nullptr || right.response == nullptr
          ? left.response == right.response
          : *left.response == *right.response;
  return left.generation == right.generation &&
         left.caller_part == right.caller_part && left.state == right.state &&
         left.fingerprint == right.fingerprint && has_same_response;
}

bool IsSameIncarnation(const incarnation_export& left,
                       const incarnation_export& right) {
  if (left.incarnation != right.incarnation ||
      left.generation != right.generation ||
      left.last_issued_generation != right.last_issued_generation ||
      left.entries.size() != right.entries.size()) {
    return false;
  }
  for (std::size_t index = 0; index < left.entries.size(); ++index) {
    if (!IsSameKey(left.entries[index], right.entries[index])) {
      return false;
    }
  }
  return true;
}

void CheckRoundTrip(const handover& value) {
  const std::vector<std::string> encoded =
      EncodeHandover(value, kMaxHandoverPartBytes);
  const result<handover> again = DecodeHandover(encoded);
  Require(IsOk(again), "an encoded hand-over decodes");
  Require(ValueOf(again).incarnations.size() == value.incarnations.size(),
          "a hand-over keeps its incarnations");
  for (std::size_t index = 0; index < value.incarnations.size(); ++index) {
    Require(IsSameIncarnation(ValueOf(again).incarnations[index],
                              value.incarnations[index]),
            "a hand-over keeps its keys");
  }
}

// No key that a hand-over lists is run again, now or later.
void CheckImport(const handover& value) {
  const idempotency_limits limits;
  time_point now(std::chrono::hours(1));
  idempotency_table table(limits, std::string(kOwnIncarnation), now);
  if (!IsOk(table.Import(value, now))) {
    return;
  }
  for (int step = 0; step < 2; ++step) {
    for (const incarnation_export& part : value.incarnations) {
      for (const exported_key& key : part.entries) {
        const claim claimed = table.Claim(
            {"host-a", part.incarnation, key.generation, key.caller_part},
            key.fingerprint, now);
        Require(claimed.decision != claim_decision::kRun,
                "a key that was handed over does not run");
      }
    }
    now += limits.generation_length;
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::vector<std::string> parts;
  frame_splitter frames(FuzzText(data, size));
  while (frames.HasMore()) {
    parts.emplace_back(frames.Next());
  }
  const result<handover> decoded = DecodeHandover(parts);
  if (IsOk(decoded)) {
    CheckRoundTrip(ValueOf(decoded));
    CheckImport(ValueOf(decoded));
  }
  return 0;
}
