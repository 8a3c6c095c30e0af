#include "libraries/catalog/part_codec.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <vector>

#include "libraries/catalog/cbor_record.h"
#include "libraries/catalog/digest.h"
#include "libraries/catalog/limits.h"
#include "libraries/catalog/name_hash.h"

namespace bulrushshore {
namespace {

nlohmann::json ToJson(const service& value) {
  return {{"floor_percent", value.floor_percent},
          {"max_body_bytes", value.max_body_bytes},
          {"name", value.name},
          {"patience_ms", value.patience.count()},
          {"queue_limit", value.queue_limit},
          {"timeout_ms", value.timeout.count()}};
}

nlohmann::json ToJson(const target& value) {
  return {{"address", FormatEndpoint(value.address)},
          {"draining", value.state == target_state::kDraining},
          {"max_connections", value.max_connections},
          {"name", value.name},
          {"service", value.service},
          {"slots", value.slots},
          {"zone", value.zone}};
}

nlohmann::json ToJson(const route& value) {
  return {{"host_name", value.host_name},
          {"idempotent", value.is_idempotent},
          {"key_required", value.is_key_required},
          {"kind", value.kind},
          {"name", value.name},
          {"path_prefix", value.path_prefix},
          {"service", value.service}};
}

nlohmann::json ToJson(const organisation& value) {
  return {{"name", value.name}, {"weight", value.weight}};
}

bool IsEndpoint(std::string_view text) {
  return IsOk(ParseEndpoint(text));
}

void Decode(cbor_record& record, service& value) {
  value.name = record.Text("name", IsValidName);
  value.floor_percent = static_cast<std::uint32_t>(
      record.Integer("floor_percent", 0, kMaxFloorPercent));
  value.timeout =
      std::chrono::milliseconds(record.Integer("timeout_ms", 1, kMaxTimeoutMs));
  value.queue_limit = static_cast<std::uint32_t>(
      record.Integer("queue_limit", 0, kMaxQueueLimit));
  value.patience = std::chrono::milliseconds(
      record.Integer("patience_ms", 0, kMaxTimeoutMs));
  value.max_body_bytes = static_cast<std::uint64_t>(
      record.Integer("max_body_bytes", 0, kMaxBodyBytes));
}

void Decode(cbor_record& record, target& value) {
  value.service = record.Text("service", IsValidName);
  value.name = record.Text("name", IsValidName);
  const result<endpoint> address =
      ParseEndpoint(record.Text("address", IsEndpoint));
  if (IsOk(address)) {
    value.address = ValueOf(address);
  }
  value.zone = record.Text("zone", IsValidName);
  value.slots =
      static_cast<std::uint32_t>(record.Integer("slots", 1, kMaxSlots));
  value.max_connections = static_cast<std::uint32_t>(
      record.Integer("max_connections", 1, kMaxTargetConnections));
  value.state = record.Boolean("draining") ? target_state::kDraining
                                           : target_state::kActive;
}

void Decode(cbor_record& record, route& value) {
  value.name = record.Text("name", IsValidName);
  value.service = record.Text("service", IsValidName);
  value.path_prefix = record.Text("path_prefix", IsValidPathPrefix);
  value.host_name = record.Text("host_name", IsValidHostName);
  value.kind = record.Text("kind", IsValidName);
  value.is_idempotent = record.Boolean("idempotent");
  value.is_key_required = record.Boolean("key_required");
}

void Decode(cbor_record& record, organisation& value) {
  value.name = record.Text("name", IsValidName);
  value.weight =
      static_cast<std::uint32_t>(record.Integer("weight", 1, kMaxWeight));
}

std::string KeyOf(const service& value) {
  return value.name;
}

std::string KeyOf(const target& value) {
  return TargetKey(value.service, value.name);
}

std::string KeyOf(const route& value) {
  return value.name;
}

std::string KeyOf(const organisation& value) {
  return value.name;
}

std::size_t PartOf(const service& value) {
  return PartOfService(value.name);
}

std::size_t PartOf(const target& value) {
  return PartOfService(value.service);
}

std::size_t PartOf(const route& value) {
  return PartOfService(value.service);
}

std::size_t PartOf(const organisation& value) {
  return PartOfOrganisation(value.name);
}

template <typename Object>
void AddToParts(const char* list_name,
                const std::map<std::string, Object>& objects,
                std::vector<nlohmann::json>& parts) {
  for (const std::pair<const std::string, Object>& entry : objects) {
    parts[PartOf(entry.second)][list_name].push_back(ToJson(entry.second));
  }
}

void AddOrganisations(const organisation_table& organisations,
                      std::vector<nlohmann::json>& parts) {
  for (std::size_t group = 0; group < organisation_table::kGroupCount;
       ++group) {
    for (const organisation& value : organisations.Group(group)) {
      parts[kServicePartCount + group]["organisations"].push_back(
          ToJson(value));
    }
  }
}

// Decodes one object of the part with this index.
template <typename Object>
result<Object> DecodeObject(std::size_t index, const nlohmann::json& item) {
  cbor_record record(item);
  Object value;
  Decode(record, value);
  const status finished = record.Finish();
  if (!IsOk(finished)) {
    return ErrorOf(finished);
  }
  if (PartOf(value) != index) {
    return error{error_code::kDataLoss,
                 "\"" + KeyOf(value) + "\" does not belong to this part"};
  }
  return value;
}

error DuplicateError(const std::string& key) {
  return error{error_code::kDataLoss, "\"" + key + "\" stands twice"};
}

// Decodes the objects of one list and adds them to `objects`.
template <typename Object>
status DecodeList(std::size_t index,
                  const nlohmann::json& list,
                  std::map<std::string, Object>& objects) {
  for (const nlohmann::json& item : list) {
    result<Object> decoded = DecodeObject<Object>(index, item);
    if (!IsOk(decoded)) {
      return ErrorOf(decoded);
    }
    const std::string key = KeyOf(ValueOf(decoded));
    if (!objects.try_emplace(key, TakeValue(std::move(decoded))).second) {
      return DuplicateError(key);
    }
  }
  return OkStatus();
}

// Decodes the list of organisations of a part, which replaces their group.
status DecodeOrganisations(std::size_t index,
                           const nlohmann::json& list,
                           organisation_table& organisations) {
  std::vector<organisation> group;
  group.reserve(list.size());
  for (const nlohmann::json& item : list) {
    result<organisation> decoded = DecodeObject<organisation>(index, item);
    if (!IsOk(decoded)) {
      return ErrorOf(decoded);
    }
    group.push_back(TakeValue(std::move(decoded)));
  }
  std::sort(group.begin(), group.end(),
            [](const organisation& left, const organisation& right) {
              return left.name < right.name;
            });
  const auto duplicate = std::adjacent_find(
      group.begin(), group.end(),
      [](const organisation& left, const organisation& right) {
        return left.name == right.name;
      });
  if (duplicate != group.end()) {
    return DuplicateError(duplicate->name);
  }
  organisations.ReplaceGroup(index - kServicePartCount, std::move(group));
  return OkStatus();
}

template <typename Object>
void EraseObjects(std::size_t index, std::map<std::string, Object>& objects) {
  std::erase_if(objects,
                [index](const std::pair<const std::string, Object>& entry) {
                  return PartOf(entry.second) == index;
                });
}

bool IsServicePart(std::size_t index) {
  return index < kServicePartCount;
}

status DecodeServicePart(std::size_t index,
                         cbor_record& record,
                         catalog_contents& contents) {
  status decoded =
      DecodeList(index, record.Array("services"), contents.services);
  if (IsOk(decoded)) {
    decoded = DecodeList(index, record.Array("targets"), contents.targets);
  }
  if (IsOk(decoded)) {
    decoded = DecodeList(index, record.Array("routes"), contents.routes);
  }
  return decoded;
}

error PartError(std::size_t index, const error& cause) {
  return error{cause.code,
               "part " + std::to_string(index) + ": " + cause.message};
}

}  // namespace

std::size_t PartOfService(std::string_view service_name) {
  return NameBucket(service_name, kServicePartCount);
}

std::size_t PartOfOrganisation(std::string_view name) {
  return kServicePartCount + organisation_table::GroupOf(name);
}

result<encoded_parts> EncodeParts(const catalog_contents& contents) {
  std::vector<nlohmann::json> trees(kPartCount);
  AddToParts("services", contents.services, trees);
  AddToParts("targets", contents.targets, trees);
  AddToParts("routes", contents.routes, trees);
  AddOrganisations(contents.organisations, trees);
  encoded_parts parts;
  for (std::size_t index = 0; index < kPartCount; ++index) {
    nlohmann::json& tree = trees[index];
    if (tree.is_null()) {
      continue;
    }
    tree["format"] = kCatalogFormat;
    tree["part"] = index;
    if (IsServicePart(index)) {
      // A part may have services without targets or without routes.
      tree.emplace("targets", nlohmann::json::array());
      tree.emplace("routes", nlohmann::json::array());
    }
    parts[index] = EncodeCbor(tree);
    if (parts[index].size() > kMaxPartBytes) {
      return PartError(
          index, {error_code::kResourceExhausted,
                  "would have " + std::to_string(parts[index].size()) +
                      " bytes; the limit is " + std::to_string(kMaxPartBytes)});
    }
  }
  return parts;
}

part_digests DigestParts(const encoded_parts& parts) {
  part_digests digests;
  for (std::size_t index = 0; index < kPartCount; ++index) {
    if (!parts[index].empty()) {
      digests[index] = Sha256Hex(parts[index]);
    }
  }
  return digests;
}

status DecodePart(std::size_t index,
                  std::string_view bytes,
                  catalog_contents& contents) {
  assert(index < kPartCount);
  const result<nlohmann::json> decoded = DecodeCborRecord(bytes, kMaxPartBytes);
  if (!IsOk(decoded)) {
    return PartError(index, ErrorOf(decoded));
  }
  cbor_record record(ValueOf(decoded));
  record.Integer("format", kCatalogFormat, kCatalogFormat);
  const std::int64_t stated_index = static_cast<std::int64_t>(index);
  record.Integer("part", stated_index, stated_index);
  status lists = IsServicePart(index)
                     ? DecodeServicePart(index, record, contents)
                     : DecodeOrganisations(index, record.Array("organisations"),
                                           contents.organisations);
  if (!IsOk(lists)) {
    return PartError(index, ErrorOf(lists));
  }
  const status finished = record.Finish();
  return IsOk(finished) ? finished : PartError(index, ErrorOf(finished));
}

void RemovePart(std::size_t index, catalog_contents& contents) {
  if (!IsServicePart(index)) {
    contents.organisations.ReplaceGroup(index - kServicePartCount, {});
    return;
  }
  EraseObjects(index, contents.services);
  EraseObjects(index, contents.targets);
  EraseObjects(index, contents.routes);
}

}  // namespace bulrushshore
