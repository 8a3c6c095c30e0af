#include "libraries/peers/peer_datagram.h"

#include <cstddef>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "libraries/base/cbor_check.h"

namespace bulrushshore {
namespace {

using json = nlohmann::json;

constexpr std::size_t kHeaderFields = 3;
constexpr std::size_t kMaxIdBytes = 256;
constexpr std::uint64_t kMaxObservation =
    static_cast<std::uint64_t>(target_observation::kReusedConnectionLost);

// Visitor that appends the fields of a body to a JSON array.
struct field_writer {
  json& fields;

  void operator()(const ping_body& body) const {
    fields.push_back(body.nonce);
    fields.push_back(body.is_believed_lost);
  }
  void operator()(const pong_body& body) const { fields.push_back(body.nonce); }
  void operator()(const hello_body& body) const {
    fields.push_back(body.host.zone);
    fields.push_back(FormatEndpoint(body.host.caller_address));
    fields.push_back(FormatEndpoint(body.host.peer_address));
  }
  void operator()(const leaving_body&) const {}
  void operator()(const host_lost_body& body) const {
    fields.push_back(body.host_id);
  }
  void operator()(const observation_report& body) const {
    fields.push_back(body.target_id);
    fields.push_back(body.started_at_unix_ms);
    fields.push_back(static_cast<std::uint64_t>(body.observation));
  }
  void operator()(const target_loss_report& body) const {
    fields.push_back(body.fingerprint);
    fields.push_back(body.target_id);
    if (!body.is_certain) {
      fields.push_back(false);
    }
  }
  void operator()(const host_view& body) const {
    fields.push_back(body.rules_version);
    fields.push_back(body.targets_digest);
    fields.push_back(body.rules_age_ms);
    fields.push_back(body.targets_age_ms);
  }
  void operator()(const target_leaving_report& body) const {
    fields.push_back(body.target_id);
    fields.push_back(body.started_at_unix_ms);
  }
  void operator()(const suspicion_summary& body) const {
    for (const target_suspicion& target : body.targets) {
      fields.push_back(target.target_id);
      fields.push_back(target.started_at_unix_ms);
      fields.push_back(target.thousandths);
    }
  }
};

// Reads typed fields in order and records whether one was missing or invalid.
class field_reader {
 public:
  explicit field_reader(const json& fields) : fields_(fields) {}

  std::string Text() {
    const json* value = Next();
    if (!value || !value->is_string()) {
      is_invalid_ = true;
      return {};
    }
    const std::string& text = value->get_ref<const std::string&>();
    is_invalid_ = is_invalid_ || text.empty() || text.size() > kMaxIdBytes;
    return text;
  }

  std::uint64_t Unsigned() {
    const json* value = Next();
    if (!value || !value->is_number_unsigned()) {
      is_invalid_ = true;
      return 0;
    }
    return value->get<std::uint64_t>();
  }

  std::int64_t Signed() {
    const json* value = Next();
    if (!value || !value->is_number_integer()) {
      is_invalid_ = true;
      return 0;
    }
    return value->get<std::int64_t>();
  }

  bool Boolean() {
    const json* value = Next();
    if (!value || !value->is_boolean()) {
      is_invalid_ = true;
      return false;
    }
    return value->get<bool>();
  }

  endpoint Address() {
    const result<endpoint> parsed = ParseEndpoint(Text());
    if (!IsOk(parsed)) {
      is_invalid_ = true;
      return {};
    }
    return ValueOf(parsed);
  }

  void MarkInvalid() { is_invalid_ = true; }

  bool HasMore() const { return !is_invalid_ && next_ < fields_.size(); }

  bool IsComplete() const { return !is_invalid_ && next_ == fields_.size(); }

 private:
  const json* Next() {
    return next_ < fields_.size() ? &fields_[next_++] : nullptr;
  }

  const json& fields_;
  std::size_t next_ = 0;
  bool is_invalid_ = false;
};

target_loss_report ReadTargetLoss(field_reader& reader) {
  target_loss_report report;
  report.fingerprint = reader.Unsigned();
  report.target_id = reader.Text();
  report.is_certain = !reader.HasMore() || reader.Boolean();
  return report;
}

host_view ReadView(field_reader& reader) {
  host_view view;
  view.rules_version = reader.Unsigned();
  view.targets_digest = reader.Unsigned();
  if (reader.HasMore()) {
    view.rules_age_ms = reader.Unsigned();
    view.targets_age_ms = reader.Unsigned();
  }
  return view;
}

peer_body ReadBody(std::uint64_t type,
                   const std::string& sender,
                   field_reader& reader) {
  switch (type) {
    case 0: {
      const std::uint64_t nonce = reader.Unsigned();
      return ping_body{nonce, reader.Boolean()};
    }
    case 1:
      return pong_body{reader.Unsigned()};
    case 2: {
      hello_body body;
      body.host.id = sender;
      body.host.zone = reader.Text();
      body.host.caller_address = reader.Address();
      body.host.peer_address = reader.Address();
      return body;
    }
    case 3:
      return leaving_body{};
    case 4:
      return host_lost_body{reader.Text()};
    case 5: {
      observation_report body;
      body.target_id = reader.Text();
      body.started_at_unix_ms = reader.Signed();
      const std::uint64_t observation = reader.Unsigned();
      if (observation > kMaxObservation) {
        reader.MarkInvalid();
      } else {
        body.observation = static_cast<target_observation>(observation);
      }
      return body;
    }
    case 6:
      return ReadTargetLoss(reader);
    case 7:
      return ReadView(reader);
    case 8: {
      suspicion_summary body;
      while (reader.HasMore()) {
        target_suspicion& target = body.targets.emplace_back();
        target.target_id = reader.Text();
        target.started_at_unix_ms = reader.Signed();
        target.thousandths = reader.Unsigned();
      }
      return body;
    }
    case 9: {
      target_leaving_report body;
      body.target_id = reader.Text();
      body.started_at_unix_ms = reader.Signed();
      return body;
    }
    default:
      reader.MarkInvalid();
      return leaving_body{};
  }
}

}  // namespace

std::string EncodePeerDatagram(const peer_datagram& message) {
  json fields = json::array(
      {message.sender_id, message.body.index(), message.is_sender_ready});
  std::visit(field_writer{fields}, message.body);
  const std::vector<std::uint8_t> bytes = json::to_cbor(fields);
  return {bytes.begin(), bytes.end()};
}

result<peer_datagram> DecodePeerDatagram(std::string_view bytes) {
  const error invalid_datagram{error_code::kInvalidArgument,
                               "faulty peer message"};
  if (!IsBoundedCbor(bytes)) {
    return invalid_datagram;
  }
  const json fields = json::from_cbor(bytes, true, false);
  if (!fields.is_array() || fields.size() < kHeaderFields) {
    return invalid_datagram;
  }
  field_reader reader(fields);
  peer_datagram message;
  message.sender_id = reader.Text();
  const std::uint64_t type = reader.Unsigned();
  message.is_sender_ready = reader.Boolean();
  message.body = ReadBody(type, message.sender_id, reader);
  if (!reader.IsComplete()) {
    return invalid_datagram;
  }
  return message;
}

}  // namespace bulrushshore
