#ifndef LIBRARIES_CONFIGURATION_SNAPSHOT_KEEPER_H_
#define LIBRARIES_CONFIGURATION_SNAPSHOT_KEEPER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "libraries/base/result.h"
#include "libraries/catalog/types.h"
#include "libraries/store/catalog_bundle.h"

namespace bulrushshore {

// Holds the configuration in force. A catalog is taken as a whole or not at
// all, and only if its version is higher than the one held. Not thread safe.
class snapshot_keeper {
 public:
  enum class verdict { kAccepted, kNotNewer, kRefused };

  // Starts with the empty configuration, version 0.
  snapshot_keeper();

  // Offers a catalog from any source.
  verdict Offer(catalog_bundle bundle);

  std::uint64_t version() const { return snapshot_->version; }
  const std::shared_ptr<const catalog_snapshot>& snapshot() const {
    return snapshot_;
  }
  const catalog_bundle& bundle() const { return bundle_; }

  // Returns why the last refused catalog was refused, if one was.
  const std::optional<error>& last_refusal() const { return last_refusal_; }

 private:
  catalog_bundle bundle_;
  std::shared_ptr<const catalog_snapshot> snapshot_;
  std::optional<error> last_refusal_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CONFIGURATION_SNAPSHOT_KEEPER_H_
