#ifndef LIBRARIES_BASE_PROGRAM_RUNTIME_H_
#define LIBRARIES_BASE_PROGRAM_RUNTIME_H_

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "libraries/base/clock.h"

namespace bulrushshore {

// The actor system of a program that runs no actors and needs only its clock.
// Starts threads. Thread safe.
class program_runtime {
 public:
  program_runtime();

  program_runtime(const program_runtime&) = delete;
  program_runtime& operator=(const program_runtime&) = delete;

  // Returns the clock; it lives as long as this object.
  const clock& time() const { return time_; }

 private:
  // Complete before the system is made.
  class single_thread_config : public caf::actor_system_config {
   public:
    single_thread_config();
  };

  single_thread_config config_;
  caf::actor_system system_;
  const runtime_clock time_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_PROGRAM_RUNTIME_H_
