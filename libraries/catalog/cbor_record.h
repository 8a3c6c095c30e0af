#ifndef LIBRARIES_CATALOG_CBOR_RECORD_H_
#define LIBRARIES_CATALOG_CBOR_RECORD_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "libraries/base/result.h"

namespace bulrushshore {

// Version of the encodings of parts, heads and note records.
inline constexpr std::int64_t kCatalogFormat = 1;

// Returns `value` as CBOR: definite lengths, shortest integers, map keys in
// byte order. Equal values have equal bytes. Thread safe.
std::string EncodeCbor(const nlohmann::json& value);

// Decodes `bytes`, which must have at most `max_bytes` and hold a map with the
// key "format" equal to kCatalogFormat. kDataLoss otherwise. Thread safe.
result<nlohmann::json> DecodeCborRecord(std::string_view bytes,
                                        std::size_t max_bytes);

// Reads typed values from a decoded map and remembers the first fault, so that
// a whole record is read before the fault is looked at. A getter with a fault
// returns an empty value. Not thread safe.
class cbor_record {
 public:
  // Precondition: `value` outlives this object.
  explicit cbor_record(const nlohmann::json& value);

  std::int64_t Integer(const char* key,
                       std::int64_t minimum,
                       std::int64_t maximum);
  bool Boolean(const char* key);
  // Reads a text that `is_valid` accepts.
  std::string Text(const char* key, bool (*is_valid)(std::string_view));
  // Returns the array, or an empty one.
  const nlohmann::json& Array(const char* key);

  // Records that the value of `key` is faulty.
  void AddFault(std::string_view key);

  // Returns kDataLoss if a value was missing or faulty or if the map has keys
  // that were not read.
  status Finish() const;

 private:
  const nlohmann::json* Find(const char* key);

  const nlohmann::json& value_;
  std::set<std::string> read_keys_;
  std::string fault_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_CBOR_RECORD_H_
