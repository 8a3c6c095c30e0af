#include "libraries/catalog/release_note.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "libraries/catalog/limits.h"
#include "libraries/settings/settings_reader.h"

namespace bulrushshore {
namespace {

constexpr std::string_view kNameExpectation = "1 to 64 characters of [a-z0-9-]";

// Reads the keys of one section. Each section gets a settings_reader of its
// own, because the reader's look-up of a section takes linear time.
class section_reader {
 public:
  explicit section_reader(const ini_section& section)
      : document_{{section}}, reader_(document_) {}

  const std::string& name() const { return document_.sections.front().name; }
  int line() const { return document_.sections.front().line; }

  bool Has(std::string_view key) {
    return reader_.Entry(name(), key) != nullptr;
  }

  void Require(std::string_view key) {
    if (!Has(key)) {
      AddError(line(), std::string(key) + " is required");
    }
  }

  template <typename Number>
  std::optional<Number> Integer(std::string_view key,
                                settings_reader::integer_range range) {
    if (!Has(key)) {
      return std::nullopt;
    }
    return Number(reader_.Integer(name(), key, range.minimum, range));
  }

  std::optional<bool> Boolean(std::string_view key) {
    if (!Has(key)) {
      return std::nullopt;
    }
    return reader_.Boolean(name(), key, false);
  }

  std::optional<endpoint> Endpoint(std::string_view key) {
    return reader_.Endpoint(name(), key);
  }

  std::optional<std::string> Text(std::string_view key,
                                  bool (*is_valid)(std::string_view),
                                  std::string_view expectation) {
    const ini_entry* const entry = reader_.Entry(name(), key);
    if (entry == nullptr) {
      return std::nullopt;
    }
    if (!is_valid(entry->value)) {
      AddError(entry->line, std::string(key) + ": expected " +
                                std::string(expectation) + ", got \"" +
                                entry->value + "\"");
    }
    return entry->value;
  }

  std::optional<std::string> Name(std::string_view key) {
    return Text(key, IsValidName, kNameExpectation);
  }

  std::optional<target_state> State(std::string_view key) {
    if (!Has(key)) {
      return std::nullopt;
    }
    constexpr std::array<std::string_view, 2> kChoices = {"active", "draining"};
    return reader_.Choice(name(), key, kChoices) == "draining"
               ? target_state::kDraining
               : target_state::kActive;
  }

  void AddError(int error_line, const std::string& message) {
    reader_.AddError(error_line, "[" + name() + "] " + message);
  }

  line_errors Finish() {
    // Makes the section known even if none of its keys was looked up.
    reader_.Entry(name(), "");
    return reader_.Finish();
  }

 private:
  const ini_document document_;
  settings_reader reader_;
};

service_fields ReadServiceFields(section_reader& reader) {
  service_fields fields;
  fields.floor_percent =
      reader.Integer<std::uint32_t>("floor_percent", {0, kMaxFloorPercent});
  fields.timeout = reader.Integer<std::chrono::milliseconds>(
      "timeout_ms", {1, kMaxTimeoutMs});
  fields.queue_limit =
      reader.Integer<std::uint32_t>("queue_limit", {0, kMaxQueueLimit});
  fields.patience = reader.Integer<std::chrono::milliseconds>(
      "patience_ms", {0, kMaxTimeoutMs});
  fields.max_body_bytes =
      reader.Integer<std::uint64_t>("max_body_bytes", {0, kMaxBodyBytes});
  return fields;
}

target_fields ReadTargetFields(section_reader& reader, note_verb verb) {
  if (verb == note_verb::kAdd) {
    reader.Require("address");
    reader.Require("zone");
  }
  target_fields fields;
  fields.address = reader.Endpoint("address");
  fields.zone = reader.Name("zone");
  fields.slots = reader.Integer<std::uint32_t>("slots", {1, kMaxSlots});
  fields.max_connections = reader.Integer<std::uint32_t>(
      "max_connections", {1, kMaxTargetConnections});
  fields.state = reader.State("state");
  return fields;
}

route_fields ReadRouteFields(section_reader& reader, note_verb verb) {
  if (verb == note_verb::kAdd) {
    reader.Require("service");
    reader.Require("path_prefix");
    reader.Require("kind");
    reader.Require("idempotent");
  }
  route_fields fields;
  fields.service = reader.Name("service");
  fields.path_prefix =
      reader.Text("path_prefix", IsValidPathPrefix,
                  "an absolute path of at most 160 printable characters "
                  "without blanks, '?' and '#'");
  fields.host_name =
      reader.Text("host_name", IsValidHostName,
                  "a lower-case host name or IP address without a port");
  fields.kind = reader.Name("kind");
  fields.is_idempotent = reader.Boolean("idempotent");
  fields.is_key_required = reader.Boolean("key_required");
  return fields;
}

organisation_fields ReadOrganisationFields(section_reader& reader) {
  organisation_fields fields;
  fields.weight = reader.Integer<std::uint32_t>("weight", {1, kMaxWeight});
  return fields;
}

// The words of a section name, "VERB TYPE KEY".
struct section_title {
  note_verb verb = note_verb::kAdd;
  std::string_view type;
  std::string_view key;
};

std::optional<section_title> ParseTitle(std::string_view name) {
  const std::size_t first_blank = name.find(' ');
  if (first_blank == std::string_view::npos) {
    return std::nullopt;
  }
  const std::size_t second_blank = name.find(' ', first_blank + 1);
  if (second_blank == std::string_view::npos) {
    return std::nullopt;
  }
  section_title title;
  title.type = name.substr(first_blank + 1, second_blank - first_blank - 1);
  title.key = name.substr(second_blank + 1);
  const std::string_view verb = name.substr(0, first_blank);
  for (const note_verb candidate :
       {note_verb::kAdd, note_verb::kChange, note_verb::kWithdraw}) {
    if (NoteVerbName(candidate) == verb) {
      title.verb = candidate;
      return title;
    }
  }
  return std::nullopt;
}

bool IsValidTargetKey(std::string_view key) {
  const std::size_t slash = key.find('/');
  return slash != std::string_view::npos && IsValidName(key.substr(0, slash)) &&
         IsValidName(key.substr(slash + 1));
}

class note_parser {
 public:
  parsed_note Parse(const ini_document& document) {
    bool has_header = false;
    for (const ini_section& section : document.sections) {
      section_reader reader(section);
      if (section.name == "note") {
        has_header = true;
        ReadHeader(reader);
      } else {
        ReadObject(reader);
      }
      const line_errors found = reader.Finish();
      errors_.insert(errors_.end(), found.begin(), found.end());
    }
    if (!has_header) {
      errors_.push_back({0, "section [note] is required"});
    }
    std::stable_sort(errors_.begin(), errors_.end(),
                     [](const line_error& left, const line_error& right) {
                       return left.line < right.line;
                     });
    return {std::move(note_), std::move(errors_)};
  }

