#include "libraries/telemetry/bounded_log.h"

#include <algorithm>

namespace bulrushshore {

bounded_log::bounded_log(const clock& time, const bounded_log_options& options)
    : time_(time),
      options_(options),
      lines_(options.burst_lines),
      refilled_(time.Now()) {}

void bounded_log::Write(log_level level,
                        std::string_view event,
                        std::initializer_list<log_field> fields) {
  if (!TryTakeLine(level)) {
    ++dropped_;
    ++unreported_;
    return;
  }
  if (unreported_ > 0) {
    LogEvent(log_level::kWarning, "log_lines_dropped",
             {{"count", unreported_}});
    unreported_ = 0;
  }
  LogEvent(level, event, fields);
}

bool bounded_log::TryTakeLine(log_level level) {
  const time_point now = time_.Now();
  const double elapsed = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  lines_ = std::min(options_.burst_lines,
                    lines_ + elapsed * options_.lines_per_second);
  const bool is_urgent =
      level == log_level::kWarning || level == log_level::kError;
  const double required = is_urgent ? 1.0 : 1.0 + options_.reserved_lines;
  if (lines_ < required) {
    return false;
  }
  lines_ -= 1.0;
  return true;
}

}  // namespace bulrushshore
