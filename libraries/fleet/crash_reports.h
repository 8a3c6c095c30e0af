#ifndef LIBRARIES_FLEET_CRASH_REPORTS_H_
#define LIBRARIES_FLEET_CRASH_REPORTS_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/peer_protocol/host_record.h"
#include "libraries/peer_protocol/messages.h"
#include "libraries/peer_protocol/peer_messenger.h"

namespace bulrushshore {

struct crash_report_budget_options {
  double maximum_reports = 20.0;
  double reports_per_second = 0.2;
};

// Bounds the crash reports of this host. A host whose own network cuts its
// connections would otherwise make the others hold back every request that it
// loses. Not thread safe.
class crash_report_budget {
 public:
  explicit crash_report_budget(const crash_report_budget_options& options = {});

  // Takes one report; returns false if there is none left at `now`.
  bool TryTake(time_point now);

 private:
  crash_report_budget_options options_;
  double reports_;
  time_point last_;
};

// Returns the hosts that a report of `self_id` goes to: all that are not lost,
// since each serves every service, or in a fleet of more than 64 hosts only
// `service_hosts`, those that discovery responses name. Thread safe.
std::vector<host_record> ReceiversOfCrashReport(
    const std::vector<host_record>& hosts,
    const std::string& self_id,
    const std::vector<host_record>& service_hosts);

// Sends `report` to `receivers` and calls `done` once, when each has answered
// or has failed to. Returns at once. Thread safe.
void SendCrashReport(const std::shared_ptr<peer_messenger>& messenger,
                     const std::vector<host_record>& receivers,
                     const crash_report_message& report,
                     std::function<void()> done);

}  // namespace bulrushshore

#endif  // LIBRARIES_FLEET_CRASH_REPORTS_H_
