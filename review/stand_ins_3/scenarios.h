#ifndef REVIEW_STAND_INS_3_SCENARIOS_H_
#define REVIEW_STAND_INS_3_SCENARIOS_H_

#include "review/stand_ins_3/fleet.h"

namespace bulrushshore::review {

// Each plays one case and returns how often its rule was broken.
int PlayChangeAfterStart(fleet& played);
int PlayCutWatchOfConfiguration(fleet& played);
int PlayCutWatch(fleet& played);
int PlayLimitsAfterStart(fleet& played);

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_SCENARIOS_H_
