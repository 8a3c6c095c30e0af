#include "libraries/telemetry/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace bulrushshore {
namespace {

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
  const log4cxx::ConsoleAppenderPtr appender =
      std::make_shared<log4cxx::ConsoleAppender>(
          layout, stream == log_stream::kStandardOutput
                      ? log4cxx::ConsoleAppender::getSystemOut()
                      : log4cxx::ConsoleAppender::getSystemErr());
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
    line += "," + nlohmann::json(field.name).dump() + ":" +
            field.value.dump(kNoIndent, ' ', false, kReplaceInvalidUtf8);
  }
  logger->forcedLog(library_level, line);
}

}  // namespace bulrushshore
