#ifndef LIBRARIES_TELEMETRY_LOG_H_
#define LIBRARIES_TELEMETRY_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushshore {

enum class log_level { kDebug, kInfo, kWarning, kError };

struct log_field {
  std::string name;
  nlohmann::json value;
};

enum class log_stream { kStandardError, kStandardOutput };

// Sends log lines to `stream` from `minimum` upwards. Precondition: called
// once, before the first LogEvent(). Not thread safe.
void ConfigureLogging(log_level minimum,
                      log_stream stream = log_stream::kStandardError);

// Writes one JSON object on a line of its own, with the fields "time", "level"
// and "event" followed by `fields`. Long texts are cut off. Never waits for the
// reader of the stream: a line that a full pipe doesn't take is dropped. Thread
// safe.
void LogEvent(log_level level,
              std::string_view event,
              std::initializer_list<log_field> fields = {});

// Returns the number of lines that the stream did not take. Thread safe.
std::uint64_t DroppedLogLines();

}  // namespace bulrushshore

#endif  // LIBRARIES_TELEMETRY_LOG_H_
