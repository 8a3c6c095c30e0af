#ifndef LIBRARIES_PEER_PROTOCOL_MESSAGE_FIELDS_H_
#define LIBRARIES_PEER_PROTOCOL_MESSAGE_FIELDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"

namespace bulrushshore {

// Parses CBOR whose nesting is bounded, since the parser recurses per level.
// kInvalidArgument if `bytes` is no CBOR value or is nested too deeply.
// Thread safe.
result<nlohmann::json> ParseBoundedCbor(std::string_view bytes);

// Serializes `value` as CBOR. Thread safe.
std::string SerializeCbor(const nlohmann::json& value);

// Returns `bytes` as a CBOR byte string. Thread safe.
nlohmann::json BinaryField(std::string_view bytes);

// Reads typed fields of a CBOR map and remembers the first fault, so that a
// message is decoded in one go and checked once at the end. A getter whose
// field is missing or faulty returns an empty value. Not thread safe.
class message_fields {
 public:
  // Precondition: `value` outlives this object.
  explicit message_fields(const nlohmann::json& value);

  std::string String(const char* name, std::size_t max_bytes);
  // 1 to 64 characters of [a-z0-9-].
  std::string Identifier(const char* name);
  std::string OptionalIdentifier(const char* name);
  std::vector<std::string> Identifiers(const char* name, std::size_t max_count);
  // 16 lower-case hexadecimal digits, transported as an integer.
  std::string Incarnation(const char* name);
  std::vector<std::string> Incarnations(const char* name,
                                        std::size_t max_count);
  std::string Binary(const char* name, std::size_t max_bytes);
  std::uint64_t Unsigned(const char* name);
  std::uint64_t UnsignedUpTo(const char* name, std::uint64_t maximum);
  bool Boolean(const char* name);
  endpoint Endpoint(const char* name);
  // Returns an empty array if the field is missing or faulty.
  const nlohmann::json& Array(const char* name, std::size_t max_count);
  // Returns an empty object if the field is missing or faulty.
  const nlohmann::json& Object(const char* name);

  // Records a fault of field `name`, unless there is one already.
  void Fail(const char* name, std::string_view expectation);

  // Records `outcome`'s error, unless there is one already.
  void FailWith(const error& fault);

  // Returns the first fault, if any.
  const std::optional<error>& fault() const { return fault_; }

 private:
  const nlohmann::json* Find(const char* name);

  const nlohmann::json& value_;
  std::optional<error> fault_;
};

// Returns true if `text` is 1 to 64 characters of [a-z0-9-]. Thread safe.
bool IsIdentifier(std::string_view text);

// Returns the number that 16 hexadecimal digits stand for; 0 for other text.
// Thread safe.
std::uint64_t IncarnationNumber(std::string_view incarnation);

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_MESSAGE_FIELDS_H_
