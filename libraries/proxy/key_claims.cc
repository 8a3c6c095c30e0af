#include "libraries/proxy/key_claims.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

// A digest, because callers choose the keys and may try to provoke collisions.
std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    return {};
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr unsigned int kBitsPerDigit = 4;
  constexpr unsigned int kDigitMask = 15;
  std::string hex;
  for (unsigned int index = 0; index < size; ++index) {
    hex += kDigits[digest[index] >> kBitsPerDigit];
    hex += kDigits[digest[index] & kDigitMask];
  }
  return hex;
}

std::string EncodeClaim(const idempotency_key& candidate) {
  return nlohmann::json({{"host", candidate.host_id},
                         {"incarnation", candidate.incarnation},
                         {"generation", candidate.generation}})
      .dump();
}

result<idempotency_key> DecodeClaim(const std::string& value,
                                    const std::string& caller_part) {
  const nlohmann::json decoded =
      nlohmann::json::parse(value, nullptr, /*allow_exceptions=*/false);
  const error faulty = {error_code::kUnavailable, "faulty claim object"};
  if (!decoded.is_object() || !decoded.contains("host") ||
      !decoded.contains("incarnation") || !decoded.contains("generation") ||
      !decoded["host"].is_string() || !decoded["incarnation"].is_string() ||
      !decoded["generation"].is_number_unsigned()) {
    return faulty;
  }
  idempotency_key bound{decoded["host"].get<std::string>(),
                        decoded["incarnation"].get<std::string>(),
                        decoded["generation"].get<std::uint64_t>(),
                        caller_part};
  if (!IsOk(ParseIdempotencyKey(FormatIdempotencyKey(bound)))) {
    return faulty;
  }
  return bound;
}

error Unavailable() {
  return {error_code::kUnavailable,
          "the claim of the key cannot be determined"};
}

}  // namespace

double ClaimWritesPerSecond(const key_claims_options& options,
                            std::size_t hosts) {
  return std::min(options.maximum_writes_per_second,
                  options.fleet_writes_per_second / static_cast<double>(hosts));
}

object_store_key_claims::object_store_key_claims(
    object_store& store,
    const clock& source,
    const host_directory& directory,
    const key_claims_options& options)
    : store_(store),
      clock_(source),
      directory_(directory),
      options_(options),
      last_refill_(source.Now()) {}

result<idempotency_key> object_store_key_claims::Claim(
    std::string_view foreign_key,
    const idempotency_key& candidate) {
  const std::string digest = Sha256Hex(foreign_key);
  if (digest.empty()) {
    return Unavailable();
  }
  const std::string object_key = "claims/" + digest;
  const std::string caller_part = "foreign-" + digest;
  result<idempotency_key> existing = Read(object_key, caller_part);
  if (IsOk(existing) || ErrorOf(existing).code != error_code::kNotFound) {
    return existing;
  }
  if (!TakeWrite()) {
    return error{error_code::kResourceExhausted,
                 "the write budget for claims is used up"};
  }
  const result<std::uint64_t> written =
      store_.Put(object_key, EncodeClaim(candidate), kNoVersion);
  if (IsOk(written)) {
    idempotency_key bound = candidate;
    bound.caller_part = caller_part;
    return bound;
  }
  if (ErrorOf(written).code == error_code::kUnavailable) {
    return Unavailable();
  }
  // Another host won, or the reply was lost. A write that takes effect later
  // binds the key to this host, which has not run it.
  existing = Read(object_key, caller_part);
  return IsOk(existing) ? existing : Unavailable();
}

result<idempotency_key> object_store_key_claims::Read(
    const std::string& object_key,
    const std::string& caller_part) {
  const result<stored_object> stored = store_.Get(object_key);
  if (IsOk(stored)) {
    return DecodeClaim(ValueOf(stored).value, caller_part);
  }
  return ErrorOf(stored).code == error_code::kNotFound ? ErrorOf(stored)
                                                       : Unavailable();
}

bool object_store_key_claims::TakeWrite() {
  const std::lock_guard<std::mutex> lock(mutex_);
  const time_point now = clock_.Now();
  UpdateShare(now);
  const std::chrono::duration<double> elapsed = now - last_refill_;
  const std::chrono::duration<double> saved_time = options_.saved_time;
  last_refill_ = now;
  saved_writes_ =
      std::min(std::max(1.0, saved_time.count() * writes_per_second_),
               saved_writes_ + elapsed.count() * writes_per_second_);
  if (saved_writes_ < 1.0) {
    return false;
  }
  saved_writes_ -= 1.0;
  return true;
}

void object_store_key_claims::UpdateShare(time_point now) {
  // A copy of 600 records takes longer than a request may be delayed each time.
  constexpr std::chrono::seconds kCountInterval(1);
  if (last_count_.has_value() && now - *last_count_ < kCountInterval) {
    return;
  }
  last_count_ = now;
  const std::vector<host_record> hosts = directory_.Hosts();
  // A suspected host may still write.
  const std::ptrdiff_t writers = std::count_if(
      hosts.begin(), hosts.end(),
      [](const host_record& host) { return host.state != host_state::kLost; });
  writes_per_second_ = ClaimWritesPerSecond(
      options_, static_cast<std::size_t>(std::max<std::ptrdiff_t>(1, writers)));
}

}  // namespace bulrushshore
