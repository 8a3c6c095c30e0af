#include "libraries/event_loop/message_guard.h"

#include <atomic>
#include <chrono>

#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

std::atomic<std::uint64_t> exceptions{0};

// One line in this time says that exceptions occur; the counter says how many.
constexpr std::chrono::seconds kLogInterval{1};

bool TryTakeLine() {
  static std::atomic<std::int64_t> next_line{0};
  const std::int64_t now =
      std::chrono::steady_clock::now().time_since_epoch().count();
  std::int64_t due = next_line;
  const std::int64_t interval =
      std::chrono::steady_clock::duration(kLogInterval).count();
  return now >= due && next_line.compare_exchange_strong(due, now + interval);
}

}  // namespace

void ReportHandlerException(std::string_view source,
                            std::string_view message) noexcept {
  ++exceptions;
  try {
    if (TryTakeLine()) {
      LogEvent(log_level::kError, "handler_failed",
               {{"source", source}, {"error", message}});
    }
  } catch (...) {
    // Without memory for the line, the counter alone tells of the exception.
  }
}

std::uint64_t HandlerExceptions() {
  return exceptions;
}

void RunLoop(boost::asio::io_context& loop) {
  while (!RunGuarded("event loop", [&loop] { loop.run(); })) {
  }
}

}  // namespace bulrushshore
