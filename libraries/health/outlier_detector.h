#ifndef LIBRARIES_HEALTH_OUTLIER_DETECTOR_H_
#define LIBRARIES_HEALTH_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/health/health_types.h"
#include "libraries/health/kind_statistics.h"
#include "libraries/health/sequential_test.h"

namespace bulrushshore {

// A target as the detector needs to know it.
struct monitored_target {
  std::string name;
  std::uint32_t slots = 1;
  bool is_draining = false;
  // A changed number means another process under the same name.
  std::uint64_t generation = 0;
};

// Health of one target at one moment.
struct target_health {
  health_state state = health_state::kHealthy;
  time_point since;
  health_reason reason = health_reason::kNone;
  // Share of the usual traffic; 0 if the target is out of use.
  double weight = 1.0;
};

// Decides which targets of one service are in use, from what the requests of
// this host experienced. It never reads a clock: each call states the time,
// which must not go backwards. Not thread safe.
class outlier_detector {
 public:
  explicit outlier_detector(const health_options& options = {});

  // Sets the registered targets and the floor. A target that was not known
  // before starts with a small share of the traffic, except in the first call.
  // Precondition: `floor_percent` <= 100.
  void SetTargets(std::span<const monitored_target> targets,
                  std::uint32_t floor_percent,
                  time_point now);

  // Enters the outcome of an attempt. Unknown targets are ignored.
  void Report(std::string_view target,
              const evidence& observed,
              time_point now);

  // Enters the result of an active probe. Probes alone eject no target.
  void ReportProbe(std::string_view target, bool is_success, time_point now);

  // Makes the decisions that only depend on the time.
  void Advance(time_point now);

  // Returns the time of the next decision that only depends on the time.
  std::optional<time_point> NextDecision() const;

  // Precondition: the target is registered.
  target_health Health(std::string_view target, time_point now) const;

  // Returns true if the target is waiting for a trial request.
  bool NeedsTrial(std::string_view target) const;

  // Returns the slots of the targets in use.
  std::uint32_t SlotsInUse() const;

  // Returns the slots that ejections leave in use.
  std::uint32_t FloorSlots() const;

  bool IsSelfSuspect() const { return is_self_suspect_; }

  // Returns and clears the events since the last call.
  std::vector<health_event> TakeEvents();

 private:
  struct record {
    explicit record(double maximum_score);

    std::uint32_t slots = 1;
    std::uint64_t generation = 0;
    health_state state = health_state::kHealthy;
    health_reason reason = health_reason::kNone;
    time_point since;
    sequential_test failures;
    sequential_test slowness;
    outcome_counts recent;
    // Start of the present suspicion: the first event since a score was 0.
    time_point suspected_since;
    time_point last_good;
    time_point last_bad;
    time_point last_failure;
    std::uint32_t ejections = 0;
    time_point ejections_decayed_at;
    time_point ejected_until;
    std::uint32_t trial_successes = 0;
    std::optional<time_point> last_connection_loss;
    double severity = 0.0;
    double peer_failure_share = 0.0;
  };
  using record_map = std::map<std::string, record, std::less<>>;

  static bool IsInUse(const record& value);
  bool IsCandidate(const record& value) const;
  bool IsWorseThanOthers(const record& candidate) const;
  double Severity(const record& value) const;
  static void Enter(record& value,
                    health_state state,
                    health_reason reason,
                    time_point now);
  void Emit(health_event_type type,
            std::string_view name,
            const record& value,
            time_point now);
  bool IsFailure(const evidence& observed,
                 const peer_reference& reference) const;
  bool IsSlow(const evidence& observed, const peer_reference& reference) const;
  void ReportTrial(std::string_view name,
                   record& value,
                   bool is_bad,
                   time_point now);
  void Eject(std::string_view name,
             record& value,
             health_reason reason,
             time_point now);
  void Readmit(std::string_view name,
               record& value,
               health_reason reason,
               time_point now);
  bool CanSpare(std::uint32_t slots) const;
  bool MakeRoomFor(const record& candidate, time_point now);
  void EjectCandidates(time_point now);
  void RestoreRecovered(time_point now);
  void KeepFloor(time_point now);
  void UpdateSelfSuspicion(time_point now);
  bool LooksUnhealthy(const record& value, time_point now) const;
  void NoteOutcome(record& value,
                   bool is_failure,
                   bool is_slow,
                   time_point now);
  void AdvanceRecord(std::string_view name, record& value, time_point now);
  kind_statistics& Kind(std::string_view kind);

  health_options options_;
  std::uint32_t floor_percent_ = 70;
  bool has_targets_ = false;
  record_map records_;
  std::map<std::string, kind_statistics, std::less<>> kinds_;
  bool is_self_suspect_ = false;
  time_point suspect_since_;
  time_point suspicion_updated_;
  // Failures of any targets since the newest success of any target.
  std::uint32_t failures_in_a_row_ = 0;
  time_point last_success_;
  std::vector<health_event> events_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HEALTH_OUTLIER_DETECTOR_H_
