#ifndef LIBRARIES_FLEET_HOST_OBJECTS_H_
#define LIBRARIES_FLEET_HOST_OBJECTS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "libraries/base/endpoint.h"
#include "libraries/configuration/blocking_executor.h"
#include "libraries/peer_protocol/host_record.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

// Keeps this host's record in the store as `hosts/<id>`, and finds other hosts
// there when a host starts. Thread safe; calls to the store run on an executor.
class host_objects : public std::enable_shared_from_this<host_objects> {
 public:
  // Preconditions: `store` outlives the tasks of `executor`; owned by a
  // shared_ptr.
  host_objects(object_store& store,
               std::shared_ptr<blocking_executor> executor,
               host_record self);

  // Writes the record unless one with the same sequence was written. Counters
  // alone cause no write: each catalog version would cost one on every host.
  void Write(const host_record& self);

  // Calls `found` on the executor with the peer addresses of some other hosts.
  void ReadSeeds(std::function<void(const endpoint&)> found);

 private:
  void WriteNow(const host_record& self);
  void ReadSeedsNow(const std::function<void(const endpoint&)>& found);

  object_store& store_;
  const std::shared_ptr<blocking_executor> executor_;
  const std::string self_id_;
  std::mutex mutex_;
  std::uint64_t written_sequence_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_FLEET_HOST_OBJECTS_H_
