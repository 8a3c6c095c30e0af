#include "stand_ins/target/target_service.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/base/random_source.h"
#include "libraries/history/work_answer.h"
#include "libraries/telemetry/audit.h"
#include "stand_ins/target/connection.h"

namespace bulrushshore {
namespace {

constexpr char kJson[] = "application/json";
constexpr int kOk = 200;
constexpr int kInternalServerError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kBadRequest = 400;
constexpr int kCrashExitCode = 3;
// How soon running work notices its deadline and the end of the process.
constexpr std::chrono::microseconds kWaitSlice(20'000);

void RefuseBeforeStart(httplib::Response& response, const char* reason) {
  response.status = kServiceUnavailable;
  response.set_header("X-Not-Started", "1");
  response.set_content(reason, "text/plain");
}

double NumberParameter(const httplib::Request& request,
                       const char* name,
                       double default_value) {
  if (!request.has_param(name)) {
    return default_value;
  }
  return std::strtod(request.get_param_value(name).c_str(), nullptr);
}

std::chrono::milliseconds MillisecondsParameter(
    const httplib::Request& request,
    const char* name,
    std::chrono::milliseconds default_value) {
  const double milliseconds = NumberParameter(
      request, name, static_cast<double>(default_value.count()));
  return std::chrono::milliseconds(static_cast<std::int64_t>(milliseconds));
}

std::optional<double> NumberHeader(const httplib::Request& request,
                                   const char* name) {
  if (!request.has_header(name)) {
    return std::nullopt;
  }
  return std::strtod(request.get_header_value(name).c_str(), nullptr);
}

std::string FirstPathSegment(const std::string& path) {
  const std::size_t begin = path.empty() || path.front() != '/' ? 0 : 1;
  return path.substr(begin, path.find('/', begin) - begin);
}

std::chrono::microseconds FromMilliseconds(double milliseconds) {
  constexpr double kMicrosecondsPerMs = 1000.0;
  return std::chrono::microseconds(
      static_cast<std::int64_t>(milliseconds * kMicrosecondsPerMs));
}

}  // namespace

struct target_service::work_request {
  std::string request_id;
  std::string key;
  std::string kind;
  std::string run;
  std::optional<std::chrono::microseconds> requested_time;
  std::size_t filler_bytes = 0;
  bool is_crashing = false;
  std::optional<time_point> deadline;
  connection* peer = nullptr;
};

target_service::target_service(target_options options,
                               const clock& time,
                               std::unique_ptr<json_line_file> history)
    : options_(std::move(options)),
      clock_(time),
      incarnation_(FormatHex(seeded_random::FromSystemEntropy().Next())),
      started_at_(time.Now()),
      history_(std::move(history)),
      server_(options_.max_connections),
      gate_(options_.slots, options_.backlog),
      faults_(options_.seed),
      durations_(options_.distributions, options_.seed),
      health_lag_(options_.health_lag),
      load_lag_(options_.load_lag) {
  RegisterAdminHandlers();
  RegisterHandlers();
}

void target_service::RegisterHandlers() {
  const httplib::Server::Handler work = [this](const httplib::Request& request,
                                               httplib::Response& response) {
    HandleWork(request, response);
  };
  server_.Get(".*", work);
  server_.Post(".*", work);
  server_.Put(".*", work);
  server_.Patch(".*", work);
  server_.Delete(".*", work);
  server_.set_post_routing_handler(
      [this](const httplib::Request&, httplib::Response& response) {
        AddReportHeaders(response);
      });
}

void target_service::RegisterAdminHandlers() {
  server_.Get("/health",
              [this](const httplib::Request&, httplib::Response& response) {
                HandleHealth(response);
              });
  server_.Get("/load",
              [this](const httplib::Request&, httplib::Response& response) {
                const nlohmann::json body = {{"running", ReportedLoad()}};
                response.set_content(body.dump(), kJson);
              });
  server_.Post("/_admin/mode", [this](const httplib::Request& request,
                                      httplib::Response& response) {
    HandleMode(request, response);
  });
  server_.Post("/_admin/drain", [this](const httplib::Request& request,
                                       httplib::Response& response) {
    is_draining_ = NumberParameter(request, "on", 1.0) != 0.0;
    const std::lock_guard<std::mutex> lock(report_mutex_);
    drain_state_.Set(clock_.Now(), is_draining_ ? "draining" : "ok");
    response.status = kOk;
  });
  server_.Post("/_admin/report", [this](const httplib::Request& request,
                                        httplib::Response& response) {
    HandleReport(request, response);
  });
  server_.Get("/_admin/state",
              [this](const httplib::Request&, httplib::Response& response) {
                HandleState(response);
              });
}

void target_service::AddReportHeaders(httplib::Response& response) {
  response.set_header("X-Load", std::to_string(ReportedLoad()));
  if (is_draining_) {
    response.set_header("X-Draining", "1");
  }
}

void target_service::HandleHealth(httplib::Response& response) {
  const std::string health = ReportedHealth();
  response.status = health == "failing" ? kServiceUnavailable : kOk;
  response.set_content(nlohmann::json({{"status", health}}).dump(), kJson);
}

void target_service::HandleMode(const httplib::Request& request,
                                httplib::Response& response) {
  const std::optional<target_mode> mode =
      ParseTargetMode(request.get_param_value("mode"));
  if (!mode) {
    response.status = kBadRequest;
    response.set_content("unknown mode", "text/plain");
    return;
  }
  fault_settings settings;
  settings.mode = *mode;
  settings.fail_share =
      NumberParameter(request, "fail_share", settings.fail_share);
  settings.hang_share =
      NumberParameter(request, "hang_share", settings.hang_share);
  settings.truncate_share =
      NumberParameter(request, "truncate_share", settings.truncate_share);
  settings.slow_factor =
      NumberParameter(request, "slow_factor", settings.slow_factor);
  settings.flap_period =
      MillisecondsParameter(request, "flap_ms", settings.flap_period);
  faults_.Configure(settings, clock_.Now());
  if (*mode == target_mode::kFreezing) {
    server_.FreezeOpenConnections();
  }
  response.status = kOk;
}

void target_service::HandleReport(const httplib::Request& request,
                                  httplib::Response& response) {
  const std::lock_guard<std::mutex> lock(report_mutex_);
  health_lag_ = MillisecondsParameter(request, "health_lag_ms", health_lag_);
  load_lag_ = MillisecondsParameter(request, "load_lag_ms", load_lag_);
  fixed_load_.reset();
  if (request.has_param("fixed_load")) {
    fixed_load_ =
        static_cast<std::size_t>(NumberParameter(request, "fixed_load", 0.0));
  }
  response.status = kOk;
}

void target_service::HandleState(httplib::Response& response) {
  const nlohmann::json state = {
      {"name", options_.name},
      {"mode", TargetModeName(faults_.settings().mode)},
      {"draining", is_draining_.load()},
      {"running", gate_.running()},
      {"runs", run_count_.load()}};
  response.set_content(state.dump(), kJson);
}

void target_service::HandleWork(const httplib::Request& request,
                                httplib::Response& response) {
  if (server_.IsCurrentConnectionFrozen()) {
    WaitSilently();
    return;
  }
  const work_request work = ReadWorkRequest(request);
  const auto is_abandoned = [this, &work] {
    return (work.deadline && clock_.Now() >= *work.deadline) ||
           work.peer->WaitClosedByPeer(std::chrono::microseconds::zero());
  };
  if (is_abandoned()) {
    RefuseBeforeStart(response, "the deadline has passed");
    return;
  }
  const slot_outcome outcome = gate_.Enter(is_abandoned);
  if (outcome != slot_outcome::kGranted) {
    RefuseBeforeStart(response, outcome == slot_outcome::kShed
                                    ? "all slots are taken"
                                    : "the deadline has passed");
    return;
  }
  NoteRunning();
  Run(work, response);
  gate_.Leave();
  NoteRunning();
  if (server_.IsCurrentConnectionFrozen()) {
    WaitSilently();
  }
}

target_service::work_request target_service::ReadWorkRequest(
    const httplib::Request& request) {
  work_request work;
  work.peer = connection::Current();
  work.request_id = request.get_header_value("X-Request-Id");
  work.key = request.get_header_value("Idempotency-Key");
  work.kind = request.has_header("X-Work-Kind")
                  ? request.get_header_value("X-Work-Kind")
                  : FirstPathSegment(request.path);
  work.run = options_.name + "-" + incarnation_ + "-" +
             std::to_string(run_count_.fetch_add(1));
  if (const std::optional<double> time = NumberHeader(request, "X-Work-Ms")) {
    work.requested_time = FromMilliseconds(*time);
  }
  constexpr double kMaxFillerBytes = 64.0 * 1024 * 1024;
  const double filler =
      NumberHeader(request, "X-Work-Response-Bytes").value_or(0.0);
  work.filler_bytes =
      static_cast<std::size_t>(std::clamp(filler, 0.0, kMaxFillerBytes));
  work.is_crashing = request.get_header_value("X-Work-Crash") == "1";
  if (const std::optional<double> left =
          NumberHeader(request, "X-Request-Deadline-Ms")) {
    work.deadline = clock_.Now() + FromMilliseconds(*left);
  }
  return work;
}

void target_service::Run(const work_request& work,
                         httplib::Response& response) {
  Record(work_start_event{work.run, options_.name, incarnation_,
                          work.request_id, work.key, work.kind,
                          CurrentUnixTimeMs()});
  if (work.is_crashing) {
    ::_exit(kCrashExitCode);
  }
  const request_fault fault = faults_.Draw(clock_.Now());
  const work_outcome outcome = Execute(work, fault);
  Record(work_end_event{work.run, outcome, CurrentUnixTimeMs()});
  if (outcome == work_outcome::kCompleted) {
    Answer(work, response);
    if (fault == request_fault::kTruncate) {
      // The cut falls into the body: the headers have about 150 bytes.
      constexpr std::size_t kHeaderBytes = 150;
      work.peer->CutAfter(kHeaderBytes + response.body.size() / 2);
    }
    return;
  }
  response.status =
      outcome == work_outcome::kFailed ? kInternalServerError : kGatewayTimeout;
  response.set_content(std::string(WorkOutcomeName(outcome)), "text/plain");
}

work_outcome target_service::Execute(const work_request& work,
                                     request_fault fault) {
  const time_point end = clock_.Now() + WorkTime(work);
  const bool is_hanging = fault == request_fault::kHang;
  while (is_hanging || clock_.Now() < end) {
    const std::chrono::microseconds left =
        std::chrono::duration_cast<std::chrono::microseconds>(end -
                                                              clock_.Now());
    const bool is_closed = work.peer->WaitClosedByPeer(
        is_hanging ? kWaitSlice : std::min(left, kWaitSlice));
    if (is_closed || (is_hanging && server_.IsStopping())) {
      return work_outcome::kCancelled;
    }
    // Work that hangs ignores its deadline.
    if (!is_hanging && work.deadline && clock_.Now() >= *work.deadline) {
      return work_outcome::kTimedOut;
    }
  }
  return fault == request_fault::kFail ? work_outcome::kFailed
                                       : work_outcome::kCompleted;
}

void target_service::Answer(const work_request& work,
                            httplib::Response& response) {
  const work_answer answer{work.request_id, work.key, options_.name, work.run,
                           std::string(work.filler_bytes, 'x')};
  response.status = kOk;
  response.set_content(FormatWorkAnswer(answer), kJson);
}

// Gives no response until the peer closes the connection.
void target_service::WaitSilently() const {
  connection* const peer = connection::Current();
  while (!server_.IsStopping() && !peer->WaitClosedByPeer(kWaitSlice)) {
  }
  peer->CutAfter(0);
}

void target_service::NoteRunning() {
  const std::lock_guard<std::mutex> lock(report_mutex_);
  load_.Set(clock_.Now(), gate_.running());
}

std::size_t target_service::ReportedLoad() {
  const std::lock_guard<std::mutex> lock(report_mutex_);
  return fixed_load_ ? *fixed_load_ : load_.At(clock_.Now() - load_lag_);
}

std::string target_service::ReportedHealth() {
  const std::lock_guard<std::mutex> lock(report_mutex_);
  const time_point seen_at = clock_.Now() - health_lag_;
  return faults_.IsHealthy(seen_at) ? drain_state_.At(seen_at) : "failing";
}

std::chrono::microseconds target_service::WorkTime(const work_request& work) {
  const std::chrono::microseconds base =
      work.requested_time ? *work.requested_time : durations_.Draw(work.kind);
  const bool is_cold = clock_.Now() - started_at_ < options_.cold_start;
  const double factor =
      faults_.WorkFactor() * (is_cold ? options_.cold_start_factor : 1.0);
  return std::chrono::microseconds(
      static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

void target_service::Record(const history_event& event) {
  if (history_ != nullptr && !IsOk(history_->Append(ToJson(event)))) {
    // A history with a gap would hide faults from the checker.
    std::abort();
  }
}

void target_service::Stop() {
  server_.stop();
}

void target_service::RecordExit() {
  Record(target_exit_event{options_.name, incarnation_, CurrentUnixTimeMs()});
}

}  // namespace bulrushshore
