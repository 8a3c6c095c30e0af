// Measures the time of Acquire() plus Release() when a slot is free, on worker
// threads and the real clock.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include <gflags/gflags.h>
#include <caf/all.hpp>

#include "libraries/dispatch/service_dispatcher.h"

DEFINE_string(scheduler, "sharing", "CAF scheduler policy: sharing, stealing");
DEFINE_uint32(workers, 2, "number of CAF worker threads");
DEFINE_uint32(callers, 2, "number of threads that send requests");
DEFINE_uint32(requests, 5000, "requests per thread");
DEFINE_uint32(pause_us, 500, "pause between the requests of a thread");

namespace bulrushshore {
namespace {

constexpr std::size_t kTargets = 12;

std::shared_ptr<const catalog_snapshot> MakeCatalog() {
  catalog_snapshot snapshot;
  service archive;
  archive.name = "archive";
  snapshot.contents.services["archive"] = archive;
  for (std::size_t index = 0; index < kTargets; ++index) {
    target added;
    added.service = "archive";
    added.name = "t" + std::to_string(index);
    added.address = {"10.0.0." + std::to_string(index + 1), 9001};
    snapshot.contents.targets["archive/" + added.name] = added;
  }
  return std::make_shared<const catalog_snapshot>(std::move(snapshot));
}

void SendRequests(service_dispatcher& dispatch, std::vector<double>& times) {
  for (std::uint32_t request = 0; request < FLAGS_requests; ++request) {
    const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    acquire_request wanted;
    wanted.service = "archive";
    wanted.kind = "lookup";
    wanted.organisation = "reseller-17";
    wanted.fingerprint = request + 1;
    wanted.deadline = start + std::chrono::seconds(2);
    const acquire_outcome outcome = dispatch.Acquire(wanted);
    const grant* const granted = std::get_if<grant>(&outcome);
    if (granted != nullptr) {
      attempt_report report;
      report.elapsed = std::chrono::milliseconds(20);
      report.reported_load = 1;
      dispatch.Release("archive", granted->id, report);
    }
    const std::chrono::duration<double, std::micro> elapsed =
        std::chrono::steady_clock::now() - start;
    times.push_back(elapsed.count());
    std::this_thread::sleep_for(std::chrono::microseconds(FLAGS_pause_us));
  }
}

void Measure() {
  caf::actor_system_config config;
  config.set("scheduler.policy", caf::atom_from_string(FLAGS_scheduler));
  config.set("scheduler.max-threads", static_cast<std::size_t>(FLAGS_workers));
  caf::actor_system system{config};
  audit_log audit(100);
  metric_registry metrics;
  service_dispatcher dispatch(system, {"host-1", "a", {}, 1}, audit, metrics);
  dispatch.Apply(MakeCatalog());
  std::vector<std::vector<double>> times(FLAGS_callers);
  std::vector<std::thread> callers;
  callers.reserve(FLAGS_callers);
  for (std::vector<double>& own_times : times) {
    callers.emplace_back(
        [&dispatch, &own_times] { SendRequests(dispatch, own_times); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::vector<double> all;
  for (const std::vector<double>& own_times : times) {
    all.insert(all.end(), own_times.begin(), own_times.end());
  }
  std::sort(all.begin(), all.end());
  const auto percentile = [&all](double share) {
    return all[static_cast<std::size_t>(share *
                                        static_cast<double>(all.size() - 1))];
  };
  std::cout << "acquire and release, microseconds: p50 " << percentile(0.5)
            << ", p90 " << percentile(0.9) << ", p99 " << percentile(0.99)
            << ", highest " << all.back() << "\n";
}

}  // namespace
}  // namespace bulrushshore

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures the cost of a request in the dispatcher");
  gflags::SetVersionString(BULRUSHSHORE_VERSION);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bulrushshore::Measure();
  return 0;
}
