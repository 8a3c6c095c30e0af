#ifndef LIBRARIES_TELEMETRY_LINE_WRITER_H_
#define LIBRARIES_TELEMETRY_LINE_WRITER_H_

#include <cstdint>
#include <string_view>

namespace bulrushshore {

// Writes lines to a file descriptor and never waits for its reader: what a full
// pipe doesn't take is dropped. The descriptor stays in blocking mode, as other
// processes may share it. Not thread safe.
class line_writer {
 public:
  // Precondition: `descriptor` stays open as long as this object.
  explicit line_writer(int descriptor) : descriptor_(descriptor) {}

  // Writes `line`, which ends with a line feed, as a whole, in part or not at
  // all. A line after a partly written one starts on a line of its own.
  void Write(std::string_view line);

  // Returns the number of lines that were not written as a whole.
  std::uint64_t dropped() const { return dropped_; }

 private:
  // Returns the number of bytes written.
  std::size_t WriteAvailable(std::string_view bytes);

  int descriptor_;
  bool is_line_open_ = false;
  std::uint64_t dropped_ = 0;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_TELEMETRY_LINE_WRITER_H_
