#ifndef LIBRARIES_TELEMETRY_BOUNDED_LOG_H_
#define LIBRARIES_TELEMETRY_BOUNDED_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

#include "libraries/base/clock.h"
#include "libraries/telemetry/log.h"

namespace bulrushshore {

struct bounded_log_options {
  // Lines a second on average, and in one burst.
  double lines_per_second = 20.0;
  double burst_lines = 200.0;
  // Part of the burst that only warnings and errors may use.
  double reserved_lines = 50.0;
};

// Writes log lines up to a rate, so that a day of many failures costs no more
// than a bounded share of the processor. Counts what it drops and says so in
// the next line that it writes. Not thread safe.
class bounded_log {
 public:
  // Precondition: `time` outlives this object.
  explicit bounded_log(const clock& time,
                       const bounded_log_options& options = {});

  // Writes the line or drops it.
  void Write(log_level level,
             std::string_view event,
             std::initializer_list<log_field> fields);

  std::uint64_t dropped() const { return dropped_; }

 private:
  bool TryTakeLine(log_level level);

  const clock& time_;
  bounded_log_options options_;
  double lines_;
  time_point refilled_;
  std::uint64_t dropped_ = 0;
  std::uint64_t unreported_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TELEMETRY_BOUNDED_LOG_H_
