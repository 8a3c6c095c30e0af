#ifndef LIBRARIES_STORE_NOTE_CHAIN_H_
#define LIBRARIES_STORE_NOTE_CHAIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/catalog/version_record.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

// Most records that one walk along the chain reads; two days of changes at the
// design scale of 2,100 a day.
inline constexpr std::size_t kMaxChainSteps = 4'200;

// The head of the catalog and the version of the object that holds it.
struct observed_head {
  // Version 0 with empty digests before the first note.
  catalog_head head;
  std::string bytes;
  std::uint64_t object_version = kNoVersion;
};

// Reads the head. kDataLoss if it is invalid; otherwise errors of the store.
// Thread safe.
result<observed_head> ReadHead(object_store& store);

// Reads the note record with this digest. kDataLoss if it is missing, invalid
// or does not have its digest; otherwise errors of the store. Thread safe.
result<note_record> ReadNoteRecord(object_store& store,
                                   std::string_view digest);

// What a walk from a head down to a version has found.
struct chain_search {
  // The record of the note that was looked for.
  std::optional<note_record> note;
  // The record of the version where the walk ended, if it got there.
  std::optional<note_record> end;
  // The walk ended early at its bound of steps.
  bool is_cut_off = false;
};

// Follows the chain from `head` down to `end_version` and looks for the note
// `note_id` in the versions above it. Errors as for ReadNoteRecord(). Thread
// safe.
result<chain_search> SearchChain(object_store& store,
                                 const catalog_head& head,
                                 std::string_view note_id,
                                 std::uint64_t end_version,
                                 std::size_t max_steps = kMaxChainSteps);

// An accepted note as the history lists it.
struct history_entry {
  std::uint64_t version = 0;
  std::string note_id;
  std::string author;
  std::int64_t published_unix_ms = 0;

  bool operator==(const history_entry&) const = default;
};

// Returns the newest `limit` accepted notes, newest first. Errors as for
// ReadHead() and ReadNoteRecord(). Thread safe.
result<std::vector<history_entry>> ReadHistory(object_store& store,
                                               std::size_t limit);

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_NOTE_CHAIN_H_
