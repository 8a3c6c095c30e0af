#include "libraries/store/audit_archive.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include "libraries/catalog/cbor_record.h"
#include "libraries/catalog/limits.h"
#include "libraries/store/immutable_object.h"

namespace bulrushshore {
namespace {

constexpr std::string_view kPrefix = "audit/";
constexpr std::size_t kMaxBatchBytes = kMaxObjectBytes;
constexpr std::size_t kTimeDigits = 14;
// Above every time that a wall clock shows. Keys hold the difference to it, so
// that the store's ascending list starts with the newest batch.
constexpr std::int64_t kLatestUnixMs = 99'999'999'999'999;

std::string BatchKey(std::int64_t unix_ms,
                     std::string_view host_id,
                     std::uint64_t batch_number) {
  const std::int64_t known_time =
      std::clamp<std::int64_t>(unix_ms, 0, kLatestUnixMs);
  std::string digits = std::to_string(kLatestUnixMs - known_time);
  digits.insert(0, kTimeDigits - digits.size(), '0');
  return std::string(kPrefix) + digits + "-" + std::string(host_id) + "-" +
         std::to_string(batch_number);
}

std::string Cut(const std::string& text) {
  return text.substr(0, kMaxAuditTextLength);
}

bool IsAuditText(std::string_view text) {
  return text.size() <= kMaxAuditTextLength;
}

nlohmann::json ToJson(const audit_record& record) {
  return {{"action", Cut(record.action)},
          {"actor", Cut(record.actor)},
          {"catalog_version", record.catalog_version},
          {"detail", Cut(record.detail)},
          {"subject", Cut(record.subject)},
          {"unix_time_ms", record.unix_time_ms}};
}

result<audit_record> DecodeRecord(const nlohmann::json& value) {
  cbor_record reader(value);
  audit_record record;
  record.action = reader.Text("action", IsAuditText);
  record.actor = reader.Text("actor", IsAuditText);
  record.catalog_version = static_cast<std::uint64_t>(
      reader.Integer("catalog_version", 0, kMaxCatalogVersion));
  record.detail = reader.Text("detail", IsAuditText);
  record.subject = reader.Text("subject", IsAuditText);
  record.unix_time_ms = reader.Integer("unix_time_ms", 0, kLatestUnixMs);
  const status finished = reader.Finish();
  if (!IsOk(finished)) {
    return ErrorOf(finished);
  }
  return record;
}

result<std::vector<audit_record>> DecodeBatch(std::string_view bytes) {
  const result<nlohmann::json> decoded =
      DecodeCborRecord(bytes, kMaxBatchBytes);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  cbor_record reader(ValueOf(decoded));
  std::vector<audit_record> records;
  for (const nlohmann::json& value : reader.Array("records")) {
    result<audit_record> record = DecodeRecord(value);
    if (!IsOk(record)) {
      return ErrorOf(record);
    }
    records.push_back(TakeValue(std::move(record)));
  }
  return records;
}

}  // namespace

status WriteAuditBatch(object_store& store,
                       std::string_view host_id,
                       std::uint64_t batch_number,
                       std::span<const audit_record> records) {
  assert(!records.empty() && records.size() <= kMaxAuditBatchRecords);
  assert(IsValidName(host_id));
  nlohmann::json list = nlohmann::json::array();
  for (const audit_record& record : records) {
    list.push_back(ToJson(record));
  }
  const std::string bytes =
      EncodeCbor({{"format", kCatalogFormat}, {"records", std::move(list)}});
  return PutImmutableObject(
      store, BatchKey(records.back().unix_time_ms, host_id, batch_number),
      bytes);
}

result<std::vector<audit_record>> ReadAuditRecords(object_store& store,
                                                   std::size_t limit) {
  // Each batch has at least one record.
  const result<std::vector<std::string>> keys = store.List(kPrefix, limit);
  if (!IsOk(keys)) {
    return ErrorOf(keys);
  }
  std::vector<audit_record> records;
  for (const std::string& key : ValueOf(keys)) {
    if (records.size() >= limit) {
      break;
    }
    const result<stored_object> object = store.Get(key);
    if (!IsOk(object)) {
      return ErrorOf(object);
    }
    const result<std::vector<audit_record>> batch =
        DecodeBatch(ValueOf(object).value);
    if (!IsOk(batch)) {
      return error{ErrorOf(batch).code, key + ": " + ErrorOf(batch).message};
    }
    records.insert(records.end(), ValueOf(batch).rbegin(),
                   ValueOf(batch).rend());
  }
  records.resize(std::min(records.size(), limit));
  return records;
}

}  // namespace bulrushshore
