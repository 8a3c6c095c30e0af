#include "tests/system/fault_schedule.h"

#include <array>

namespace bulrushshore {
namespace {

constexpr std::size_t kMinFaults = 4;
constexpr std::size_t kMaxFaults = 8;
// A multiple of every number of hosts, targets and links.
constexpr std::uint32_t kSubjects = 12;
constexpr int kMinStartMs = 300;
constexpr int kMaxStartMs = 5'500;
constexpr int kMinLengthMs = 300;
constexpr int kMaxLengthMs = 3'000;

constexpr std::array<std::string_view, kFaultKinds> kKindNames = {
    "host_crash",         "host_stop",
    "host_pause",         "store_outage",
    "store_slow",         "store_lost_replies",
    "target_gray",        "target_truncate",
    "target_hang",        "target_crash",
    "target_silent",      "link_cut_to_server",
    "link_cut_to_client", "link_silent",
    "duplicate_key",      "duplicate_foreign_key",
    "crashing_request"};

rc::Gen<fault> AnyFault() {
  return rc::gen::build<fault>(
      rc::gen::set(
          &fault::kind,
          rc::gen::map(rc::gen::inRange<int>(0, kFaultKinds),
                       [](int kind) { return static_cast<fault_kind>(kind); })),
      rc::gen::set(&fault::subject,
                   rc::gen::inRange<std::uint32_t>(0, kSubjects)),
      rc::gen::set(&fault::at,
                   rc::gen::map(rc::gen::inRange(kMinStartMs, kMaxStartMs),
                                [](int count) {
                                  return std::chrono::milliseconds(count);
                                })),
      rc::gen::set(&fault::length,
                   rc::gen::map(rc::gen::inRange(kMinLengthMs, kMaxLengthMs),
                                [](int count) {
                                  return std::chrono::milliseconds(count);
                                })));
}

}  // namespace

std::string_view FaultKindName(fault_kind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

rc::Gen<fault_schedule> AnyFaultSchedule() {
  // Ranges shrink to their lower end at the small sizes that RapidCheck starts
  // with, and each run has only a few schedules.
  return rc::gen::resize(
      rc::kNominalSize,
      rc::gen::mapcat(
          rc::gen::inRange(kMinFaults, kMaxFaults + 1), [](std::size_t count) {
            return rc::gen::container<fault_schedule>(count, AnyFault());
          }));
}

std::ostream& operator<<(std::ostream& output, const fault& value) {
  return output << FaultKindName(value.kind) << " of " << value.subject
                << " at " << value.at.count() << " ms for "
                << value.length.count() << " ms";
}

}  // namespace bulrushshore
