#include "libraries/history/json_line_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace bulrushshore {

result<std::unique_ptr<json_line_file>> json_line_file::Open(
    const std::string& path) {
  constexpr mode_t kPermissions = 0644;
  const int descriptor = ::open(
      path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kPermissions);
  if (descriptor < 0) {
    return error{error_code::kUnavailable,
                 "cannot open " + path + ": " + std::strerror(errno)};
  }
  return std::unique_ptr<json_line_file>(new json_line_file(descriptor));
}

result<std::unique_ptr<json_line_file>> json_line_file::OpenIfNamed(
    const std::string& path) {
  if (path.empty()) {
    return std::unique_ptr<json_line_file>();
  }
  return Open(path);
}

json_line_file::json_line_file(int descriptor) : descriptor_(descriptor) {}

json_line_file::~json_line_file() {
  ::close(descriptor_);
}

status json_line_file::Append(const nlohmann::json& record) {
  constexpr int kNoIndent = -1;
  const std::string line =
      record.dump(kNoIndent, ' ', false,
                  nlohmann::json::error_handler_t::replace) +
      "\n";
  const std::lock_guard<std::mutex> lock(mutex_);
  const ssize_t written = ::write(descriptor_, line.data(), line.size());
  if (written != static_cast<ssize_t>(line.size())) {
    return error{error_code::kDataLoss, "a history line was not written"};
  }
  return OkStatus();
}

}  // namespace bulrushshore
