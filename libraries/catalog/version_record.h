#ifndef LIBRARIES_CATALOG_VERSION_RECORD_H_
#define LIBRARIES_CATALOG_VERSION_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "libraries/base/result.h"
#include "libraries/catalog/part_codec.h"

namespace bulrushshore {

inline constexpr std::size_t kMaxHeadBytes = std::size_t{16} * 1024;
// A note, its part digests and the other fields.
inline constexpr std::size_t kMaxNoteRecordBytes = std::size_t{640} * 1024;

// The newest accepted configuration: what hosts read first.
struct catalog_head {
  std::uint64_t version = 0;
  std::string note_id;
  // Digest of the note record; the record names the one before it.
  std::string note_digest;
  part_digests parts;

  bool operator==(const catalog_head&) const = default;
};

// An accepted note and the configuration version that it made. The records
// form a chain from the head back to version 1.
struct note_record {
  std::string id;
  std::string author;
  std::uint64_t base_version = 0;
  std::uint64_t version = 0;
  // Digest of the record of the version before; empty for version 1.
  std::string previous_digest;
  // Wall-clock time at the publisher, in milliseconds since 1970-01-01 UTC.
  std::int64_t published_unix_ms = 0;
  // The note as its author wrote it.
  std::string text;
  part_digests parts;

  bool operator==(const note_record&) const = default;
};

// Encodes as canonical CBOR. Thread safe.
std::string EncodeHead(const catalog_head& head);
std::string EncodeNoteRecord(const note_record& record);

// Decodes bytes from anywhere; kDataLoss if a value is missing, has the wrong
// type or is out of range. Thread safe.
result<catalog_head> DecodeHead(std::string_view bytes);
result<note_record> DecodeNoteRecord(std::string_view bytes);

}  // namespace bulrushshore

#endif  // LIBRARIES_CATALOG_VERSION_RECORD_H_
