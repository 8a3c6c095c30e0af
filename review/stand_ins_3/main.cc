// review_case: plays one case of the review with hosts that run as processes.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

#include "review/stand_ins_3/scenarios.h"

namespace {

using bulrushshore::review::fleet;
using scenario = int (*)(fleet&);

struct named_scenario {
  scenario play;
  std::size_t hosts;
};

const std::map<std::string, named_scenario>& Scenarios() {
  static const std::map<std::string, named_scenario> scenarios = {
      {"change_after_start", {bulrushshore::review::PlayChangeAfterStart, 2}},
      {"cut_watch_of_configuration",
       {bulrushshore::review::PlayCutWatchOfConfiguration, 2}},
      {"cut_watch", {bulrushshore::review::PlayCutWatch, 2}},
      {"limits_after_start", {bulrushshore::review::PlayLimitsAfterStart, 2}},
  };
  return scenarios;
}

std::size_t SuccessfulRequests(fleet& played) {
  constexpr int kOk = 200;
  std::size_t count = 0;
  for (const std::map<std::string,
                      bulrushshore::review::client_request>::value_type& entry :
       played.record().requests()) {
    count += entry.second.status == kOk ? 1 : 0;
  }
  return count;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 6;
  if (argc != kArguments || !Scenarios().contains(argv[1])) {
    std::cerr << "review_case SCENARIO PROGRAM TEMPLATES WORK RECORD\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const named_scenario& chosen = Scenarios().at(argv[1]);
  const char* trouble = std::getenv("TROUBLE");
  fleet played({.program = argv[2],
                .templates = argv[3],
                .work_folder = argv[4],
                .record_path = argv[5],
                .hosts = chosen.hosts,
                .has_trouble = !trouble || std::string(trouble) != "0"});
  const int broken = chosen.play(played);
  if (SuccessfulRequests(played) == 0) {
    std::cerr << "no request was served\n";
    return 2;
  }
  std::cout << "requests: " << played.record().requests().size()
            << ", rule broken by: " << broken << "\n";
  return broken > 0 ? 1 : 0;
}
