#ifndef LIBRARIES_STORE_CATALOG_READER_H_
#define LIBRARIES_STORE_CATALOG_READER_H_

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/base/result.h"
#include "libraries/catalog/types.h"
#include "libraries/store/catalog_bundle.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

// Fetches the parts that the head `head_bytes` names and `known` does not hold
// and returns the complete bundle. kDataLoss if the head is invalid or a part
// is missing or does not have its digest; otherwise errors of the store. The
// contents of the parts are not looked at. Thread safe.
result<catalog_bundle> FetchBundle(object_store& store,
                                   std::string_view head_bytes,
                                   const catalog_bundle& known);

// Follows the configuration in the store. Keeps the newest valid one and never
// goes back to a lower version, whatever a stale or restored store or another
// host offers. Not thread safe; one owner.
class catalog_reader {
 public:
  // Precondition: `store` outlives this object.
  explicit catalog_reader(object_store& store);

  // Reads the head and the parts that changed. Returns the newest snapshot, the
  // one before if nothing changed. After an error the snapshot before stays in
  // force: kUnavailable from the store, kDataLoss for an invalid configuration
  // or a head of another configuration whose version is not above the one in
  // force. The caller waits before it tries again after an error.
  result<std::shared_ptr<const catalog_snapshot>> Refresh();

  // As Refresh(), but first waits up to `timeout` for a change of the head;
  // kDeadlineExceeded if there is none.
  result<std::shared_ptr<const catalog_snapshot>> WaitForChange(
      std::chrono::milliseconds timeout);

  // Takes a bundle from any source, for example from another host. Returns the
  // snapshot in force afterwards; kDataLoss if the bundle is invalid, and
  // kConflict if it is another one whose version is not above that in force.
  result<std::shared_ptr<const catalog_snapshot>> Adopt(catalog_bundle bundle);

  // Returns the snapshot in force; never null.
  const std::shared_ptr<const catalog_snapshot>& snapshot() const {
    return snapshot_;
  }

  // Returns the raw form of the snapshot in force.
  const catalog_bundle& bundle() const { return bundle_; }

 private:
  result<std::shared_ptr<const catalog_snapshot>> TakeHead(
      const stored_object& head);

  object_store& store_;
  // Store version of the head object that was last seen.
  std::uint64_t head_version_ = kNoVersion;
  catalog_bundle bundle_;
  std::shared_ptr<const catalog_snapshot> snapshot_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_CATALOG_READER_H_
