#include "libraries/peer_protocol/message_codec.h"

#include <array>
#include <cstddef>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/peer_protocol/message_fields.h"
#include "libraries/peer_protocol/record_codec.h"

namespace bulrushshore {
namespace {

constexpr std::array<std::string_view, std::variant_size_v<peer_body>>
    kTypeNames = {"ping",          "ping_reply",    "digest",
                  "digest_reply",  "suspect_check", "suspect_check_reply",
                  "parts_request", "parts_reply",   "handover",
                  "handover_ack",  "crash_report",  "crash_report_ack"};
constexpr std::size_t kMaxTypeBytes = 32;
constexpr std::size_t kMaxCounters = 1'000;

template <typename T>
nlohmann::json EncodeList(const std::vector<T>& items,
                          nlohmann::json (*encode)(const T&)) {
  nlohmann::json list = nlohmann::json::array();
  for (const T& item : items) {
    list.push_back(encode(item));
  }
  return list;
}

template <typename T>
std::vector<T> DecodeList(message_fields& fields,
                          const char* name,
                          std::size_t max_count,
                          result<T> (*decode)(const nlohmann::json&)) {
  std::vector<T> items;
  for (const nlohmann::json& value : fields.Array(name, max_count)) {
    result<T> item = decode(value);
    if (!IsOk(item)) {
      fields.FailWith(ErrorOf(item));
      return {};
    }
    items.push_back(TakeValue(std::move(item)));
  }
  return items;
}

nlohmann::json EncodeIncarnations(const std::vector<std::string>& items) {
  nlohmann::json numbers = nlohmann::json::array();
  for (const std::string& item : items) {
    numbers.push_back(IncarnationNumber(item));
  }
  return numbers;
}

// The overloads of EncodeBody() and ReadBody() name the fields of each type.
nlohmann::json EncodeBody(const ping_message&) {
  return nlohmann::json::object();
}

void ReadBody(message_fields&, ping_message&) {}

nlohmann::json EncodeBody(const ping_reply_message&) {
  return nlohmann::json::object();
}

void ReadBody(message_fields&, ping_reply_message&) {}

nlohmann::json EncodeBody(const digest_message& body) {
  nlohmann::json encoded = {
      {"hash", body.view_hash},
      {"version", body.catalog_version},
      {"records", EncodeList(body.records, &EncodeRecord)},
      {"counters", EncodeList(body.counters, &EncodeCounters)},
      {"full", body.has_summaries}};
  encoded["summaries"] = EncodeList(body.summaries, &EncodeSummary);
  return encoded;
}

void ReadBody(message_fields& fields, digest_message& body) {
  body.view_hash = fields.Unsigned("hash");
  body.catalog_version = fields.Unsigned("version");
  body.records =
      DecodeList(fields, "records", kMaxRecordsPerMessage, &DecodeRecord);
  body.counters = DecodeList(fields, "counters", kMaxCounters, &DecodeCounters);
  body.has_summaries = fields.Boolean("full");
  body.summaries =
      DecodeList(fields, "summaries", kMaxSummariesPerMessage, &DecodeSummary);
}

nlohmann::json EncodeBody(const digest_reply_message& body) {
  return {{"hash", body.view_hash},
          {"version", body.catalog_version},
          {"records", EncodeList(body.records, &EncodeRecord)},
          {"counters", EncodeList(body.counters, &EncodeCounters)},
          {"wanted", body.wanted_ids}};
}

void ReadBody(message_fields& fields, digest_reply_message& body) {
  body.view_hash = fields.Unsigned("hash");
  body.catalog_version = fields.Unsigned("version");
  body.records =
      DecodeList(fields, "records", kMaxRecordsPerMessage, &DecodeRecord);
  body.counters = DecodeList(fields, "counters", kMaxCounters, &DecodeCounters);
  body.wanted_ids = fields.Identifiers("wanted", kMaxSummariesPerMessage);
}

nlohmann::json EncodeBody(const suspect_check_message& body) {
  return {{"host", body.id}, {"address", FormatEndpoint(body.peer_address)}};
}

void ReadBody(message_fields& fields, suspect_check_message& body) {
  body.id = fields.Identifier("host");
  body.peer_address = fields.Endpoint("address");
}

nlohmann::json EncodeBody(const suspect_check_reply_message& body) {
  return {{"host", body.id}, {"reachable", body.is_reachable}};
}

void ReadBody(message_fields& fields, suspect_check_reply_message& body) {
  body.id = fields.Identifier("host");
  body.is_reachable = fields.Boolean("reachable");
}

nlohmann::json EncodeBody(const parts_request_message& body) {
  return {{"digest", body.digest},
          {"offset", body.offset},
          {"version_only", body.is_version_query}};
}

void ReadBody(message_fields& fields, parts_request_message& body) {
  body.digest = fields.OptionalIdentifier("digest");
  body.offset = fields.Unsigned("offset");
  body.is_version_query = fields.Boolean("version_only");
}

nlohmann::json EncodeBody(const parts_reply_message& body) {
  return {{"digest", body.digest},   {"found", body.is_found},
          {"version", body.version}, {"total", body.total_bytes},
          {"offset", body.offset},   {"bytes", BinaryField(body.bytes)}};
}

void ReadBody(message_fields& fields, parts_reply_message& body) {
  body.digest = fields.OptionalIdentifier("digest");
  body.is_found = fields.Boolean("found");
  body.version = fields.Unsigned("version");
  body.total_bytes = fields.UnsignedUpTo("total", kMaxFrameBytes);
  body.offset = fields.UnsignedUpTo("offset", body.total_bytes);
  body.bytes = fields.Binary("bytes", kMaxSliceBytes);
  if (body.offset + body.bytes.size() > body.total_bytes) {
    fields.Fail("bytes", "expected a slice within the total size");
  }
}

nlohmann::json EncodeBody(const handover_message& body) {
  return {{"incarnation", IncarnationNumber(body.incarnation)},
          {"inherited", EncodeIncarnations(body.inherited_incarnations)},
          {"successor", IncarnationNumber(body.successor)},
          {"total", body.total_bytes},
          {"offset", body.offset},
          {"bytes", BinaryField(body.bytes)}};
}

void ReadBody(message_fields& fields, handover_message& body) {
  body.incarnation = fields.Incarnation("incarnation");
  body.inherited_incarnations =
      fields.Incarnations("inherited", kMaxInheritedIncarnations);
  body.successor = fields.Incarnation("successor");
  body.total_bytes = fields.UnsignedUpTo("total", kMaxHandoverBytes);
  body.offset = fields.UnsignedUpTo("offset", body.total_bytes);
  body.bytes = fields.Binary("bytes", kMaxSliceBytes);
  if (body.offset + body.bytes.size() > body.total_bytes) {
    fields.Fail("bytes", "expected a slice within the total size");
  }
}

nlohmann::json EncodeBody(const handover_ack_message& body) {
  return {{"incarnation", IncarnationNumber(body.incarnation)},
          {"accepted", body.is_accepted},
          {"received", body.received_bytes},
          {"complete", body.is_complete}};
}

void ReadBody(message_fields& fields, handover_ack_message& body) {
  body.incarnation = fields.Incarnation("incarnation");
  body.is_accepted = fields.Boolean("accepted");
  body.received_bytes = fields.UnsignedUpTo("received", kMaxHandoverBytes);
  body.is_complete = fields.Boolean("complete");
}

nlohmann::json EncodeBody(const crash_report_message& body) {
  return {{"service", body.service},
          {"fingerprint", body.fingerprint},
          {"targets", body.targets}};
}

void ReadBody(message_fields& fields, crash_report_message& body) {
  body.service = fields.Identifier("service");
  body.fingerprint = fields.Unsigned("fingerprint");
  body.targets = fields.Identifiers("targets", kMaxTargetsPerReport);
}

nlohmann::json EncodeBody(const crash_report_ack_message&) {
  return nlohmann::json::object();
}

void ReadBody(message_fields&, crash_report_ack_message&) {}

struct body_encoder {
  template <typename Body>
  nlohmann::json operator()(const Body& body) const {
    return EncodeBody(body);
  }
};

template <std::size_t index>
bool ReadBodyIfNamed(std::string_view type,
                     message_fields& fields,
                     peer_body& body) {
  if (kTypeNames[index] != type) {
    return false;
  }
  ReadBody(fields, body.emplace<index>());
  return true;
}

template <std::size_t... indices>
bool ReadBodyOfType(std::string_view type,
                    message_fields& fields,
                    peer_body& body,
                    std::index_sequence<indices...>) {
  return (ReadBodyIfNamed<indices>(type, fields, body) || ...);
}

}  // namespace

std::string_view MessageTypeName(const peer_body& body) {
  return kTypeNames[body.index()];
}

bool IsReply(const peer_body& body) {
  return std::holds_alternative<ping_reply_message>(body) ||
         std::holds_alternative<digest_reply_message>(body) ||
         std::holds_alternative<suspect_check_reply_message>(body) ||
         std::holds_alternative<parts_reply_message>(body) ||
         std::holds_alternative<handover_ack_message>(body) ||
         std::holds_alternative<crash_report_ack_message>(body);
}

std::string EncodeMessage(const peer_message& message) {
  const nlohmann::json body = std::visit(body_encoder(), message.body);
  return SerializeCbor({{"v", kPeerProtocolVersion},
                        {"type", MessageTypeName(message.body)},
                        {"id", message.id},
                        {"from", message.from},
                        {"body", body}});
}

result<peer_message> DecodeMessage(std::string_view frame) {
  if (frame.size() > kMaxFrameBytes) {
    return error{error_code::kResourceExhausted, "frame is too large"};
  }
  const result<nlohmann::json> value = ParseBoundedCbor(frame);
  if (!IsOk(value)) {
    return ErrorOf(value);
  }
  message_fields envelope(ValueOf(value));
  if (envelope.Unsigned("v") != kPeerProtocolVersion &&
      !envelope.fault().has_value()) {
    return error{error_code::kNotFound, "unknown protocol version"};
  }
  const std::string type = envelope.String("type", kMaxTypeBytes);
  peer_message message;
  message.id = envelope.Unsigned("id");
  message.from = envelope.Identifier("from");
  message_fields fields(envelope.Object("body"));
  if (envelope.fault().has_value()) {
    return *envelope.fault();
  }
  if (!ReadBodyOfType(
          type, fields, message.body,
          std::make_index_sequence<std::variant_size_v<peer_body>>())) {
    return error{error_code::kNotFound, "unknown message type " + type};
  }
  if (fields.fault().has_value()) {
    return *fields.fault();
  }
  return message;
}

}  // namespace bulrushshore
