#ifndef LIBRARIES_STORE_MACHINE_LIST_H_
#define LIBRARIES_STORE_MACHINE_LIST_H_

#include <string>
#include <vector>

#include "libraries/base/result.h"

namespace bulrushshore {

enum class machine_state { kLive, kLeaving };

// A machine that runs targets or the host daemon, known by its IP address.
struct machine {
  std::string ip;
  machine_state state = machine_state::kLive;

  bool operator==(const machine&) const = default;
};

// The platform's list of machines. It is eventually consistent: a machine may
// appear, leave or be missing later than it does so in fact.
class machine_list {
 public:
  virtual ~machine_list() = default;

  // Returns all listed machines. kUnavailable if the platform does not answer,
  // kDataLoss if its answer is invalid. Implementations are thread safe.
  virtual result<std::vector<machine>> Machines() = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_MACHINE_LIST_H_
