#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/catalog/apply.h"
#include "libraries/catalog/part_codec.h"
#include "libraries/catalog/version_record.h"
#include "libraries/idempotency/handover.h"
#include "libraries/membership/key_handover.h"
#include "libraries/peer_protocol/handshake.h"
#include "libraries/peer_protocol/message_codec.h"
#include "libraries/peer_protocol/record_codec.h"
#include "libraries/store/audit_archive.h"
#include "libraries/store/in_memory_object_store.h"

// Writes the binary inputs of the fuzz corpora with the encoders of this build,
// a valid one and a truncated one of each kind. Run it again after a change of
// an encoding: fuzz_corpus_writer tests/fuzz/corpus

namespace {

using namespace bulrushshore;

std::string Frame(std::string_view bytes) {
  constexpr unsigned kByteBits = 8;
  constexpr std::size_t kLowByte = 0xff;
  std::string frame;
  frame += static_cast<char>(bytes.size() >> kByteBits);
  frame += static_cast<char>(bytes.size() & kLowByte);
  frame += bytes;
  return frame;
}

class corpus_folder {
 public:
  explicit corpus_folder(std::filesystem::path root) : root_(std::move(root)) {}

  void Write(std::string_view target,
             std::string_view name,
             std::string_view bytes) const {
    const std::filesystem::path folder = root_ / target;
    std::filesystem::create_directories(folder);
    WriteFile(folder / ("valid_" + std::string(name)), bytes);
    WriteFile(folder / ("truncated_" + std::string(name)),
              bytes.substr(0, bytes.size() * 2 / 3));
  }

 private:
  static void WriteFile(const std::filesystem::path& path,
                        std::string_view bytes) {
    std::ofstream file(path, std::ios::binary);
    file << bytes;
  }

  const std::filesystem::path root_;
};

constexpr std::string_view kNote = R"([note]
id = first
author = maaike
base_version = 0

[add service archive]

[add target archive/archive-1]
address = 127.0.0.1:9001
zone = a

[add route archive-lookup]
service = archive
path_prefix = /archive/
kind = lookup
idempotent = true

[add organisation reseller-17]
weight = 2
)";

void WriteCatalog(const corpus_folder& corpus) {
  const std::variant<applied_note, line_errors> applied =
      ParseAndApplyNote({}, kNote);
  const result<encoded_parts> parts =
      EncodeParts(std::get<applied_note>(applied).contents);
  for (std::size_t index = 0; index < kPartCount; ++index) {
    const std::string& bytes = ValueOf(parts)[index];
    if (!bytes.empty()) {
      corpus.Write("catalog_part", "part_" + std::to_string(index),
                   std::string(1, static_cast<char>(index)) + bytes);
      corpus.Write("cbor_check", "part_" + std::to_string(index), bytes);
    }
  }
  const part_digests digests = DigestParts(ValueOf(parts));
  const std::string note_digest(64, 'a');
  const std::string head = EncodeHead({1, "first", note_digest, digests});
  corpus.Write("catalog_head", "head", head);
  note_record record;
  record.id = "first";
  record.author = "maaike";
  record.version = 1;
  record.published_unix_ms = 1'764'800'000'000;
  record.text = kNote;
  record.parts = digests;
  corpus.Write("catalog_head", "note", EncodeNoteRecord(record));

  parts_reply_message reply{"", true, 1, head.size(), 0, head};
  std::string pull = Frame(EncodeMessage({1, "host-b", reply}));
  // The pull asks for the parts in the order of their index.
  for (std::size_t index = 0; index < kPartCount; ++index) {
    const std::string& bytes = ValueOf(parts)[index];
    if (!bytes.empty()) {
      reply = {digests[index], true, 1, bytes.size(), 0, bytes};
      pull += Frame(EncodeMessage({1, "host-b", reply}));
    }
  }
  corpus.Write("catalog_pull", "pull", pull);
}

host_record SampleRecord() {
  host_record record;
  record.id = "host-a";
  record.zone = "a";
  record.caller_address = {"127.0.0.1", 8080};
  record.peer_address = {"127.0.0.1", 8081};
  record.incarnation = "00000000000000aa";
  record.key_generation = 3;
  record.inherited_incarnations = {"00000000000000cc"};
  record.sequence = 5;
  record.catalog_version = 7;
  return record;
}

