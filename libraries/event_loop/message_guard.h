#ifndef LIBRARIES_EVENT_LOOP_MESSAGE_GUARD_H_
#define LIBRARIES_EVENT_LOOP_MESSAGE_GUARD_H_

#include <cstdint>
#include <exception>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace bulrushshore {

// Logs, at a bounded rate, and counts an exception that a handler has thrown.
// `source` says what the handler processed. Never throws. Thread safe.
void ReportHandlerException(std::string_view source,
                            std::string_view message) noexcept;

// Returns the number of exceptions that were reported. Thread safe.
std::uint64_t HandlerExceptions();

// Calls `handle`, which processes one message. Returns false if it has thrown:
// the caller then ends the message or its connection. Thread safe as far as
// `handle` is.
template <typename Handle>
[[nodiscard]] bool RunGuarded(std::string_view source, const Handle& handle) {
  try {
    handle();
    return true;
  } catch (const std::exception& failure) {
    ReportHandlerException(source, failure.what());
  } catch (...) {
    ReportHandlerException(source, "not a std::exception");
  }
  return false;
}

// Runs `loop` until it is stopped or out of work. An exception ends the handler
// that threw it, not the loop. Precondition: no other thread runs `loop`.
void RunLoop(boost::asio::io_context& loop);

}  // namespace bulrushshore

#endif  // LIBRARIES_EVENT_LOOP_MESSAGE_GUARD_H_
