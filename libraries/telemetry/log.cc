#include "libraries/telemetry/log.h"

#include <unistd.h>

#include <atomic>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include "libraries/telemetry/line_writer.h"

namespace bulrushshore {
namespace {

// Longest text of a field. Bounds the length of a line.
constexpr std::size_t kMaxTextBytes = 512;

std::atomic<std::uint64_t> dropped_lines{0};

// Writes events with a line_writer, as a process that waits for the reader of
// its log serves nobody. The library calls append() under a lock.
class line_appender : public log4cxx::AppenderSkeleton {
 public:
  line_appender(const log4cxx::LayoutPtr& event_layout, int descriptor)
      : writer_(descriptor) {
    setLayout(event_layout);
  }

  void close() override {}
  bool requiresLayout() const override { return true; }

 protected:
  void append(const log4cxx::spi::LoggingEventPtr& event,
              log4cxx::helpers::Pool& pool) override {
    log4cxx::LogString text;
    getLayout()->format(text, event, pool);
    std::string line;
    log4cxx::helpers::Transcoder::encodeUTF8(text, line);
    writer_.Write(line);
    dropped_lines = writer_.dropped();
  }

 private:
  line_writer writer_;
};

// Returns the value with a long text cut off.
nlohmann::json Shorten(const nlohmann::json& value) {
  if (!value.is_string() ||
      value.get_ref<const std::string&>().size() <= kMaxTextBytes) {
    return value;
  }
  return value.get_ref<const std::string&>().substr(0, kMaxTextBytes);
}

log4cxx::LoggerPtr EventLogger() {
  static const log4cxx::LoggerPtr logger =
      log4cxx::Logger::getLogger("bulrushshore");
  return logger;
}

log4cxx::LevelPtr ToLibraryLevel(log_level level) {
  switch (level) {
    case log_level::kDebug:
      return log4cxx::Level::getDebug();
    case log_level::kInfo:
      return log4cxx::Level::getInfo();
    case log_level::kWarning:
      return log4cxx::Level::getWarn();
    case log_level::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

}  // namespace

void ConfigureLogging(log_level minimum, log_stream stream) {
  // The layout supplies time and level, so that the library's own clock and
  // level names are used; LogEvent() supplies the rest of the object.
  const log4cxx::LayoutPtr layout =
      std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR(
          "{\"time\":\"%d{yyyy-MM-dd}{UTC}T%d{HH:mm:ss.SSS}{UTC}Z\",\"level\":"
          "\"%p\",%m}%n"));
  const std::shared_ptr<line_appender> appender =
      std::make_shared<line_appender>(
          layout, stream == log_stream::kStandardOutput ? STDOUT_FILENO
                                                        : STDERR_FILENO);
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(appender);
  EventLogger()->setLevel(ToLibraryLevel(minimum));
}

void LogEvent(log_level level,
              std::string_view event,
              std::initializer_list<log_field> fields) {
  const log4cxx::LoggerPtr logger = EventLogger();
  const log4cxx::LevelPtr library_level = ToLibraryLevel(level);
  if (!logger->isEnabledFor(library_level)) {
    return;
  }
  constexpr int kNoIndent = -1;
  constexpr nlohmann::json::error_handler_t kReplaceInvalidUtf8 =
      nlohmann::json::error_handler_t::replace;
  std::string line = "\"event\":" + nlohmann::json(event).dump();
  for (const log_field& field : fields) {
    line +=
        "," + nlohmann::json(field.name).dump() + ":" +
        Shorten(field.value).dump(kNoIndent, ' ', false, kReplaceInvalidUtf8);
  }
  logger->forcedLog(library_level, line);
}

std::uint64_t DroppedLogLines() {
  return dropped_lines;
}

}  // namespace bulrushshore
