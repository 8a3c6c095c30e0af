#include "libraries/peer_protocol/record_codec.h"

#include <utility>

#include "libraries/peer_protocol/message_fields.h"

namespace bulrushshore {
namespace {

constexpr std::uint64_t kMaxState =
    static_cast<std::uint64_t>(host_state::kLost);

nlohmann::json EncodeIncarnations(const std::vector<std::string>& items) {
  nlohmann::json numbers = nlohmann::json::array();
  for (const std::string& item : items) {
    numbers.push_back(IncarnationNumber(item));
  }
  return numbers;
}

host_state ReadState(message_fields& fields) {
  return static_cast<host_state>(fields.UnsignedUpTo("st", kMaxState));
}

template <typename T>
result<T> Checked(const message_fields& fields, T value) {
  if (fields.fault().has_value()) {
    return *fields.fault();
  }
  return value;
}

}  // namespace

nlohmann::json EncodeRecord(const host_record& record) {
  return {{"id", record.id},
          {"z", record.zone},
          {"c", FormatEndpoint(record.caller_address)},
          {"p", FormatEndpoint(record.peer_address)},
          {"i", IncarnationNumber(record.incarnation)},
          {"g", record.key_generation},
          {"h", EncodeIncarnations(record.inherited_incarnations)},
          {"s", record.sequence},
          {"st", static_cast<std::uint64_t>(record.state)},
          {"cv", record.catalog_version},
          {"ss", record.is_self_suspect}};
}

result<host_record> DecodeRecord(const nlohmann::json& value) {
  message_fields fields(value);
  host_record record;
  record.id = fields.Identifier("id");
  record.zone = fields.Identifier("z");
  record.caller_address = fields.Endpoint("c");
  record.peer_address = fields.Endpoint("p");
  record.incarnation = fields.Incarnation("i");
  record.key_generation = fields.Unsigned("g");
  record.inherited_incarnations =
      fields.Incarnations("h", kMaxInheritedIncarnations);
  record.sequence = fields.Unsigned("s");
  record.state = ReadState(fields);
  record.catalog_version = fields.Unsigned("cv");
  record.is_self_suspect = fields.Boolean("ss");
  return Checked(fields, std::move(record));
}

nlohmann::json EncodeCounters(const host_counters& counters) {
  return {{"id", counters.id},
          {"i", IncarnationNumber(counters.incarnation)},
          {"g", counters.key_generation},
          {"cv", counters.catalog_version}};
}

result<host_counters> DecodeCounters(const nlohmann::json& value) {
  message_fields fields(value);
  host_counters counters;
  counters.id = fields.Identifier("id");
  counters.incarnation = fields.Incarnation("i");
  counters.key_generation = fields.Unsigned("g");
  counters.catalog_version = fields.Unsigned("cv");
  return Checked(fields, std::move(counters));
}

nlohmann::json EncodeSummary(const record_summary& summary) {
  return {{"id", summary.id},
          {"i", IncarnationNumber(summary.incarnation)},
          {"s", summary.sequence},
          {"st", static_cast<std::uint64_t>(summary.state)}};
}

result<record_summary> DecodeSummary(const nlohmann::json& value) {
  message_fields fields(value);
  record_summary summary;
  summary.id = fields.Identifier("id");
  summary.incarnation = fields.Incarnation("i");
  summary.sequence = fields.Unsigned("s");
  summary.state = ReadState(fields);
  return Checked(fields, std::move(summary));
}

std::string EncodeRecordBytes(const host_record& record) {
  return SerializeCbor(EncodeRecord(record));
}

result<host_record> DecodeRecordBytes(std::string_view bytes) {
  const result<nlohmann::json> value = ParseBoundedCbor(bytes);
  if (!IsOk(value)) {
    return ErrorOf(value);
  }
  return DecodeRecord(ValueOf(value));
}

}  // namespace bulrushshore
