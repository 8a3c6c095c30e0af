#ifndef REVIEW_STAND_INS_3_EDGE_PROCESS_H_
#define REVIEW_STAND_INS_3_EDGE_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"

namespace bulrushshore::review {

// One host: a process started with the command of the deploy file, with a
// settings file of its own and addresses that no other host has.
class edge_process {
 public:
  struct settings {
    std::string program;
    std::string templates;
    std::string work_folder;
    std::string node;
    std::string ip;
    endpoint store;
  };

  edge_process(const settings& values, const clock& time);
  ~edge_process();
  edge_process(const edge_process&) = delete;
  edge_process& operator=(const edge_process&) = delete;

  // Starts the process. `is_fleet_start` says that the whole system starts for
  // the first time. Precondition: it does not run.
  void Start(bool is_fleet_start);
  void Signal(int number);
  // Returns true if the process does not run.
  bool HasEnded();

  // Returns true if the process was neither started nor disturbed in the
  // stable window before `moment`, and runs undisturbed until now.
  bool WasInTouch(time_point moment) const;
  // Records that the host or its links are disturbed now.
  void NoteDisturbance();

  endpoint caller_address() const;
  endpoint discovery_address() const;
  time_point started_at() const { return started_at_; }
  const std::string& node() const { return settings_.node; }

 private:
  settings settings_;
  const clock& time_;
  pid_t id_ = -1;
  time_point started_at_;
  time_point disturbed_at_;
};

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_EDGE_PROCESS_H_
