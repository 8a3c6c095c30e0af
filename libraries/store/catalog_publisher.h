#ifndef LIBRARIES_STORE_CATALOG_PUBLISHER_H_
#define LIBRARIES_STORE_CATALOG_PUBLISHER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/catalog/diff.h"
#include "libraries/settings/ini_document.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

enum class publish_result {
  // The note is in the chain of accepted notes.
  kAccepted,
  // The note has faults, or its base is no longer the newest version. It is
  // not in force and does not get in force by itself.
  kRejected,
  // The store did not tell whether the note was accepted. Publishing the same
  // note again settles it.
  kNotKnownYet,
  // The store could not be used; this attempt has put nothing in force. The
  // result of an earlier attempt that was not known stays unknown.
  kUnavailable,
};

// Returns "accepted", "rejected", "not_known_yet" or "unavailable". Thread
// safe.
std::string_view PublishResultName(publish_result value);

struct publish_outcome {
  publish_result result = publish_result::kUnavailable;
  std::string note_id;
  // kAccepted: the version that the note made.
  std::uint64_t version = 0;
  // kAccepted: an earlier attempt had already published the note.
  bool was_published_before = false;
  // kRejected because of faults in the note.
  line_errors errors;
  // Doubtful consequences of a note without faults.
  line_errors warnings;
  // kRejected because the base is no longer the newest version.
  bool is_conflict = false;
  // is_conflict: the newest version, and what changed from the base to it.
  std::uint64_t newest_version = 0;
  std::vector<catalog_change> changes_since_base;
  // The reason of every other result than kAccepted.
  std::string message;
};

// Publishes release notes (design section 8). Thread safe.
class catalog_publisher {
 public:
  // Precondition: `store` outlives this object.
  explicit catalog_publisher(object_store& store);

  // Checks the note `text` against the newest catalog and publishes it with
  // the given wall-clock time. Repeating the call with the same text is
  // harmless: a note is accepted at most once. Blocks for the calls to the
  // store that it makes.
  publish_outcome Publish(std::string_view text,
                          std::int64_t published_unix_ms);

 private:
  object_store& store_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_CATALOG_PUBLISHER_H_
