#include "libraries/settings/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <set>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::string_view kBlanks = " \t\r\n";

std::string_view Trim(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// Feeds inih line by line. inih cuts section names at 49 characters without an
// error, knows no line numbers in its handler and passes over empty sections.
// Therefore the reader records each section itself and hands inih the index of
// the section in place of its name.
class ini_line_feeder {
 public:
  explicit ini_line_feeder(std::string_view text) : rest_(text) {}

  static char* ReadLine(char* buffer, int size, void* stream) {
    return static_cast<ini_line_feeder*>(stream)->Next(buffer, size);
  }

  static int HandleEntry(void* user,
                         const char* section,
                         const char* key,
                         const char* value) {
    static_cast<ini_line_feeder*>(user)->AddEntry(section, key, value);
    return 1;
  }

  void AddSyntaxError() {
    errors_.push_back({line_, "expected \"[section]\" or \"key = value\""});
  }

  std::variant<ini_document, line_errors> Finish() {
    if (!errors_.empty()) {
      std::stable_sort(errors_.begin(), errors_.end(),
                       [](const line_error& left, const line_error& right) {
                         return left.line < right.line;
                       });
      return std::move(errors_);
    }
    return std::move(document_);
  }

 private:
  char* Next(char* buffer, int size) {
    if (rest_.empty()) {
      return nullptr;
    }
    const std::size_t end = rest_.find('\n');
    std::string_view raw = rest_.substr(0, end);
    rest_ = end == std::string_view::npos ? std::string_view()
                                          : rest_.substr(end + 1);
    ++line_;
    const std::string line = Check(raw);
    const std::size_t length =
        std::min(line.size(), static_cast<std::size_t>(size) - 1);
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\0';
    return buffer;
  }

  // Returns the line that inih gets to see in place of `raw`.
  std::string Check(std::string_view raw) {
    if (raw.size() > kMaxIniLineBytes) {
      errors_.push_back({line_, "line is longer than " +
                                    std::to_string(kMaxIniLineBytes) +
                                    " bytes"});
      return "\n";
    }
    if (raw.find('\0') != std::string_view::npos) {
      errors_.push_back({line_, "line contains a NUL byte"});
      return "\n";
    }
    const std::string_view content = Trim(raw);
    if (content.empty() || content.front() == ';' || content.front() == '#') {
      return "\n";
    }
    if (content.front() == '[') {
      return AddSection(content);
    }
    // Without its leading blanks no line is taken as the continuation of the
    // value above it.
    const std::string line(content);
    if (line.find_first_of("=:") == std::string::npos) {
      AddSyntaxError();
      return "\n";
    }
    return line + "\n";
  }

  std::string AddSection(std::string_view content) {
    const std::size_t close = content.find(']');
    const std::string_view tail =
        close == std::string_view::npos ? "" : Trim(content.substr(close + 1));
    if (close == std::string_view::npos ||
        (!tail.empty() && tail.front() != ';' && tail.front() != '#')) {
      errors_.push_back({line_, "expected \"[section]\""});
      return "\n";
    }
    const std::string name(Trim(content.substr(1, close - 1)));
    if (!section_names_.insert(name).second) {
      errors_.push_back({line_, "section [" + name + "] stands twice"});
    }
    document_.sections.push_back({name, line_, {}});
    return "[" + std::to_string(document_.sections.size() - 1) + "]\n";
  }

  void AddEntry(std::string_view section,
                std::string_view key,
                std::string_view value) {
    std::size_t index = 0;
    const std::from_chars_result parsed =
        std::from_chars(section.data(), section.data() + section.size(), index);
    if (parsed.ec != std::errc() || index >= document_.sections.size()) {
      errors_.push_back({line_, "key \"" + std::string(key) +
                                    "\" stands before any section"});
      return;
    }
    ini_section& owner = document_.sections[index];
    if (owner.Find(key) != nullptr) {
      errors_.push_back({line_, "key \"" + std::string(key) +
                                    "\" stands twice in [" + owner.name + "]"});
      return;
    }
    owner.entries.push_back({std::string(key), std::string(value), line_});
  }

  std::string_view rest_;
  int line_ = 0;
  ini_document document_;
  line_errors errors_;
  std::set<std::string> section_names_;
};

}  // namespace

const ini_entry* ini_section::Find(std::string_view key) const {
  const auto found =
      std::find_if(entries.begin(), entries.end(),
                   [key](const ini_entry& entry) { return entry.key == key; });
  return found == entries.end() ? nullptr : &*found;
}

std::variant<ini_document, line_errors> ParseIniDocument(
    std::string_view text) {
  ini_line_feeder feeder(text);
  ini_parse_stream(&ini_line_feeder::ReadLine, &feeder,
                   &ini_line_feeder::HandleEntry, &feeder);
  return feeder.Finish();
}

std::string FormatLineErrors(std::string_view name, const line_errors& errors) {
  std::string text;
  for (const line_error& error : errors) {
    text += std::string(name) + ":" + std::to_string(error.line) + ": " +
            error.message + "\n";
  }
  return text;
}

}  // namespace bulrushshore
