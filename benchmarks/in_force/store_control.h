#ifndef BENCHMARKS_IN_FORCE_STORE_CONTROL_H_
#define BENCHMARKS_IN_FORCE_STORE_CONTROL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "libraries/base/endpoint.h"

namespace bulrushshore {

// The control endpoints of the stand-in object store (docs/store.md). Ends the
// program if the store does not answer, since no figure counts then. Thread
// safe.
class store_control {
 public:
  explicit store_control(endpoint address);

  void SetOutage(bool is_out) const;
  void SetDelay(std::chrono::milliseconds delay) const;

  // Returns the number of calls so far by kind.
  std::map<std::string, std::uint64_t> Calls() const;

 private:
  void Post(const std::string& path) const;

  const endpoint address_;
};

}  // namespace bulrushshore

#endif  // BENCHMARKS_IN_FORCE_STORE_CONTROL_H_
