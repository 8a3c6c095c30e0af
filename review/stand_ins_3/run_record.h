#ifndef REVIEW_STAND_INS_3_RUN_RECORD_H_
#define REVIEW_STAND_INS_3_RUN_RECORD_H_

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/clock.h"

namespace bulrushshore::review {

// One run of a request at an upstream.
struct request_run {
  std::string upstream;
  std::string service;
  time_point arrived;
};

// One attempt of a client.
struct client_request {
  std::string id;
  std::string path;
  // Index of the host that it was sent to.
  std::size_t host = 0;
  time_point sent;
  // The connection had carried an answer before.
  bool is_on_kept_connection = false;
  bool is_answered = false;
  bool is_cut = false;
  int status = 0;
  std::vector<request_run> runs;
};

// What was sent, answered and run, in memory and in a file.
class run_record {
 public:
  run_record(const std::string& path, const clock& time);

  // Writes a line with the time since the start.
  void Note(const std::string& text);

  client_request& Add(const client_request& sent);
  void OnRun(const std::string& id, const request_run& run);
  void OnAnswer(const std::string& id, int status);
  void OnCut(const std::string& id, const std::string& how);

  const std::map<std::string, client_request>& requests() const {
    return requests_;
  }
  std::int64_t MillisecondsOf(time_point time) const;

 private:
  const clock& time_;
  time_point start_;
  std::ofstream file_;
  std::map<std::string, client_request> requests_;
};

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_RUN_RECORD_H_
