#include "libraries/store/catalog_bundle.h"

#include "libraries/catalog/digest.h"
#include "libraries/catalog/limits.h"
#include "libraries/catalog/version_record.h"

namespace bulrushshore {
namespace {

status DecodeBundlePart(const catalog_bundle& bundle,
                        std::size_t index,
                        const std::string& digest,
                        catalog_contents& contents) {
  const auto part = bundle.parts.find(digest);
  if (part == bundle.parts.end() || part->second == nullptr) {
    return error{error_code::kDataLoss,
                 "part " + std::to_string(index) + " is missing"};
  }
  if (Sha256Hex(*part->second) != digest) {
    return error{error_code::kDataLoss,
                 "part " + std::to_string(index) + " has a wrong digest"};
  }
  return DecodePart(index, *part->second, contents);
}

}  // namespace

result<std::uint64_t> BundleVersion(const catalog_bundle& bundle) {
  if (bundle.head.empty()) {
    return std::uint64_t{0};
  }
  const result<catalog_head> head = DecodeHead(bundle.head);
  if (!IsOk(head)) {
    return ErrorOf(head);
  }
  return ValueOf(head).version;
}

result<std::vector<std::string>> MissingParts(std::string_view head_bytes,
                                              const catalog_bundle& bundle) {
  const result<catalog_head> head = DecodeHead(head_bytes);
  if (!IsOk(head)) {
    return ErrorOf(head);
  }
  std::vector<std::string> missing;
  for (const std::string& digest : ValueOf(head).parts) {
    if (!digest.empty() && !bundle.parts.contains(digest)) {
      missing.push_back(digest);
    }
  }
  return missing;
}

result<catalog_snapshot> BuildSnapshot(const catalog_bundle& bundle) {
  if (bundle.head.empty()) {
    return catalog_snapshot{};
  }
  const result<catalog_head> decoded = DecodeHead(bundle.head);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  const catalog_head& head = ValueOf(decoded);
  catalog_snapshot snapshot;
  snapshot.version = head.version;
  snapshot.note_id = head.note_id;
  for (std::size_t index = 0; index < kPartCount; ++index) {
    if (head.parts[index].empty()) {
      continue;
    }
    const status part =
        DecodeBundlePart(bundle, index, head.parts[index], snapshot.contents);
    if (!IsOk(part)) {
      return ErrorOf(part);
    }
  }
  const std::vector<object_error> errors = CheckReferences(snapshot.contents);
  if (!errors.empty()) {
    const object_error& first = errors.front();
    return error{error_code::kDataLoss,
                 first.object_type + " " + first.key + ": " + first.message};
  }
  return snapshot;
}

}  // namespace bulrushshore
