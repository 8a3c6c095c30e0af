#include "libraries/store/catalog_bundle.h"

#include "libraries/catalog/digest.h"
#include "libraries/catalog/limits.h"
#include "libraries/catalog/version_record.h"

namespace bulrushshore {
namespace {

// Parts that may change before the whole catalog is decoded afresh: removing
// the objects of a part looks at all objects.
constexpr std::size_t kMaxReplacedParts = 8;

// Checks that the bundle holds every part that `head` names, unchanged.
status CheckParts(const catalog_bundle& bundle, const catalog_head& head) {
  for (std::size_t index = 0; index < kPartCount; ++index) {
    const std::string& digest = head.parts[index];
    if (digest.empty()) {
      continue;
    }
    const auto part = bundle.parts.find(digest);
    if (part == bundle.parts.end() || part->second == nullptr) {
      return error{error_code::kDataLoss,
                   "part " + std::to_string(index) + " is missing"};
    }
    if (Sha256Hex(*part->second) != digest) {
      return error{error_code::kDataLoss,
                   "part " + std::to_string(index) + " has a wrong digest"};
    }
  }
  return OkStatus();
}

// Replaces the parts of `contents` that differ between `before` and `after`.
// Precondition: CheckParts() accepts the bundle with the digests `after`.
status ReplaceParts(const catalog_bundle& bundle,
                    const part_digests& before,
                    const part_digests& after,
                    catalog_contents& contents) {
  // A route that changes its service moves between parts, so all old parts go
  // before any new one is decoded.
  for (std::size_t index = 0; index < kPartCount; ++index) {
    if (before[index] != after[index] && !before[index].empty()) {
      RemovePart(index, contents);
    }
  }
  for (std::size_t index = 0; index < kPartCount; ++index) {
    if (before[index] == after[index] || after[index].empty()) {
      continue;
    }
    status decoded =
        DecodePart(index, *bundle.parts.find(after[index])->second, contents);
    if (!IsOk(decoded)) {
      return decoded;
    }
  }
  return OkStatus();
}

std::size_t CountDifferences(const part_digests& left,
                             const part_digests& right) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < kPartCount; ++index) {
    count += left[index] == right[index] ? 0 : 1;
  }
  return count;
}

// Returns the digests of `bundle`, all empty if there is no valid head.
part_digests DigestsOf(const catalog_bundle& bundle) {
  const result<catalog_head> head = DecodeHead(bundle.head);
  return IsOk(head) ? ValueOf(head).parts : part_digests{};
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
  return BuildSnapshot(bundle, {}, {});
}

result<catalog_snapshot> BuildSnapshot(const catalog_bundle& bundle,
                                       const catalog_bundle& previous_bundle,
                                       const catalog_snapshot& previous) {
  if (bundle.head.empty()) {
    return catalog_snapshot{};
  }
  const result<catalog_head> decoded = DecodeHead(bundle.head);
  if (!IsOk(decoded)) {
    return ErrorOf(decoded);
  }
  const catalog_head& head = ValueOf(decoded);
  const status checked = CheckParts(bundle, head);
  if (!IsOk(checked)) {
    return ErrorOf(checked);
  }
  part_digests known = DigestsOf(previous_bundle);
  catalog_snapshot snapshot;
  if (CountDifferences(known, head.parts) <= kMaxReplacedParts) {
    snapshot.contents = previous.contents;
  } else {
    known = part_digests{};
  }
  snapshot.version = head.version;
  snapshot.note_id = head.note_id;
  const status replaced =
      ReplaceParts(bundle, known, head.parts, snapshot.contents);
  if (!IsOk(replaced)) {
    return ErrorOf(replaced);
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
