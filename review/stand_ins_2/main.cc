// Runs one case of the review: main CASE PROGRAM WIRE_FOLDER RECORD TROUBLE.
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

#include "review/stand_ins_2/cases.h"

namespace review {
namespace {

int RunCase(const std::string& name, const setting& shared, record& log) {
  if (name == "most_hosts_lost") {
    return RunMostHostsLost(shared, log);
  }
  if (name == "leader_cut") {
    return RunLeaderCut(shared, log);
  }
  if (name == "crashing_request") {
    return RunCrashingRequest(shared, log);
  }
  if (name == "release_lag") {
    return RunReleaseLag(shared, log);
  }
  if (name == "silent_store") {
    return RunSilentStore(shared, log);
  }
  return kCouldNotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  constexpr int kArguments = 6;
  if (argc != kArguments) {
    return review::kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  const std::filesystem::path work =
      std::filesystem::temp_directory_path() /
      ("bulrushshore-review-" + std::to_string(getpid()));
  std::filesystem::create_directories(work);
  review::setting shared;
  shared.program = argv[2];
  shared.wire_folder = argv[3];
  shared.work_folder = work.string();
  shared.has_trouble = std::string(argv[5]) != "0";
  review::Prepare(shared);
  int code = review::kCouldNotRun;
  {
    review::record log(argv[4]);
    log.Line(std::string("case ") + argv[1] +
             (shared.has_trouble ? "" : " without the disruption"));
    code = review::RunCase(argv[1], shared, log);
    log.Line(code == review::kHeld     ? "the rule held"
             : code == review::kBroken ? "the rule was broken"
                                       : "the case could not run");
  }
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(work);
  }
  return code;
}
