#include "libraries/telemetry/line_writer.h"

#include <limits.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <string>

namespace bulrushshore {

void line_writer::Write(std::string_view line) {
  const std::string bytes = (is_line_open_ ? "\n" : "") + std::string(line);
  const std::size_t written = WriteAvailable(bytes);
  if (written == bytes.size()) {
    is_line_open_ = false;
    return;
  }
  // A line feed alone ends the line before.
  is_line_open_ = written == 0 ? is_line_open_ : bytes[written - 1] != '\n';
  ++dropped_;
}

std::size_t line_writer::WriteAvailable(std::string_view bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    pollfd entry = {descriptor_, POLLOUT, 0};
    if (poll(&entry, 1, 0) != 1 || (entry.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that is ready takes PIPE_BUF bytes without blocking.
    const std::size_t size =
        std::min<std::size_t>(bytes.size() - written, PIPE_BUF);
    const ssize_t result = write(descriptor_, bytes.data() + written, size);
    if (result <= 0) {
      break;
    }
    written += static_cast<std::size_t>(result);
  }
  return written;
}

}  // namespace bulrushshore
