#include "libraries/idempotency/handover.h"

#include <cassert>
#include <map>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/base/cbor_check.h"

namespace bulrushshore {
namespace {

using json = nlohmann::json;

constexpr int kFormatVersion = 1;
constexpr std::size_t kSmallestPartBytes = 1024;
// Room for the fields of a part beside its entries.
constexpr std::size_t kPartOverheadBytes = 256;
// 19 years of 60 s steps. The start of an incarnation is computed from its
// generation, which must not overflow the clock.
constexpr std::uint64_t kMaxGeneration = 10'000'000;

struct open_part {
  std::size_t incarnation_index = 0;
  std::size_t bytes = 0;
  json entries = json::array();
};

json EncodeResponse(const stored_response& response) {
  json headers = json::array();
  for (const stored_header& header : response.headers) {
    headers.push_back(
        {json::binary({header.name.begin(), header.name.end()}),
         json::binary({header.value.begin(), header.value.end()})});
  }
  return {response.status, std::move(headers),
          json::binary({response.body.begin(), response.body.end()})};
}

json EncodeKey(const exported_key& key) {
  json encoded = {key.generation, key.caller_part, static_cast<int>(key.state),
                  key.fingerprint};
  if (key.response != nullptr) {
    encoded.push_back(EncodeResponse(*key.response));
  }
  return encoded;
}

json EncodeKeyWithin(const exported_key& key, std::size_t max_bytes) {
  json encoded = EncodeKey(key);
  if (json::to_cbor(encoded).size() <= max_bytes) {
    return encoded;
  }
  exported_key without_response = key;
  without_response.state = key_state::kResponseNotKept;
  without_response.response = nullptr;
  return EncodeKey(without_response);
}

std::vector<open_part> SplitIntoParts(const handover& value,
                                      std::size_t max_entry_bytes) {
  std::vector<open_part> parts;
  for (std::size_t index = 0; index < value.incarnations.size(); ++index) {
    parts.push_back({index, 0, json::array()});
    for (const exported_key& key : value.incarnations[index].entries) {
      json encoded = EncodeKeyWithin(key, max_entry_bytes);
      const std::size_t bytes = json::to_cbor(encoded).size();
      if (parts.back().bytes + bytes > max_entry_bytes) {
        parts.push_back({index, 0, json::array()});
      }
      parts.back().bytes += bytes;
      parts.back().entries.push_back(std::move(encoded));
    }
  }
  return parts;
}

std::string TakeBinary(const json& value) {
  const json::binary_t& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

std::shared_ptr<const stored_response> DecodeResponse(const json& value) {
  stored_response response;
  response.status = value.at(0).get<int>();
  for (const json& header : value.at(1)) {
    response.headers.push_back(
        {TakeBinary(header.at(0)), TakeBinary(header.at(1))});
  }
  response.body = TakeBinary(value.at(2));
  return std::make_shared<const stored_response>(std::move(response));
}

key_state DecodeState(int value) {
  switch (value) {
    case static_cast<int>(key_state::kAnswered):
      return key_state::kAnswered;
    case static_cast<int>(key_state::kResponseNotKept):
      return key_state::kResponseNotKept;
    default:
      return key_state::kUnknown;
  }
}

exported_key DecodeKey(const json& value) {
  constexpr std::size_t kResponseField = 4;
  exported_key key;
  key.generation = value.at(0).get<std::uint64_t>();
  key.caller_part = value.at(1).get<std::string>();
  key.state = DecodeState(value.at(2).get<int>());
  key.fingerprint = value.at(3).get<std::uint64_t>();
  if (key.state == key_state::kAnswered) {
    key.response = DecodeResponse(value.at(kResponseField));
  }
  return key;
}

void CheckGeneration(std::uint64_t generation, std::uint64_t maximum) {
  if (generation > maximum) {
    throw std::invalid_argument("a generation is out of range");
  }
}

incarnation_export DecodeIncarnation(const json& part) {
  incarnation_export decoded;
  decoded.incarnation = part.at("incarnation").get<std::string>();
  decoded.generation = part.at("generation").get<std::uint64_t>();
  decoded.last_issued_generation = part.at("last_issued").get<std::uint64_t>();
  CheckGeneration(decoded.generation, kMaxGeneration);
  return decoded;
}

// Returns the incarnation that the entries of `part` belong to. The parts of
// one incarnation follow each other.
incarnation_export& FindOrAddIncarnation(const json& part, handover& value) {
  incarnation_export decoded = DecodeIncarnation(part);
  for (const incarnation_export& known : value.incarnations) {
    const bool is_last = &known == &value.incarnations.back();
    if (!is_last && known.incarnation == decoded.incarnation) {
      throw std::invalid_argument("an incarnation is repeated");
    }
  }
  if (value.incarnations.empty() ||
      value.incarnations.back().incarnation != decoded.incarnation) {
    value.incarnations.push_back(std::move(decoded));
  }
  return value.incarnations.back();
}

// Throws the library's exceptions for faulty input.
handover DecodeParts(std::span<const std::string> parts) {
  std::map<std::size_t, json> by_number;
  for (const std::string& part : parts) {
    // The library's reader recurses, so the nesting is bounded first.
    if (!IsBoundedCbor(part)) {
      throw std::invalid_argument("a part is no CBOR, or nested too deeply");
    }
    json decoded = json::from_cbor(part);
    const bool is_expected =
        decoded.at("v").get<int>() == kFormatVersion &&
        decoded.at("parts").get<std::size_t>() == parts.size();
    if (is_expected) {
      by_number.emplace(decoded.at("part").get<std::size_t>(),
                        std::move(decoded));
    }
  }
  if (by_number.size() != parts.size() || by_number.empty() ||
      by_number.rbegin()->first != parts.size() - 1) {
    throw std::invalid_argument("parts are missing or repeated");
  }
  handover value;
  for (const std::map<std::size_t, json>::value_type& part : by_number) {
    incarnation_export& incarnation = FindOrAddIncarnation(part.second, value);
    for (const json& key : part.second.at("entries")) {
      incarnation.entries.push_back(DecodeKey(key));
      CheckGeneration(incarnation.entries.back().generation,
                      incarnation.generation);
    }
  }
  return value;
}

}  // namespace

std::size_t stored_response::Bytes() const {
  std::size_t bytes = body.size();
  for (const stored_header& header : headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

std::vector<std::string> EncodeHandover(const handover& value,
                                        std::size_t max_part_bytes) {
  assert(max_part_bytes >= kSmallestPartBytes);
  std::vector<open_part> parts =
      SplitIntoParts(value, max_part_bytes - kPartOverheadBytes);
  std::vector<std::string> encoded;
  for (open_part& part : parts) {
    const incarnation_export& source =
        value.incarnations[part.incarnation_index];
    const json whole = {{"v", kFormatVersion},
                        {"part", encoded.size()},
                        {"parts", parts.size()},
                        {"incarnation", source.incarnation},
                        {"generation", source.generation},
                        {"last_issued", source.last_issued_generation},
                        {"entries", std::move(part.entries)}};
    const std::vector<std::uint8_t> bytes = json::to_cbor(whole);
    encoded.emplace_back(bytes.begin(), bytes.end());
  }
  return encoded;
}

result<handover> DecodeHandover(std::span<const std::string> parts) {
  try {
    return DecodeParts(parts);
  } catch (const std::exception& failure) {
    return error{error_code::kInvalidArgument,
                 std::string("faulty hand-over: ") + failure.what()};
  }
}

}  // namespace bulrushshore