 private:
  void ReadHeader(section_reader& reader) {
    reader.Require("id");
    reader.Require("author");
    reader.Require("base_version");
    note_.id = reader.Name("id").value_or("");
    note_.author =
        reader.Text("author", IsValidText, "printable ASCII text").value_or("");
    note_.base_version =
        reader.Integer<std::uint64_t>("base_version", {0, kMaxCatalogVersion})
            .value_or(0);
  }

  void ReadObject(section_reader& reader) {
    const std::optional<section_title> title = ParseTitle(reader.name());
    const std::set<std::string_view> types = {"service", "target", "route",
                                              "organisation"};
    if (!title.has_value() || !types.contains(title->type)) {
      errors_.push_back(
          {reader.line(), "section [" + reader.name() +
                              "]: expected [note] or [add|change|withdraw "
                              "service|target|route|organisation NAME]"});
      return;
    }
    CheckKey(reader, *title);
    note_section section;
    section.verb = title->verb;
    section.key = std::string(title->key);
    section.line = reader.line();
    ReadFields(reader, *title, section);
    note_.sections.push_back(std::move(section));
  }

  void CheckKey(section_reader& reader, const section_title& title) {
    const bool is_target = title.type == "target";
    const bool is_valid =
        is_target ? IsValidTargetKey(title.key) : IsValidName(title.key);
    if (!is_valid) {
      reader.AddError(reader.line(),
                      std::string(is_target ? "SERVICE/NAME" : "name") +
                          ": expected " + std::string(kNameExpectation));
    }
    const std::string object =
        std::string(title.type) + " " + std::string(title.key);
    if (!objects_.insert(object).second) {
      reader.AddError(reader.line(),
                      "a note may name " + object + " only once");
    }
  }

  static void ReadFields(section_reader& reader,
                         const section_title& title,
                         note_section& section) {
    // Also gives the section its object type when no field is read.
    if (title.type == "service") {
      section.fields = service_fields{};
    } else if (title.type == "target") {
      section.fields = target_fields{};
    } else if (title.type == "route") {
      section.fields = route_fields{};
    } else {
      section.fields = organisation_fields{};
    }
    if (title.verb == note_verb::kWithdraw) {
      section.reason =
          reader.Text("reason", IsValidText, "printable ASCII text")
              .value_or("");
      return;
    }
    if (title.type == "service") {
      section.fields = ReadServiceFields(reader);
    } else if (title.type == "target") {
      section.fields = ReadTargetFields(reader, title.verb);
    } else if (title.type == "route") {
      section.fields = ReadRouteFields(reader, title.verb);
    } else {
      section.fields = ReadOrganisationFields(reader);
    }
  }

  release_note note_;
  std::set<std::string> objects_;
  line_errors errors_;
};

}  // namespace

std::string_view NoteVerbName(note_verb verb) {
  switch (verb) {
    case note_verb::kAdd:
      return "add";
    case note_verb::kChange:
      return "change";
    case note_verb::kWithdraw:
      return "withdraw";
  }
  return "add";
}

parsed_note ParseReleaseNote(std::string_view text) {
  if (text.size() > kMaxNoteBytes) {
    return {{},
            {{0, "the note is larger than " + std::to_string(kMaxNoteBytes) +
                     " bytes"}}};
  }
  std::variant<ini_document, line_errors> document = ParseIniDocument(text);
  if (line_errors* const errors = std::get_if<line_errors>(&document)) {
    return {{}, std::move(*errors)};
  }
  return note_parser().Parse(*std::get_if<ini_document>(&document));
}

}  // namespace bulrushshore
