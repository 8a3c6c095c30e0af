#include "libraries/catalog/cbor_record.h"

#include "libraries/base/cbor_check.h"

namespace bulrushshore {

std::string EncodeCbor(const nlohmann::json& value) {
  std::string bytes;
  nlohmann::json::to_cbor(value, bytes);
  return bytes;
}

result<nlohmann::json> DecodeCborRecord(std::string_view bytes,
                                        std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    return error{error_code::kDataLoss,
                 "record has " + std::to_string(bytes.size()) +
                     " bytes; the limit is " + std::to_string(max_bytes)};
  }
  if (!IsBoundedCbor(bytes)) {
    return error{error_code::kDataLoss, "record is not well-formed CBOR"};
  }
  constexpr bool kIsStrict = true;
  constexpr bool kThrows = false;
  nlohmann::json value = nlohmann::json::from_cbor(bytes, kIsStrict, kThrows);
  if (value.is_discarded() || !value.is_object()) {
    return error{error_code::kDataLoss, "record is not a CBOR map"};
  }
  const nlohmann::json::const_iterator format = value.find("format");
  if (format == value.end() || !format->is_number_integer() ||
      *format != kCatalogFormat) {
    return error{error_code::kDataLoss, "record has an unknown format"};
  }
  return value;
}

cbor_record::cbor_record(const nlohmann::json& value) : value_(value) {
  if (!value.is_object()) {
    AddFault("record");
  }
}

std::int64_t cbor_record::Integer(const char* key,
                                  std::int64_t minimum,
                                  std::int64_t maximum) {
  const nlohmann::json* const found = Find(key);
  if (found == nullptr || !found->is_number_integer()) {
    AddFault(key);
    return minimum;
  }
  constexpr std::uint64_t kLargest = INT64_MAX;
  const bool is_too_large =
      found->is_number_unsigned() && found->get<std::uint64_t>() > kLargest;
  const std::int64_t number = is_too_large ? 0 : found->get<std::int64_t>();
  if (is_too_large || number < minimum || number > maximum) {
    AddFault(key);
    return minimum;
  }
  return number;
}

bool cbor_record::Boolean(const char* key) {
  const nlohmann::json* const found = Find(key);
  if (found == nullptr || !found->is_boolean()) {
    AddFault(key);
    return false;
  }
  return found->get<bool>();
}

std::string cbor_record::Text(const char* key,
                              bool (*is_valid)(std::string_view)) {
  const nlohmann::json* const found = Find(key);
  if (found == nullptr || !found->is_string() ||
      !is_valid(found->get_ref<const std::string&>())) {
    AddFault(key);
    return "";
  }
  return found->get<std::string>();
}

const nlohmann::json& cbor_record::Array(const char* key) {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  const nlohmann::json* const found = Find(key);
  if (found == nullptr || !found->is_array()) {
    AddFault(key);
    return kEmpty;
  }
  return *found;
}

void cbor_record::AddFault(std::string_view key) {
  if (fault_.empty()) {
    fault_ = "value of \"" + std::string(key) + "\" is missing or invalid";
  }
}

status cbor_record::Finish() const {
  if (!fault_.empty()) {
    return error{error_code::kDataLoss, fault_};
  }
  if (value_.size() != read_keys_.size()) {
    return error{error_code::kDataLoss, "record has unknown keys"};
  }
  return OkStatus();
}

const nlohmann::json* cbor_record::Find(const char* key) {
  if (!value_.is_object()) {
    return nullptr;
  }
  const nlohmann::json::const_iterator found = value_.find(key);
  if (found == value_.end()) {
    return nullptr;
  }
  read_keys_.emplace(key);
  return &*found;
}

}  // namespace bulrushshore
