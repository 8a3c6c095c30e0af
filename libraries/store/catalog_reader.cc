#include "libraries/store/catalog_reader.h"

#include <utility>

#include "libraries/catalog/digest.h"
#include "libraries/catalog/version_record.h"
#include "libraries/store/object_key.h"

namespace bulrushshore {
namespace {

result<std::shared_ptr<const std::string>> FetchPart(object_store& store,
                                                     std::string_view digest) {
  result<stored_object> part = store.Get(CatalogPartKey(digest));
  if (!IsOk(part)) {
    if (ErrorOf(part).code == error_code::kNotFound) {
      return error{error_code::kDataLoss, ErrorOf(part).message};
    }
    return ErrorOf(part);
  }
  std::string& bytes = ValueOf(part).value;
  if (Sha256Hex(bytes) != digest) {
    return error{error_code::kDataLoss,
                 "part " + std::string(digest) + " does not have its digest"};
  }
  return std::make_shared<const std::string>(std::move(bytes));
}

}  // namespace

result<catalog_bundle> FetchBundle(object_store& store,
                                   std::string_view head_bytes,
                                   const catalog_bundle& known) {
  const result<catalog_head> head = DecodeHead(head_bytes);
  if (!IsOk(head)) {
    return ErrorOf(head);
  }
  catalog_bundle bundle;
  bundle.head = std::string(head_bytes);
  for (const std::string& digest : ValueOf(head).parts) {
    if (digest.empty()) {
      continue;
    }
    const auto known_part = known.parts.find(digest);
    if (known_part != known.parts.end()) {
      bundle.parts.insert(*known_part);
      continue;
    }
    result<std::shared_ptr<const std::string>> part = FetchPart(store, digest);
    if (!IsOk(part)) {
      return ErrorOf(part);
    }
    bundle.parts.emplace(digest, TakeValue(std::move(part)));
  }
  return bundle;
}

catalog_reader::catalog_reader(object_store& store)
    : store_(store), snapshot_(std::make_shared<const catalog_snapshot>()) {}

result<std::shared_ptr<const catalog_snapshot>> catalog_reader::Refresh() {
  const result<stored_object> head = store_.Get(kCatalogHeadKey);
  if (IsOk(head)) {
    return TakeHead(ValueOf(head));
  }
  if (ErrorOf(head).code == error_code::kNotFound && snapshot_->version == 0) {
    return snapshot_;
  }
  return ErrorOf(head);
}

result<std::shared_ptr<const catalog_snapshot>> catalog_reader::WaitForChange(
    std::chrono::milliseconds timeout) {
  const result<stored_object> head =
      store_.WaitForChange(kCatalogHeadKey, head_version_, timeout);
  if (!IsOk(head)) {
    return ErrorOf(head);
  }
  return TakeHead(ValueOf(head));
}

result<std::shared_ptr<const catalog_snapshot>> catalog_reader::TakeHead(
    const stored_object& head) {
  if (head.value == bundle_.head) {
    head_version_ = head.version;
    return snapshot_;
  }
  result<catalog_bundle> bundle = FetchBundle(store_, head.value, bundle_);
  if (!IsOk(bundle)) {
    return ErrorOf(bundle);
  }
  result<std::shared_ptr<const catalog_snapshot>> adopted =
      Adopt(TakeValue(std::move(bundle)));
  if (IsOk(adopted)) {
    head_version_ = head.version;
    return adopted;
  }
  return error{error_code::kDataLoss, ErrorOf(adopted).message};
}

result<std::shared_ptr<const catalog_snapshot>> catalog_reader::Adopt(
    catalog_bundle bundle) {
  const result<std::uint64_t> version = BundleVersion(bundle);
  if (!IsOk(version)) {
    return ErrorOf(version);
  }
  if (bundle.head == bundle_.head) {
    return snapshot_;
  }
  if (ValueOf(version) <= snapshot_->version) {
    return error{error_code::kConflict, "catalog version " +
                                            std::to_string(ValueOf(version)) +
                                            " is not above version " +
                                            std::to_string(snapshot_->version) +
                                            ", which is in force"};
  }
  result<catalog_snapshot> snapshot =
      BuildSnapshot(bundle, bundle_, *snapshot_);
  if (!IsOk(snapshot)) {
    return ErrorOf(snapshot);
  }
  bundle_ = std::move(bundle);
  snapshot_ =
      std::make_shared<const catalog_snapshot>(TakeValue(std::move(snapshot)));
  return snapshot_;
}

}  // namespace bulrushshore
