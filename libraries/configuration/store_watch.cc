#include "libraries/configuration/store_watch.h"

#include <algorithm>
#include <utility>

#include "libraries/store/catalog_reader.h"
#include "libraries/store/object_key.h"

namespace bulrushshore {
namespace {

// A store that was restored from a backup may count versions from a lower
// number again; after this many quiet watches the head is read whatever its
// version.
constexpr std::uint32_t kQuietWatchesUntilRead = 12;

}  // namespace

store_reading ReadStore(object_store& store,
                        std::uint64_t after,
                        std::uint64_t version_in_force,
                        const catalog_bundle& known,
                        std::chrono::milliseconds timeout) {
  result<stored_object> head =
      store.WaitForChange(kCatalogHeadKey, after, timeout);
  if (!IsOk(head)) {
    return {kNoVersion, ErrorOf(head)};
  }
  const std::uint64_t head_version = ValueOf(head).version;
  const result<std::uint64_t> version =
      BundleVersion({ValueOf(head).value, {}});
  if (!IsOk(version)) {
    return {head_version, ErrorOf(version)};
  }
  if (ValueOf(version) <= version_in_force) {
    return {head_version,
            error{error_code::kConflict, "the store holds an older version"}};
  }
  result<catalog_bundle> catalog =
      FetchBundle(store, ValueOf(head).value, known);
  // Without the parts the same head has to be read again.
  const std::uint64_t seen = IsOk(catalog) ? head_version : kNoVersion;
  return {seen, std::move(catalog)};
}

store_watch::store_watch(const configuration_options& options,
                         random_source& random)
    : options_(options), random_(random) {}

bool store_watch::IsDue(time_point now) const {
  return !is_waiting_ && now >= not_before_;
}

std::uint64_t store_watch::Begin() {
  is_waiting_ = true;
  if (quiet_watches_ >= kQuietWatchesUntilRead) {
    quiet_watches_ = 0;
    return kNoVersion;
  }
  return head_version_;
}

void store_watch::End(const store_reading& reading, time_point now) {
  is_waiting_ = false;
  // A stale replica does not bring back events that were seen already.
  head_version_ = std::max(head_version_, reading.head_version);
  const bool is_quiet =
      !IsOk(reading.catalog) &&
      ErrorOf(reading.catalog).code == error_code::kDeadlineExceeded;
  quiet_watches_ = is_quiet ? quiet_watches_ + 1 : 0;
  if (is_quiet || reading.head_version != kNoVersion) {
    backoff_ = duration(0);
    return;
  }
  backoff_ = std::clamp<duration>(backoff_ * 2, options_.minimum_store_backoff,
                                  options_.maximum_store_backoff);
  // Hosts that lost the store together do not all return to it together.
  const double jitter = 0.5 + random_.UniformReal() / 2;
  not_before_ = now + std::chrono::duration_cast<duration>(backoff_ * jitter);
}

}  // namespace bulrushshore
