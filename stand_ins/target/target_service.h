#ifndef STAND_INS_TARGET_TARGET_SERVICE_H_
#define STAND_INS_TARGET_TARGET_SERVICE_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include <httplib.h>

#include "libraries/base/clock.h"
#include "libraries/history/history_event.h"
#include "libraries/history/json_line_file.h"
#include "stand_ins/target/fault_plan.h"
#include "stand_ins/target/lagged_value.h"
#include "stand_ins/target/slot_gate.h"
#include "stand_ins/target/target_server.h"
#include "stand_ins/target/work_duration.h"

namespace bulrushshore {

struct target_options {
  std::string name = "target";
  std::size_t slots = 6;
  std::size_t backlog = 2;
  std::size_t max_connections = 500;
  std::uint64_t seed = 1;
  work_distributions distributions;
  // Work takes `cold_start_factor` times as long for this time after the start.
  std::chrono::milliseconds cold_start{0};
  double cold_start_factor = 5.0;
  // How far GET /health, GET /load and X-Load lag behind.
  std::chrono::milliseconds health_lag{0};
  std::chrono::milliseconds load_lag{0};
};

// The behaviour of one stand-in target behind `target_server`:
//
//   GET /health             200 {"status": "ok" | "draining"} or 503 "failing"
//   GET /load               200 {"running": N}
//   POST /_admin/mode       ?mode=M[&fail_share=][&hang_share=]
//                           [&truncate_share=][&slow_factor=][&flap_ms=]
//   POST /_admin/drain      ?on=0|1
//   POST /_admin/report     [?health_lag_ms=][&load_lag_ms=][&fixed_load=N]
//   GET /_admin/state       the mode, whether it drains, requests running
//   every other path        work
//
// Work reads the headers X-Work-Kind (default: first segment of the path),
// X-Work-Ms (instead of a drawn time), X-Work-Response-Bytes (size of the
// filler) and X-Work-Crash: 1 (the process ends in the middle of the work).
class target_service {
 public:
  // `history` may be null. Precondition: `time` outlives this object.
  target_service(target_options options,
                 const clock& time,
                 std::unique_ptr<json_line_file> history);

  target_server& server() { return server_; }

  // Stops accepting connections and lets running work complete. Thread safe.
  void Stop();

  // Records that all work has ended. Call after listen_after_bind() returned.
  void RecordExit();

 private:
  struct work_request;

  void RegisterHandlers();
  void RegisterAdminHandlers();
  void AddReportHeaders(httplib::Response& response);
  void HandleHealth(httplib::Response& response);
  void HandleMode(const httplib::Request& request, httplib::Response& response);
  void HandleReport(const httplib::Request& request,
                    httplib::Response& response);
  void HandleState(httplib::Response& response);
  void HandleWork(const httplib::Request& request, httplib::Response& response);
  work_request ReadWorkRequest(const httplib::Request& request);
  void Run(const work_request& work, httplib::Response& response);
  work_outcome Execute(const work_request& work, request_fault fault);
  void Answer(const work_request& work, httplib::Response& response);
  void WaitSilently() const;
  void NoteRunning();
  std::size_t ReportedLoad();
  std::string ReportedHealth();
  std::chrono::microseconds WorkTime(const work_request& work);
  void Record(const history_event& event);

  const target_options options_;
  const clock& clock_;
  const std::string incarnation_;
  const time_point started_at_;
  const std::unique_ptr<json_line_file> history_;
  target_server server_;
  slot_gate gate_;
  fault_plan faults_;
  work_duration durations_;
  std::atomic<std::uint64_t> run_count_{0};
  std::atomic<bool> is_draining_{false};
  std::mutex report_mutex_;
  lagged_value<std::size_t> load_{0};
  lagged_value<std::string> drain_state_{"ok"};
  std::chrono::milliseconds health_lag_;
  std::chrono::milliseconds load_lag_;
  std::optional<std::size_t> fixed_load_;
};

}  // namespace bulrushshore

#endif  // STAND_INS_TARGET_TARGET_SERVICE_H_
