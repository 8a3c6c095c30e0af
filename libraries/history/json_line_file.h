#ifndef LIBRARIES_HISTORY_JSON_LINE_FILE_H_
#define LIBRARIES_HISTORY_JSON_LINE_FILE_H_

#include <memory>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "libraries/base/result.h"

namespace bulrushshore {

// Appends JSON objects to a file, one per line. Each line reaches the
// operating system in one write before Append() returns, so that the crash of
// the process loses no record. Thread safe.
class json_line_file {
 public:
  // Opens `path` for appending and creates it if needed. kUnavailable if the
  // file cannot be opened.
  static result<std::unique_ptr<json_line_file>> Open(const std::string& path);

  // As Open(), but returns no file (nullptr) if `path` is empty.
  static result<std::unique_ptr<json_line_file>> OpenIfNamed(
      const std::string& path);

  ~json_line_file();
  json_line_file(const json_line_file&) = delete;
  json_line_file& operator=(const json_line_file&) = delete;

  // kDataLoss if the line was not written as a whole.
  status Append(const nlohmann::json& record);

 private:
  explicit json_line_file(int descriptor);

  const int descriptor_;
  std::mutex mutex_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_HISTORY_JSON_LINE_FILE_H_
