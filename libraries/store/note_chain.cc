#include "libraries/store/note_chain.h"

#include <algorithm>
#include <utility>

#include "libraries/catalog/digest.h"
#include "libraries/store/object_key.h"

namespace bulrushshore {
namespace {

// Reads the record of `version`, whose digest the record after it names.
result<note_record> ReadLink(object_store& store,
                             std::string_view digest,
                             std::uint64_t version) {
  result<note_record> record = ReadNoteRecord(store, digest);
  if (IsOk(record) && ValueOf(record).version != version) {
    return error{error_code::kDataLoss,
                 "the note chain has version " +
                     std::to_string(ValueOf(record).version) +
                     " in place of version " + std::to_string(version)};
  }
  return record;
}

}  // namespace

result<observed_head> ReadHead(object_store& store) {
  result<stored_object> object = store.Get(kCatalogHeadKey);
  if (!IsOk(object)) {
    if (ErrorOf(object).code == error_code::kNotFound) {
      return observed_head{};
    }
    return ErrorOf(object);
  }
  result<catalog_head> head = DecodeHead(ValueOf(object).value);
  if (!IsOk(head)) {
    return ErrorOf(head);
  }
  return observed_head{TakeValue(std::move(head)),
                       std::move(ValueOf(object).value),
                       ValueOf(object).version};
}

result<note_record> ReadNoteRecord(object_store& store,
                                   std::string_view digest) {
  const result<stored_object> object = store.Get(CatalogNoteKey(digest));
  if (!IsOk(object)) {
    if (ErrorOf(object).code == error_code::kNotFound) {
      return error{error_code::kDataLoss, ErrorOf(object).message};
    }
    return ErrorOf(object);
  }
  if (Sha256Hex(ValueOf(object).value) != digest) {
    return error{error_code::kDataLoss, "note record " + std::string(digest) +
                                            " does not have its digest"};
  }
  return DecodeNoteRecord(ValueOf(object).value);
}

result<chain_search> SearchChain(object_store& store,
                                 const catalog_head& head,
                                 std::string_view note_id,
                                 std::uint64_t end_version,
                                 std::size_t max_steps) {
  chain_search found;
  std::string digest = head.note_digest;
  std::uint64_t version = head.version;
  for (std::size_t step = 0; version > 0; ++step) {
    if (step == max_steps) {
      found.is_cut_off = true;
      return found;
    }
    result<note_record> record = ReadLink(store, digest, version);
    if (!IsOk(record)) {
      return ErrorOf(record);
    }
    if (version <= end_version) {
      found.end = TakeValue(std::move(record));
      return found;
    }
    digest = ValueOf(record).previous_digest;
    if (ValueOf(record).id == note_id) {
      found.note = TakeValue(std::move(record));
      return found;
    }
    --version;
  }
  return found;
}

result<std::vector<history_entry>> ReadHistory(object_store& store,
                                               std::size_t limit) {
  const result<observed_head> observed = ReadHead(store);
  if (!IsOk(observed)) {
    return ErrorOf(observed);
  }
  std::vector<history_entry> entries;
  std::string digest = ValueOf(observed).head.note_digest;
  std::uint64_t version = ValueOf(observed).head.version;
  while (version > 0 && entries.size() < std::min(limit, kMaxChainSteps)) {
    result<note_record> record = ReadLink(store, digest, version);
    if (!IsOk(record)) {
      return ErrorOf(record);
    }
    note_record& note = ValueOf(record);
    entries.push_back({note.version, std::move(note.id), std::move(note.author),
                       note.published_unix_ms});
    digest = note.previous_digest;
    --version;
  }
  return entries;
}

}  // namespace bulrushshore
