#include "tests/idempotency/ownership_state.h"

#include "libraries/base/random_source.h"

namespace bulrushshore {
namespace {

void Append(std::string& signature, std::size_t small_number) {
  signature += static_cast<char>('0' + small_number);
}

void AppendRequest(std::string& signature, const explored_request& request) {
  Append(signature, static_cast<std::size_t>(request.stage));
  Append(signature, static_cast<std::size_t>(request.target));
  Append(signature, request.host);
  Append(signature, request.process);
  Append(signature, request.origin);
  Append(signature,
         (request.is_forwarded ? 1U : 0U) | (request.has_caller ? 2U : 0U));
  Append(signature,
         request.bound_process.has_value() ? 1 + *request.bound_process : 0);
}

}  // namespace

std::string ownership_state::Signature() const {
  std::string signature;
  for (const explored_process& process : processes) {
    Append(signature, process.host);
    Append(signature, (process.is_gone ? 1U : 0U) |
                          (process.is_paused ? 2U : 0U) |
                          (process.is_leaving ? 4U : 0U));
    signature += process.signature + '|';
  }
  for (const explored_request& request : requests) {
    AppendRequest(signature, request);
  }
  for (const explored_transfer& transfer : transfers) {
    signature += 't';
    Append(signature, transfer.host);
    Append(signature, transfer.successor);
    Append(signature, transfer.incarnation);
    for (const std::string& part : *transfer.parts) {
      signature += part;
    }
  }
  for (std::size_t key = 0; key < starts.size(); ++key) {
    Append(signature, starts[key]);
    signature += first_answers[key] + '|';
  }
  for (const std::vector<bool>& hosts : announced) {
    for (const bool is_announced : hosts) {
      signature += is_announced ? '1' : '0';
    }
  }
  signature += claim_object.value_or("-");
  for (const std::size_t used :
       {restarts, crashes, graceful_stops, pauses, copied_handovers}) {
    Append(signature, used);
  }
  return signature + violation;
}

std::string IncarnationOfProcess(std::size_t process) {
  return FormatHex(process + 1);
}

std::size_t ProcessOfIncarnation(const std::string& incarnation) {
  constexpr int kHexadecimal = 16;
  return std::stoull(incarnation, nullptr, kHexadecimal) - 1;
}

}  // namespace bulrushshore
