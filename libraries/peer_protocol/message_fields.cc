#include "libraries/peer_protocol/message_fields.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "libraries/base/cbor_check.h"
#include "libraries/base/random_source.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kMaxIdentifierBytes = 64;
constexpr std::size_t kMaxEndpointBytes = 64;

const nlohmann::json& EmptyArray() {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  return kEmpty;
}

const nlohmann::json& EmptyObject() {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  return kEmpty;
}

}  // namespace

result<nlohmann::json> ParseBoundedCbor(std::string_view bytes) {
  if (!IsBoundedCbor(bytes)) {
    return error{error_code::kInvalidArgument,
                 "not a CBOR value, or nested too deeply"};
  }
  nlohmann::json value =
      nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (value.is_discarded()) {
    return error{error_code::kInvalidArgument, "not a CBOR value"};
  }
  return value;
}

std::string SerializeCbor(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  return bytes;
}

nlohmann::json BinaryField(std::string_view bytes) {
  return nlohmann::json::binary(
      std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

bool IsIdentifier(std::string_view text) {
  constexpr std::string_view kAllowed = "abcdefghijklmnopqrstuvwxyz0123456789-";
  return !text.empty() && text.size() <= kMaxIdentifierBytes &&
         text.find_first_not_of(kAllowed) == std::string_view::npos;
}

std::uint64_t IncarnationNumber(std::string_view incarnation) {
  constexpr int kHexadecimal = 16;
  std::uint64_t number = 0;
  const char* const end = incarnation.data() + incarnation.size();
  const std::from_chars_result conversion =
      std::from_chars(incarnation.data(), end, number, kHexadecimal);
  return conversion.ec == std::errc() && conversion.ptr == end ? number : 0;
}

message_fields::message_fields(const nlohmann::json& value) : value_(value) {
  if (!value_.is_object()) {
    fault_ = error{error_code::kInvalidArgument, "expected a map"};
  }
}

std::string message_fields::String(const char* name, std::size_t max_bytes) {
  const nlohmann::json* field = Find(name);
  if (field == nullptr || !field->is_string() ||
      field->get_ref<const std::string&>().size() > max_bytes) {
    Fail(name, "expected a text of bounded length");
    return {};
  }
  return field->get<std::string>();
}

std::string message_fields::Identifier(const char* name) {
  std::string text = String(name, kMaxIdentifierBytes);
  if (!IsIdentifier(text)) {
    Fail(name, "expected 1 to 64 characters of [a-z0-9-]");
    return {};
  }
  return text;
}

std::string message_fields::OptionalIdentifier(const char* name) {
  std::string text = String(name, kMaxIdentifierBytes);
  if (!text.empty() && !IsIdentifier(text)) {
    Fail(name, "expected up to 64 characters of [a-z0-9-]");
    return {};
  }
  return text;
}

std::vector<std::string> message_fields::Identifiers(const char* name,
                                                     std::size_t max_count) {
  std::vector<std::string> identifiers;
  for (const nlohmann::json& item : Array(name, max_count)) {
    if (!item.is_string() ||
        !IsIdentifier(item.get_ref<const std::string&>())) {
      Fail(name, "expected identifiers");
      return {};
    }
    identifiers.push_back(item.get<std::string>());
  }
  return identifiers;
}

std::string message_fields::Incarnation(const char* name) {
  return FormatHex(Unsigned(name));
}

std::vector<std::string> message_fields::Incarnations(const char* name,
                                                      std::size_t max_count) {
  std::vector<std::string> incarnations;
  for (const nlohmann::json& item : Array(name, max_count)) {
    if (!item.is_number_unsigned()) {
      Fail(name, "expected unsigned integers");
      return {};
    }
    incarnations.push_back(FormatHex(item.get<std::uint64_t>()));
  }
  return incarnations;
}

std::string message_fields::Binary(const char* name, std::size_t max_bytes) {
  const nlohmann::json* field = Find(name);
  if (field == nullptr || !field->is_binary() ||
      field->get_binary().size() > max_bytes) {
    Fail(name, "expected a byte string of bounded length");
    return {};
  }
  const nlohmann::json::binary_t& bytes = field->get_binary();
  return std::string(bytes.begin(), bytes.end());
}

std::uint64_t message_fields::Unsigned(const char* name) {
  return UnsignedUpTo(name, UINT64_MAX);
}

std::uint64_t message_fields::UnsignedUpTo(const char* name,
                                           std::uint64_t maximum) {
  const nlohmann::json* field = Find(name);
  if (field == nullptr || !field->is_number_unsigned() ||
      field->get<std::uint64_t>() > maximum) {
    Fail(name, "expected an unsigned integer within its range");
    return 0;
  }
  return field->get<std::uint64_t>();
}

bool message_fields::Boolean(const char* name) {
  const nlohmann::json* field = Find(name);
  if (field == nullptr || !field->is_boolean()) {
    Fail(name, "expected a truth value");
    return false;
  }
  return field->get<bool>();
}

endpoint message_fields::Endpoint(const char* name) {
  result<endpoint> parsed = ParseEndpoint(String(name, kMaxEndpointBytes));
  if (!IsOk(parsed)) {
    Fail(name, "expected IP:PORT");
    return {};
  }
  return TakeValue(std::move(parsed));
}

const nlohmann::json& message_fields::Array(const char* name,
                                            std::size_t max_count) {
  const nlohmann::json* field = Find(name);
  if (field == nullptr || !field->is_array() || field->size() > max_count) {
    Fail(name, "expected an array of bounded length");
    return EmptyArray();
  }
  return *field;
}

const nlohmann::json& message_fields::Object(const char* name) {
  const nlohmann::json* field = Find(name);
  if (field == nullptr || !field->is_object()) {
    Fail(name, "expected a map");
    return EmptyObject();
  }
  return *field;
}

void message_fields::Fail(const char* name, std::string_view expectation) {
  FailWith(error{
      error_code::kInvalidArgument,
      "field \"" + std::string(name) + "\": " + std::string(expectation)});
}

void message_fields::FailWith(const error& fault) {
  if (!fault_.has_value()) {
    fault_ = fault;
  }
}

const nlohmann::json* message_fields::Find(const char* name) {
  if (!value_.is_object()) {
    return nullptr;
  }
  const auto position = value_.find(name);
  return position == value_.end() ? nullptr : &*position;
}

}  // namespace bulrushshore
