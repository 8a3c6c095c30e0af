#ifndef LIBRARIES_CATALOG_RELEASE_NOTE_H_
#define LIBRARIES_CATALOG_RELEASE_NOTE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/endpoint.h"
#include "libraries/catalog/types.h"
#include "libraries/settings/ini_document.h"

namespace bulrushshore {

inline constexpr std::size_t kMaxNoteBytes = std::size_t{512} * 1024;

enum class note_verb { kAdd, kChange, kWithdraw };

// Returns "add", "change" or "withdraw". Thread safe.
std::string_view NoteVerbName(note_verb verb);

// The keys that a section states; a key that is absent keeps its value
// ("change") or takes the default ("add").
struct service_fields {
  std::optional<std::uint32_t> floor_percent;
  std::optional<std::chrono::milliseconds> timeout;
  std::optional<std::uint32_t> queue_limit;
  std::optional<std::chrono::milliseconds> patience;
  std::optional<std::uint64_t> max_body_bytes;
};

struct target_fields {
  std::optional<endpoint> address;
  std::optional<std::string> zone;
  std::optional<std::uint32_t> slots;
  std::optional<std::uint32_t> max_connections;
  std::optional<target_state> state;
};

struct route_fields {
  std::optional<std::string> service;
  std::optional<std::string> path_prefix;
  // An empty value makes the route match every host name.
  std::optional<std::string> host_name;
  std::optional<std::string> kind;
  std::optional<bool> is_idempotent;
  std::optional<bool> is_key_required;
};

struct organisation_fields {
  std::optional<std::uint32_t> weight;
};

// One section of a note that names an object.
struct note_section {
  note_verb verb = note_verb::kAdd;
  // Key of the object in catalog_contents.
  std::string key;
  int line = 0;
  std::variant<service_fields, target_fields, route_fields, organisation_fields>
      fields;
  // Why the object is withdrawn; may be empty.
  std::string reason;
};

struct release_note {
  std::string id;
  std::string author;
  // Catalog version that the author saw.
  std::uint64_t base_version = 0;
  std::vector<note_section> sections;
};

// The parts of a note that could be read and all faults, ordered by line. The
// note may be used only if there are none; with faults it serves to look for
// further ones.
struct parsed_note {
  release_note note;
  line_errors errors;
};

// Parses the release note format of design section 8.1 and checks everything
// that can be checked without the catalog that the note applies to. Thread
// safe.
parsed_note ParseReleaseNote(std::string_view text);

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_RELEASE_NOTE_H_
