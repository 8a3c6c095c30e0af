#ifndef REVIEW_STAND_INS_2_CASES_H_
#define REVIEW_STAND_INS_2_CASES_H_

#include "review/stand_ins_2/fleet.h"

namespace review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Most of the machines are lost for good in a final fault.
int RunMostHostsLost(const setting& shared, record& log);
// The host that leads its zone is cut off from the store.
int RunLeaderCut(const setting& shared, record& log);

// A request crashes the upstreams that run it, and comes again.
int RunCrashingRequest(const setting& shared, record& log);

// The upstreams of a service are replaced one after the other.
int RunReleaseLag(const setting& shared, record& log);

// Open connections to the store go silent when it is back after an outage.
int RunSilentStore(const setting& shared, record& log);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_CASES_H_
