#include "libraries/settings/settings_reader.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <utility>

namespace bulrushshore {

settings_reader::settings_reader(const ini_document& document)
    : document_(document) {}

std::string settings_reader::RequiredString(std::string_view section,
                                            std::string_view key) {
  const ini_entry* const entry = Entry(section, key);
  if (entry == nullptr) {
    AddMissingError(section, key);
    return {};
  }
  if (entry->value.empty()) {
    AddValueError(section, *entry, "a value that is not empty");
  }
  return entry->value;
}

std::string settings_reader::String(std::string_view section,
                                    std::string_view key,
                                    std::string_view default_value) {
  const ini_entry* const entry = Entry(section, key);
  return entry == nullptr ? std::string(default_value) : entry->value;
}

std::int64_t settings_reader::RequiredInteger(std::string_view section,
                                              std::string_view key,
                                              integer_range range) {
  const ini_entry* const entry = Entry(section, key);
  std::int64_t value = range.minimum;
  if (entry == nullptr) {
    AddMissingError(section, key);
    return value;
  }
  ReadInteger(section, *entry, range, &value);
  return value;
}

std::int64_t settings_reader::Integer(std::string_view section,
                                      std::string_view key,
                                      std::int64_t default_value,
                                      integer_range range) {
  const ini_entry* const entry = Entry(section, key);
  std::int64_t value = default_value;
  if (entry != nullptr) {
    ReadInteger(section, *entry, range, &value);
  }
  return value;
}

bool settings_reader::Boolean(std::string_view section,
                              std::string_view key,
                              bool default_value) {
  const ini_entry* const entry = Entry(section, key);
  if (entry == nullptr) {
    return default_value;
  }
  if (entry->value != "true" && entry->value != "false") {
    AddValueError(section, *entry, "true or false");
    return default_value;
  }
  return entry->value == "true";
}

endpoint settings_reader::RequiredEndpoint(std::string_view section,
                                           std::string_view key) {
  if (Entry(section, key) == nullptr) {
    AddMissingError(section, key);
    return {};
  }
  return Endpoint(section, key).value_or(endpoint{});
}

std::optional<endpoint> settings_reader::Endpoint(std::string_view section,
                                                  std::string_view key) {
  const ini_entry* const entry = Entry(section, key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  result<endpoint> parsed = ParseEndpoint(entry->value);
  if (!IsOk(parsed)) {
    AddValueError(section, *entry, "IP:PORT with a numeric address");
    return std::nullopt;
  }
  return TakeValue(std::move(parsed));
}

std::string settings_reader::Choice(std::string_view section,
                                    std::string_view key,
                                    std::span<const std::string_view> choices) {
  const ini_entry* const entry = Entry(section, key);
  if (entry == nullptr) {
    return std::string(choices.front());
  }
  if (std::find(choices.begin(), choices.end(), entry->value) !=
      choices.end()) {
    return entry->value;
  }
  std::string expectation = "one of";
  for (const std::string_view choice : choices) {
    expectation += " " + std::string(choice);
  }
  AddValueError(section, *entry, expectation);
  return std::string(choices.front());
}

const ini_entry* settings_reader::Entry(std::string_view section,
                                        std::string_view key) {
  known_sections_.emplace(section);
  const ini_section* const found = FindSection(section);
  if (found == nullptr) {
    return nullptr;
  }
  const ini_entry* const entry = found->Find(key);
  if (entry != nullptr) {
    used_entries_.insert(entry);
  }
  return entry;
}

void settings_reader::AddError(int line, std::string message) {
  errors_.push_back({line, std::move(message)});
}

line_errors settings_reader::Finish() {
  for (const ini_section& section : document_.sections) {
    if (!known_sections_.contains(section.name)) {
      AddError(section.line, "unknown section [" + section.name + "]");
      continue;
    }
    for (const ini_entry& entry : section.entries) {
      if (!used_entries_.contains(&entry)) {
        AddError(entry.line,
                 "unknown key \"" + entry.key + "\" in [" + section.name + "]");
      }
    }
  }
  std::stable_sort(errors_.begin(), errors_.end(),
                   [](const line_error& left, const line_error& right) {
                     return left.line < right.line;
                   });
  return std::exchange(errors_, {});
}

void settings_reader::AddValueError(std::string_view section,
                                    const ini_entry& entry,
                                    std::string_view expectation) {
  AddError(entry.line, "[" + std::string(section) + "] " + entry.key +
                           ": expected " + std::string(expectation) +
                           ", got \"" + entry.value + "\"");
}

void settings_reader::AddMissingError(std::string_view section,
                                      std::string_view key) {
  const ini_section* const found = FindSection(section);
  AddError(
      found == nullptr ? 0 : found->line,
      "[" + std::string(section) + "] " + std::string(key) + " is required");
}

const ini_section* settings_reader::FindSection(std::string_view name) const {
  const auto found = std::find_if(
      document_.sections.begin(), document_.sections.end(),
      [name](const ini_section& section) { return section.name == name; });
  return found == document_.sections.end() ? nullptr : &*found;
}

bool settings_reader::ReadInteger(std::string_view section,
                                  const ini_entry& entry,
                                  integer_range range,
                                  std::int64_t* value) {
  std::int64_t parsed = 0;
  const char* const end = entry.value.data() + entry.value.size();
  const std::from_chars_result conversion =
      std::from_chars(entry.value.data(), end, parsed);
  if (conversion.ec != std::errc() || conversion.ptr != end ||
      parsed < range.minimum || parsed > range.maximum) {
    AddValueError(section, entry,
                  "a whole number from " + std::to_string(range.minimum) +
                      " to " + std::to_string(range.maximum));
    return false;
  }
  *value = parsed;
  return true;
}

result<std::string> ReadTextFile(const std::string& path,
                                 std::size_t max_bytes) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return error{error_code::kNotFound, "cannot read file \"" + path + "\""};
  }
  std::string text(max_bytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (file.bad()) {
    return error{error_code::kNotFound, "cannot read file \"" + path + "\""};
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (text.size() > max_bytes) {
    return error{error_code::kResourceExhausted,
                 "file \"" + path + "\" is larger than " +
                     std::to_string(max_bytes) + " bytes"};
  }
  return text;
}

}  // namespace bulrushshore
