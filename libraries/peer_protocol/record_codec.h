#ifndef LIBRARIES_PEER_PROTOCOL_RECORD_CODEC_H_
#define LIBRARIES_PEER_PROTOCOL_RECORD_CODEC_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "libraries/base/result.h"
#include "libraries/peer_protocol/messages.h"

namespace bulrushshore {

// Converts the parts of digests to and from CBOR maps; the field names are in
// docs/peer_protocol.md. Decoding checks every field and ignores unknown ones.
// All functions are thread safe.
nlohmann::json EncodeRecord(const host_record& record);
result<host_record> DecodeRecord(const nlohmann::json& value);

nlohmann::json EncodeCounters(const host_counters& counters);
result<host_counters> DecodeCounters(const nlohmann::json& value);

nlohmann::json EncodeSummary(const record_summary& summary);
result<record_summary> DecodeSummary(const nlohmann::json& value);

// The same record as CBOR bytes, for the `hosts/<id>` object of the store.
std::string EncodeRecordBytes(const host_record& record);
result<host_record> DecodeRecordBytes(std::string_view bytes);

}  // namespace bulrushshore

#endif  // LIBRARIES_PEER_PROTOCOL_RECORD_CODEC_H_
