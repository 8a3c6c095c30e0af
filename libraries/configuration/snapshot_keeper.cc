#include "libraries/configuration/snapshot_keeper.h"

#include <utility>

namespace bulrushshore {

snapshot_keeper::snapshot_keeper()
    : snapshot_(std::make_shared<const catalog_snapshot>()) {}

snapshot_keeper::verdict snapshot_keeper::Offer(catalog_bundle bundle) {
  const result<std::uint64_t> offered = BundleVersion(bundle);
  if (!IsOk(offered)) {
    last_refusal_ = ErrorOf(offered);
    return verdict::kRefused;
  }
  if (ValueOf(offered) <= version()) {
    return verdict::kNotNewer;
  }
  result<catalog_snapshot> built = BuildSnapshot(bundle, bundle_, *snapshot_);
  if (!IsOk(built)) {
    last_refusal_ = ErrorOf(built);
    return verdict::kRefused;
  }
  bundle_ = std::move(bundle);
  snapshot_ =
      std::make_shared<const catalog_snapshot>(TakeValue(std::move(built)));
  return verdict::kAccepted;
}

}  // namespace bulrushshore
