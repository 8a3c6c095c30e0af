#include "libraries/catalog/version_record.h"

#include "libraries/catalog/cbor_record.h"
#include "libraries/catalog/digest.h"
#include "libraries/catalog/limits.h"
#include "libraries/catalog/release_note.h"

namespace bulrushshore {
namespace {

bool IsDigestOrEmpty(std::string_view text) {
  return text.empty() || IsDigest(text);
}

bool IsNoteText(std::string_view text) {
  return text.size() <= kMaxNoteBytes;
}

part_digests DecodeDigests(cbor_record& record) {
  part_digests digests;
  const nlohmann::json& list = record.Array("parts");
  if (list.size() != kPartCount) {
    record.AddFault("parts");
    return digests;
  }
  for (std::size_t index = 0; index < kPartCount; ++index) {
    if (!list[index].is_string() ||
        !IsDigestOrEmpty(list[index].get_ref<const std::string&>())) {
      record.AddFault("parts");
      return digests;
    }
    digests[index] = list[index].get<std::string>();
  }
  return digests;
}

}  // namespace

std::string EncodeHead(const catalog_head& head) {
  return EncodeCbor({{"format", kCatalogFormat},
                     {"note_digest", head.note_digest},
                     {"note_id", head.note_id},
                     {"parts", head.parts},
                     {"version", head.version}});
}

std::string EncodeNoteRecord(const note_record& record) {
  return EncodeCbor({{"author", record.author},
                     {"base_version", record.base_version},
                     {"format", kCatalogFormat},
                     {"id", record.id},
                     {"parts", record.parts},
                     {"previous_digest", record.previous_digest},
                     {"published_unix_ms", record.published_unix_ms},
                     {"text", record.text},
                     {"version", record.version}});
}

result<catalog_head> DecodeHead(std::string_view bytes) {
  const result<nlohmann::json> decoded = DecodeCborRecord(bytes, kMaxHeadBytes);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  cbor_record record(ValueOf(decoded));
  record.Integer("format", kCatalogFormat, kCatalogFormat);
  catalog_head head;
  head.version = static_cast<std::uint64_t>(
      record.Integer("version", 1, kMaxCatalogVersion));
  head.note_id = record.Text("note_id", IsValidName);
  head.note_digest = record.Text("note_digest", IsDigest);
  head.parts = DecodeDigests(record);
  const status finished = record.Finish();
  if (!IsOk(finished)) {
    return ErrorOf(finished);
  }
  return head;
}

result<note_record> DecodeNoteRecord(std::string_view bytes) {
  const result<nlohmann::json> decoded =
      DecodeCborRecord(bytes, kMaxNoteRecordBytes);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  cbor_record record(ValueOf(decoded));
  record.Integer("format", kCatalogFormat, kCatalogFormat);
  note_record note;
  note.id = record.Text("id", IsValidName);
  note.author = record.Text("author", IsValidText);
  note.version = static_cast<std::uint64_t>(
      record.Integer("version", 1, kMaxCatalogVersion));
  note.base_version = static_cast<std::uint64_t>(
      record.Integer("base_version", 0, kMaxCatalogVersion));
  note.previous_digest = record.Text("previous_digest", IsDigestOrEmpty);
  note.published_unix_ms = record.Integer("published_unix_ms", 0, INT64_MAX);
  note.text = record.Text("text", IsNoteText);
  note.parts = DecodeDigests(record);
  const status finished = record.Finish();
  if (!IsOk(finished)) {
    return ErrorOf(finished);
  }
  const bool is_first = note.version == 1;
  if (note.previous_digest.empty() != is_first ||
      note.base_version + 1 != note.version) {
    return error{error_code::kDataLoss, "note record breaks the chain"};
  }
  return note;
}

}  // namespace bulrushshore
