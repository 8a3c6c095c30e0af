#include "services/host_daemon/shutdown_sequence.h"

namespace bulrushshore {

shutdown_report RunShutdown(const stop_signals& signals,
                            std::chrono::milliseconds grace,
                            stoppable_host& host) {
  signals.Wait();
  host.BeginLeaving();
  if (signals.WaitFor(grace)) {
    host.CutOffRequests();
    return host.FinishRequests();
  }
  const stop_signal_watch watch(signals, [&host] { host.CutOffRequests(); });
  return host.FinishRequests();
}

std::string DescribeCutRequests(const shutdown_report& report) {
  if (report.is_idle) {
    return {};
  }
  std::string line = "requests cut off while they were served: " +
                     std::to_string(report.cut_request_ids.size());
  const char* separator = " (";
  for (const std::string& request_id : report.cut_request_ids) {
    line += separator + request_id;
    separator = ", ";
  }
  line += report.cut_request_ids.empty() ? "" : ")";
  return line + "; connections cut off before their request was read: " +
         std::to_string(report.cut_unread_connections);
}

}  // namespace bulrushshore
