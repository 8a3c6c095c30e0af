#ifndef LIBRARIES_CATALOG_APPLY_H_
#define LIBRARIES_CATALOG_APPLY_H_

#include <string_view>
#include <variant>

#include "libraries/catalog/release_note.h"
#include "libraries/catalog/types.h"
#include "libraries/settings/ini_document.h"

namespace bulrushshore {

// A note and the catalog that results from it.
struct applied_note {
  release_note note;
  catalog_contents contents;
  // What the note leaves in a doubtful state: a service that the note touches
  // and whose active targets have fewer slots than its floor asks for. This is
  // no error, because hosts keep the floor by themselves, and draining most of
  // a service may be what the operator wants.
  line_errors warnings;
};

// Applies `note` to `contents`. All sections take effect together, so their
// order does not matter. Returns the result or all errors; with errors nothing
// is changed. Precondition: `note` was parsed without errors. Thread safe.
std::variant<applied_note, line_errors> ApplyNote(
    const catalog_contents& contents,
    release_note note);

// Parses `text` and applies it to `contents`; reports the errors of both steps
// together, ordered by line. Thread safe.
std::variant<applied_note, line_errors> ParseAndApplyNote(
    const catalog_contents& contents,
    std::string_view text);

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_APPLY_H_
