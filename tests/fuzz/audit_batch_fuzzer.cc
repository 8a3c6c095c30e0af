#include <array>
#include <string>
#include <vector>

#include "libraries/store/audit_archive.h"
#include "libraries/store/in_memory_object_store.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

constexpr std::size_t kMaxRecords = 1000;

// Writes a batch, so that its object exists, and puts `bytes` in its place.
void ReplaceBatch(object_store& store, std::string_view bytes) {
  const std::array<audit_record, 1> records = {
      audit_record{1, "host-a", "note_applied", "note-1", "", 1}};
  Require(IsOk(WriteAuditBatch(store, "host-a", 1, records)),
          "a batch is written");
  const result<std::vector<std::string>> keys = store.List("", 1);
  const std::string& key = ValueOf(keys).front();
  const std::uint64_t version = ValueOf(store.Get(key)).version;
  Require(IsOk(store.Put(key, bytes, version)), "the batch is replaced");
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  in_memory_object_store store;
  ReplaceBatch(store, FuzzText(data, size));
  const result<std::vector<audit_record>> records =
      ReadAuditRecords(store, kMaxRecords);
  if (IsOk(records)) {
    Require(ValueOf(records).size() <= kMaxRecords, "the limit is kept");
  }
  return 0;
}
