#include "libraries/peer_protocol/handshake.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/peer_protocol/message_fields.h"
#include "libraries/peer_protocol/messages.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kProofBytes = 32;
constexpr std::size_t kMaxKeys = 2;
constexpr std::size_t kMaxTypeBytes = 32;

std::string Hmac(const std::string& key, std::string_view text) {
  std::string digest(kProofBytes, '\0');
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       reinterpret_cast<unsigned char*>(digest.data()), &length);
  return digest;
}

bool IsSameProof(const std::string& left, const std::string& right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

// Names a key without revealing it.
std::uint64_t KeyId(const std::string& key) {
  const std::string digest = Hmac(key, "bulrushshore peer key id");
  std::uint64_t id = 0;
  for (std::size_t index = 0; index < sizeof(id); ++index) {
    id = (id << 8U) | static_cast<unsigned char>(digest[index]);
  }
  return id;
}

std::vector<std::string> AllKeys(const peer_keys& keys) {
  std::vector<std::string> all = {keys.current};
  if (keys.previous.has_value()) {
    all.push_back(*keys.previous);
  }
  return all;
}

struct handshake_parties {
  std::string client_id;
  std::string client_nonce;
  std::string server_id;
  std::string server_nonce;
};

// The role is part of the text, so that a proof cannot be sent back to its
// author as that of the other side.
std::string Proof(const std::string& key,
                  const char* role,
                  const handshake_parties& parties) {
  const nlohmann::json text = {
      role, parties.client_id, BinaryField(parties.client_nonce),
      parties.server_id, BinaryField(parties.server_nonce)};
  return Hmac(key, SerializeCbor(text));
}

std::string ClientProof(const std::string& key,
                        const handshake_parties& parties) {
  return Proof(key, "client", parties);
}

std::string ServerProof(const std::string& key,
                        const handshake_parties& parties) {
  return Proof(key, "server", parties);
}

error Refused(std::string_view reason) {
  return error{error_code::kPermissionDenied, std::string(reason)};
}

result<nlohmann::json> ParseFrame(std::string_view frame) {
  if (frame.size() > kMaxHandshakeFrameBytes) {
    return Refused("the handshake frame is too large");
  }
  return ParseBoundedCbor(frame);
}

void CheckEnvelope(message_fields& fields, const char* type) {
  if (fields.Unsigned("v") != kPeerProtocolVersion) {
    fields.Fail("v", "expected the protocol version of this build");
  }
  if (fields.String("type", kMaxTypeBytes) != type) {
    fields.Fail("type", "expected the next step of the handshake");
  }
}

}  // namespace

result<std::string> MakeNonce() {
  std::string nonce(kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1) {
    return error{error_code::kUnavailable, "no random bytes"};
  }
  return nonce;
}

handshake_client::handshake_client(peer_keys keys,
                                   std::string self_id,
                                   std::string nonce)
    : keys_(std::move(keys)),
      self_id_(std::move(self_id)),
      nonce_(std::move(nonce)) {}

std::string handshake_client::Hello() const {
  nlohmann::json key_ids = nlohmann::json::array();
  for (const std::string& key : AllKeys(keys_)) {
    key_ids.push_back(KeyId(key));
  }
  return SerializeCbor({{"v", kPeerProtocolVersion},
                        {"type", "hello"},
                        {"from", self_id_},
                        {"nonce", BinaryField(nonce_)},
                        {"keys", key_ids}});
}

result<std::string> handshake_client::OnChallenge(std::string_view frame) {
  const result<nlohmann::json> value = ParseFrame(frame);
  if (!IsOk(value)) {
    return ErrorOf(value);
  }
  message_fields fields(ValueOf(value));
  CheckEnvelope(fields, "hello_challenge");
  const std::uint64_t key_id = fields.Unsigned("key");
  const std::string proof = fields.Binary("proof", kProofBytes);
  handshake_parties parties{self_id_, nonce_, fields.Identifier("from"),
                            fields.Binary("nonce", kNonceBytes)};
  if (fields.fault().has_value()) {
    return Refused(fields.fault()->message);
  }
  for (const std::string& key : AllKeys(keys_)) {
    if (KeyId(key) == key_id && IsSameProof(proof, ServerProof(key, parties))) {
      peer_id_ = parties.server_id;
      return SerializeCbor({{"v", kPeerProtocolVersion},
                            {"type", "hello_proof"},
                            {"proof", BinaryField(ClientProof(key, parties))}});
    }
  }
  return Refused("the peer does not know the key");
}

handshake_server::handshake_server(peer_keys keys,
                                   std::string self_id,
                                   std::string nonce)
    : keys_(std::move(keys)),
      self_id_(std::move(self_id)),
      nonce_(std::move(nonce)) {}

result<std::string> handshake_server::OnHello(std::string_view frame) {
  const result<nlohmann::json> value = ParseFrame(frame);
  if (!IsOk(value)) {
    return ErrorOf(value);
  }
  message_fields fields(ValueOf(value));
  CheckEnvelope(fields, "hello");
  const handshake_parties parties{fields.Identifier("from"),
                                  fields.Binary("nonce", kNonceBytes), self_id_,
                                  nonce_};
  const nlohmann::json& key_ids = fields.Array("keys", kMaxKeys);
  if (parties.client_nonce.size() != kNonceBytes) {
    fields.Fail("nonce", "expected 32 bytes");
  }
  if (fields.fault().has_value()) {
    return Refused(fields.fault()->message);
  }
  for (const std::string& key : AllKeys(keys_)) {
    const nlohmann::json key_id = KeyId(key);
    if (std::find(key_ids.begin(), key_ids.end(), key_id) == key_ids.end()) {
      continue;
    }
    peer_id_ = parties.client_id;
    expected_proof_ = ClientProof(key, parties);
    return SerializeCbor({{"v", kPeerProtocolVersion},
                          {"type", "hello_challenge"},
                          {"from", self_id_},
                          {"nonce", BinaryField(nonce_)},
                          {"key", key_id},
                          {"proof", BinaryField(ServerProof(key, parties))}});
  }
  return Refused("no key is known to both sides");
}

status handshake_server::OnProof(std::string_view frame) {
  const result<nlohmann::json> value = ParseFrame(frame);
  if (!IsOk(value)) {
    return ErrorOf(value);
  }
  message_fields fields(ValueOf(value));
  CheckEnvelope(fields, "hello_proof");
  const std::string proof = fields.Binary("proof", kProofBytes);
  if (fields.fault().has_value()) {
    return Refused(fields.fault()->message);
  }
  if (!IsSameProof(proof, expected_proof_)) {
    return Refused("the peer does not know the key");
  }
  return OkStatus();
}

}  // namespace bulrushshore
