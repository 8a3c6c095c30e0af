#ifndef REVIEW_STAND_INS_3_CHECKS_H_
#define REVIEW_STAND_INS_3_CHECKS_H_

#include <string>
#include <vector>

#include "review/stand_ins_3/fleet.h"

namespace bulrushshore::review {

// When the store acknowledged that payments are run by a service.
struct acknowledged_service {
  std::string service;
  time_point acknowledged;
};

// Returns the number of payments of this period that a host in touch had run by
// a service that only configurations older than "config-apply-ms" allow. Only
// requests sent at `from` or later to `host`, if it is given, count.
// Precondition: no host was disturbed between `from` and now.
int CountOldRuns(fleet& played,
                 const std::vector<acknowledged_service>& history,
                 time_point from);

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_CHECKS_H_
