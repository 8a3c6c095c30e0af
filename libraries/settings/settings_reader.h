#ifndef LIBRARIES_SETTINGS_SETTINGS_READER_H_
#define LIBRARIES_SETTINGS_SETTINGS_READER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "libraries/base/endpoint.h"
#include "libraries/base/result.h"
#include "libraries/settings/ini_document.h"

namespace bulrushshore {

// Reads typed values from an INI document and collects every fault, so that a
// settings file is checked as a whole before anything starts:
//
//   settings_reader reader(document);
//   const endpoint address = reader.RequiredEndpoint("host", "address");
//   const std::int64_t threads =
//       reader.Integer("host", "threads", 64, {1, 4096});
//   line_errors errors = reader.Finish();
//
// A getter whose key is missing or faulty records the error and returns the
// default (or an empty value), so that reading can go on. Not thread safe.
class settings_reader {
 public:
  struct integer_range {
    std::int64_t minimum;
    std::int64_t maximum;
  };

  // Precondition: `document` outlives this object.
  explicit settings_reader(const ini_document& document);

  std::string RequiredString(std::string_view section, std::string_view key);
  std::string String(std::string_view section,
                     std::string_view key,
                     std::string_view default_value);
  std::int64_t RequiredInteger(std::string_view section,
                               std::string_view key,
                               integer_range range);
  std::int64_t Integer(std::string_view section,
                       std::string_view key,
                       std::int64_t default_value,
                       integer_range range);
  bool Boolean(std::string_view section,
               std::string_view key,
               bool default_value);
  endpoint RequiredEndpoint(std::string_view section, std::string_view key);
  // Returns nothing if the key is missing.
  std::optional<endpoint> Endpoint(std::string_view section,
                                   std::string_view key);
  // The value must be one of `choices`; the first one is the default.
  std::string Choice(std::string_view section,
                     std::string_view key,
                     std::span<const std::string_view> choices);

  // Returns the value of `key` as it stands in the file, without any check,
  // for a caller that checks it itself and reports through AddError().
  const ini_entry* Entry(std::string_view section, std::string_view key);

  // Records a fault that the caller found.
  void AddError(int line, std::string message);

  // Returns all faults ordered by line, unknown sections and keys included.
  line_errors Finish();

 private:
  void AddValueError(std::string_view section,
                     const ini_entry& entry,
                     std::string_view expectation);
  void AddMissingError(std::string_view section, std::string_view key);
  const ini_section* FindSection(std::string_view name) const;
  bool ReadInteger(std::string_view section,
                   const ini_entry& entry,
                   integer_range range,
                   std::int64_t* value);

  const ini_document& document_;
  line_errors errors_;
  std::set<const ini_entry*> used_entries_;
  std::set<std::string, std::less<>> known_sections_;
};

// Reads the file at `path` into memory. kNotFound if it cannot be read,
// kResourceExhausted if it is larger than `max_bytes`. Thread safe.
result<std::string> ReadTextFile(const std::string& path,
                                 std::size_t max_bytes);

}  // namespace bulrushshore

#endif  // LIBRARIES_SETTINGS_SETTINGS_READER_H_
