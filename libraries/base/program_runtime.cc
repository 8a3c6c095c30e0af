#include "libraries/base/program_runtime.h"

namespace bulrushshore {

program_runtime::single_thread_config::single_thread_config() {
  set("scheduler.max-threads", 1);
}

program_runtime::program_runtime() : system_(config_), time_(system_.clock()) {}

}  // namespace bulrushshore
