// edge_soak: plays random faults against real hosts of the users' platform on
// loopback and checks what callers and targets see.
//
// Exit codes: 0 no promise was broken, 1 one was, 2 wrong usage.

#include <csignal>
#include <iostream>

#include <gflags/gflags.h>

#include "tests/platform/soak/soak_run.h"

DEFINE_string(program, "", "the bulrush_edge to start");
DEFINE_string(work, "", "folder for settings and logs of the hosts");
DEFINE_uint64(seed, 1, "seed of faults and requests");
DEFINE_uint64(hosts, 6, "hosts to start");
DEFINE_uint64(targets, 9, "targets at the start");
DEFINE_uint64(callers, 24, "callers that send one request after the other");
DEFINE_uint64(seconds, 12, "time in which faults begin");

int main(int argc, char** argv) {
  gflags::SetUsageMessage("edge_soak --program=FILE --work=FOLDER [--seed=N]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_program.empty() || FLAGS_work.empty() || FLAGS_hosts == 0 ||
      FLAGS_targets == 0) {
    std::cerr << "edge_soak: --program and --work are needed, and at least one "
                 "host and target\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  bulrushshore::soak_plan plan;
  plan.program = FLAGS_program;
  plan.work_folder = FLAGS_work;
  plan.seed = FLAGS_seed;
  plan.hosts = FLAGS_hosts;
  plan.targets = FLAGS_targets;
  plan.callers = FLAGS_callers;
  plan.length = std::chrono::seconds(FLAGS_seconds);
  bulrushshore::soak_run run(plan);
  return run.Play() ? 0 : 1;
}
