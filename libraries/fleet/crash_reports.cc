#include "libraries/fleet/crash_reports.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kAnswerLimit(1);
// A report to each of 600 hosts would open hundreds of connections.
constexpr std::size_t kMaxHostsForAll = 64;

}  // namespace

crash_report_budget::crash_report_budget(
    const crash_report_budget_options& options)
    : options_(options), reports_(options.maximum_reports) {}

bool crash_report_budget::TryTake(time_point now) {
  const std::chrono::duration<double> passed = now - last_;
  reports_ = std::min(options_.maximum_reports,
                      reports_ + passed.count() * options_.reports_per_second);
  last_ = now;
  if (reports_ < 1.0) {
    return false;
  }
  reports_ -= 1.0;
  return true;
}

std::vector<host_record> ReceiversOfCrashReport(
    const std::vector<host_record>& hosts,
    const std::string& self_id,
    const std::vector<host_record>& service_hosts) {
  std::vector<host_record> receivers =
      hosts.size() <= kMaxHostsForAll ? hosts : service_hosts;
  std::erase_if(receivers, [&self_id](const host_record& host) {
    return host.id == self_id || host.state == host_state::kLost;
  });
  return receivers;
}

void SendCrashReport(const std::shared_ptr<peer_messenger>& messenger,
                     const std::vector<host_record>& receivers,
                     const crash_report_message& report,
                     std::function<void()> done) {
  if (receivers.empty()) {
    done();
    return;
  }
  const std::shared_ptr<std::atomic<std::size_t>> unanswered =
      std::make_shared<std::atomic<std::size_t>>(receivers.size());
  const std::shared_ptr<const std::function<void()>> shared_done =
      std::make_shared<const std::function<void()>>(std::move(done));
  for (const host_record& receiver : receivers) {
    messenger->Request(receiver.peer_address, report, kAnswerLimit,
                       [unanswered, shared_done](const result<peer_body>&) {
                         if (unanswered->fetch_sub(1) == 1) {
                           (*shared_done)();
                         }
                       });
  }
}

}  // namespace bulrushshore
