#ifndef LIBRARIES_STORE_HTTP_MACHINE_LIST_H_
#define LIBRARIES_STORE_HTTP_MACHINE_LIST_H_

#include "libraries/base/clock.h"
#include "libraries/store/http_exchange.h"
#include "libraries/store/machine_list.h"

namespace bulrushshore {

// Reads the list of machines over HTTP, see docs/store.md. Thread safe.
class http_machine_list : public machine_list {
 public:
  // Precondition: `time_source` outlives this object.
  http_machine_list(http_store_options options, const clock& time_source);

  result<std::vector<machine>> Machines() override;

 private:
  const http_store_options options_;
  const clock& time_source_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_HTTP_MACHINE_LIST_H_