std::vector<peer_body> SampleBodies() {
  const host_record record = SampleRecord();
  const host_counters counters{"host-b", "00000000000000bb", 4, 7};
  digest_message digest{1, 7, {record}, {counters}, true, {}};
  digest.summaries = {
      {"host-a", "00000000000000aa", 5, host_state::kSuspected}};
  return {ping_message{},
          ping_reply_message{},
          digest,
          digest_reply_message{1, 7, {record}, {counters}, {"host-c"}},
          suspect_check_message{"host-b", {"127.0.0.1", 8082}},
          suspect_check_reply_message{"host-b", true},
          parts_request_message{std::string(64, 'a'), 10, false},
          parts_reply_message{std::string(64, 'a'), true, 7, 5, 0, "bytes"},
          handover_message{"00000000000000aa",
                           {"00000000000000cc"},
                           "00000000000000bb",
                           5,
                           0,
                           "bytes"},
          handover_ack_message{"00000000000000aa", true, 5, true}};
}

void WritePeerProtocol(const corpus_folder& corpus) {
  for (const peer_body& body : SampleBodies()) {
    corpus.Write("peer_message", MessageTypeName(body),
                 EncodeMessage({1, "host-a", body}));
  }
  corpus.Write("host_record", "record", EncodeRecordBytes(SampleRecord()));
  corpus.Write("cbor_check", "record", EncodeRecordBytes(SampleRecord()));

  const peer_keys keys{"fuzz-shared-key", "fuzz-previous-key"};
  handshake_client client(keys, "host-a", std::string(kNonceBytes, 'a'));
  handshake_server server(keys, "host-b", std::string(kNonceBytes, 'b'));
  const std::string hello = client.Hello();
  const std::string challenge = ValueOf(server.OnHello(hello));
  const std::string proof = ValueOf(client.OnChallenge(challenge));
  corpus.Write("handshake", "server_side", Frame(hello) + Frame(proof));
  corpus.Write("handshake", "client_side", Frame(challenge));
}

handover SampleHandover() {
  incarnation_export own{"00000000000000aa", 3, 3, {}};
  const std::shared_ptr<const stored_response> response =
      std::make_shared<const stored_response>(
          stored_response{201, {{"Content-Type", "text/plain"}}, "paid"});
  own.entries = {{2, "payment-1", key_state::kAnswered, 11, response},
                 {3, "payment-2", key_state::kUnknown, 12, nullptr},
                 {3, "payment-3", key_state::kResponseNotKept, 13, nullptr}};
  return {{own, {"00000000000000cc", 9, 2, {}}}};
}

void WriteHandover(const corpus_folder& corpus) {
  const std::vector<std::string> parts =
      EncodeHandover(SampleHandover(), kMaxHandoverPartBytes);
  std::string frames;
  for (const std::string& part : parts) {
    frames += Frame(part);
  }
  corpus.Write("handover", "two_incarnations", frames);

  const std::string joined = JoinHandoverParts(parts);
  corpus.Write("handover_transfer", "joined_parts", joined);
  const std::size_t half = joined.size() / 2;
  handover_message first{"00000000000000aa", {}, "00000000000000bb",
                         joined.size(),      0,  ""};
  first.bytes = joined.substr(0, half);
  handover_message second = first;
  second.offset = half;
  second.bytes = joined.substr(half);
  const std::string first_frame = Frame(EncodeMessage({1, "host-a", first}));
  const std::string second_frame = Frame(EncodeMessage({2, "host-a", second}));
  corpus.Write("handover_transfer", "slices", first_frame + second_frame);
  corpus.Write("handover_transfer", "repeated_slices",
               first_frame + first_frame + second_frame + second_frame);
}

void WriteAudit(const corpus_folder& corpus) {
  in_memory_object_store store;
  const std::vector<audit_record> records = {
      {1, "host-a", "target_ejected", "archive/archive-1", "slow", 7}};
  if (!IsOk(WriteAuditBatch(store, "host-a", 1, records))) {
    return;
  }
  const result<std::vector<std::string>> keys = store.List("", 1);
  const result<stored_object> batch = store.Get(ValueOf(keys).front());
  corpus.Write("audit_batch", "batch", ValueOf(batch).value);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fputs("Usage: fuzz_corpus_writer FOLDER\n", stderr);
    return 2;
  }
  const corpus_folder corpus{argv[1]};
  WriteCatalog(corpus);
  WritePeerProtocol(corpus);
  WriteHandover(corpus);
  WriteAudit(corpus);
  return 0;
}
