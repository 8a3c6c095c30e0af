#include "libraries/peer_protocol/message_codec.h"

#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "libraries/peer_protocol/message_fields.h"

namespace bulrushshore {
namespace {

host_record SampleRecord() {
  host_record record;
  record.id = "host-1";
  record.zone = "a";
  record.caller_address = {"127.0.0.1", 8001};
  record.peer_address = {"::1", 9001};
  record.incarnation = "00000000000000ff";
  record.key_generation = 7;
  record.inherited_incarnations = {"ffffffffffffffff"};
  record.sequence = 3;
  record.state = host_state::kLeaving;
  record.catalog_version = 12;
  record.is_self_suspect = true;
  return record;
}

std::vector<peer_body> SampleBodies() {
  digest_message digest;
  digest.view_hash = 0xffffffffffffffffU;
  digest.records = {SampleRecord()};
  digest.counters = {{"host-1", "00000000000000ff", 7, 12}};
  digest.has_summaries = true;
  digest.summaries = {
      {"host-1", "00000000000000ff", 3, host_state::kSuspected}};
  digest_reply_message reply;
  reply.records = {SampleRecord()};
  reply.wanted_ids = {"host-2"};
  parts_reply_message parts{"abc", true, 4,
                            10,    6,    std::string("\0\xff\x01z", 4)};
  handover_message handover{"00000000000000ff",
                            {"00000000000000aa"},
                            "00000000000000bb",
                            3,
                            0,
                            "xyz"};
  return {ping_message{},
          ping_reply_message{},
          digest,
          reply,
          suspect_check_message{"host-1", {"127.0.0.1", 9001}},
          suspect_check_reply_message{"host-1", true},
          parts_request_message{"abc", 6, true},
          parts,
          handover,
          handover_ack_message{"00000000000000ff", true, 3, true},
          crash_report_message{"archive", 0xffffffffffffffffU, {"archive-1"}},
          crash_report_ack_message{}};
}

nlohmann::json EncodedJson(const peer_body& body) {
  return ValueOf(ParseBoundedCbor(EncodeMessage({5, "host-1", body})));
}

// Guards against a field that one side writes and the other does not read.
TEST(MessageCodecTest, EveryTypeSurvivesTheRoundTrip) {
  for (const peer_body& body : SampleBodies()) {
    const peer_message message{5, "host-1", body};
    const result<peer_message> decoded = DecodeMessage(EncodeMessage(message));
    ASSERT_TRUE(IsOk(decoded)) << ErrorOf(decoded).message;
    EXPECT_EQ(ValueOf(decoded), message) << MessageTypeName(body);
  }
}

// Guards against a decoder that accepts a message with a missing or mistyped
// field, which would then act on default values.
TEST(MessageCodecTest, EveryFieldIsChecked) {
  for (const peer_body& body : SampleBodies()) {
    const nlohmann::json good = EncodedJson(body);
    for (const nlohmann::json::object_t::value_type& field :
         good["body"].get_ref<const nlohmann::json::object_t&>()) {
      nlohmann::json missing = good;
      missing["body"].erase(field.first);
      EXPECT_FALSE(IsOk(DecodeMessage(SerializeCbor(missing))))
          << MessageTypeName(body) << " without " << field.first;
      nlohmann::json mistyped = good;
      mistyped["body"][field.first] = nullptr;
      EXPECT_FALSE(IsOk(DecodeMessage(SerializeCbor(mistyped))))
          << MessageTypeName(body) << " with null " << field.first;
    }
  }
}

// Guards against records whose faults are not found because they are nested.
TEST(MessageCodecTest, FieldsOfRecordsAreChecked) {
  const nlohmann::json good = EncodedJson(SampleBodies()[2]);
  for (const nlohmann::json::object_t::value_type& field :
       good["body"]["records"][0].get_ref<const nlohmann::json::object_t&>()) {
    nlohmann::json mistyped = good;
    mistyped["body"]["records"][0][field.first] = -1;
    EXPECT_FALSE(IsOk(DecodeMessage(SerializeCbor(mistyped)))) << field.first;
  }
}

// Guards against a fleet that cannot be upgraded host by host.
TEST(MessageCodecTest, UnknownFieldsAreIgnoredAndUnknownTypesReported) {
  nlohmann::json message = EncodedJson(SampleBodies()[2]);
  message["new_field"] = 1;
  message["body"]["new_field"] = "x";
  message["body"]["records"][0]["new_field"] = nlohmann::json::array();
  EXPECT_TRUE(IsOk(DecodeMessage(SerializeCbor(message))));
  message["type"] = "new_type";
  EXPECT_EQ(ErrorOf(DecodeMessage(SerializeCbor(message))).code,
            error_code::kNotFound);
  message["v"] = kPeerProtocolVersion + 1;
  EXPECT_EQ(ErrorOf(DecodeMessage(SerializeCbor(message))).code,
            error_code::kNotFound);
}

// Guards against memory and stack use that a peer controls.
TEST(MessageCodecTest, OversizedAndDeeplyNestedFramesAreRefused) {
  EXPECT_EQ(ErrorOf(DecodeMessage(std::string(kMaxFrameBytes + 1, 'x'))).code,
            error_code::kResourceExhausted);
  // 0x81 starts an array of one element.
  EXPECT_FALSE(IsOk(DecodeMessage(std::string(kMaxFrameBytes, '\x81'))));
  // 0x7f starts a text of indefinite length, whose pieces the library reads
  // recursively.
  EXPECT_FALSE(IsOk(DecodeMessage(std::string(kMaxFrameBytes, '\x7f'))));
  nlohmann::json long_slice = EncodedJson(SampleBodies()[7]);
  long_slice["body"]["total"] = kMaxFrameBytes;
  long_slice["body"]["bytes"] =
      BinaryField(std::string(kMaxSliceBytes + 1, 'x'));
  EXPECT_FALSE(IsOk(DecodeMessage(SerializeCbor(long_slice))));
}

// Guards against slices that claim to lie outside of their part.
TEST(MessageCodecTest, SlicesBeyondTheTotalAreRefused) {
  for (const std::size_t index : {7U, 8U}) {
    nlohmann::json message = EncodedJson(SampleBodies()[index]);
    message["body"]["offset"] = message["body"]["total"];
    EXPECT_FALSE(IsOk(DecodeMessage(SerializeCbor(message))));
  }
}

}  // namespace
}  // namespace bulrushshore
