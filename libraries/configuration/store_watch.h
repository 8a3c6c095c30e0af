#ifndef LIBRARIES_CONFIGURATION_STORE_WATCH_H_
#define LIBRARIES_CONFIGURATION_STORE_WATCH_H_

#include <cstdint>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/configuration/configuration_agent.h"
#include "libraries/store/catalog_bundle.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

// What one waiting watch and the reads after it found.
struct store_reading {
  // Version that the store gave the head; kNoVersion if it was not read.
  std::uint64_t head_version = kNoVersion;
  // kDeadlineExceeded if the head did not change, kConflict if its catalog
  // version is not above the one in force, kDataLoss if a part is missing or
  // corrupted, otherwise errors of the store.
  result<catalog_bundle> catalog;
};

// Waits for a change of the head after store version `after` and reads the
// parts that `known` does not hold. Blocks. Thread safe.
store_reading ReadStore(object_store& store,
                        std::uint64_t after,
                        std::uint64_t version_in_force,
                        const catalog_bundle& known,
                        std::chrono::milliseconds timeout);

// Decides when the store is read: one call at a time, with backoff while it
// fails. Not thread safe.
class store_watch {
 public:
  // Precondition: `random` outlives this object.
  store_watch(const configuration_options& options, random_source& random);

  // Returns true if a call may start now.
  bool IsDue(time_point now) const;

  // Notes the start of a call and returns the store version to wait for.
  std::uint64_t Begin();

  // Notes the end of the call that was begun.
  void End(const store_reading& reading, time_point now);

 private:
  configuration_options options_;
  random_source& random_;
  bool is_waiting_ = false;
  std::uint64_t head_version_ = kNoVersion;
  std::uint32_t quiet_watches_ = 0;
  duration backoff_{0};
  time_point not_before_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CONFIGURATION_STORE_WATCH_H_
