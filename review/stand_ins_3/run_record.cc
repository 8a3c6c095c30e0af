#include "review/stand_ins_3/run_record.h"

#include <chrono>

namespace bulrushshore::review {

run_record::run_record(const std::string& path, const clock& time)
    : time_(time), start_(time.Now()), file_(path) {}

std::int64_t run_record::MillisecondsOf(time_point time) const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time - start_)
      .count();
}

void run_record::Note(const std::string& text) {
  file_ << MillisecondsOf(time_.Now()) << " ms  " << text << std::endl;
}

client_request& run_record::Add(const client_request& sent) {
  Note("sent " + sent.id + " " + sent.path + " to host " +
       std::to_string(sent.host));
  return requests_[sent.id] = sent;
}

void run_record::OnRun(const std::string& id, const request_run& run) {
  Note("run " + id + " by " + run.upstream + " of " + run.service);
  const auto found = requests_.find(id);
  if (found != requests_.end()) {
    found->second.runs.push_back(run);
  }
}

void run_record::OnAnswer(const std::string& id, int status) {
  Note("answered " + id + " " + std::to_string(status));
  client_request& request = requests_[id];
  request.is_answered = true;
  request.status = status;
}

void run_record::OnCut(const std::string& id, const std::string& how) {
  Note("no answer " + id + " " + how);
  requests_[id].is_cut = true;
}

}  // namespace bulrushshore::review
