#include "utilities/caller_tool/load_run.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace bulrushshore {
namespace {

constexpr int kFirstServerError = 500;

void AddResult(const call_result& result,
               duration latency,
               kind_totals& totals) {
  ++totals.outcomes[std::string(CallOutcomeName(result.outcome))];
  totals.attempts += result.attempts;
  if (result.outcome != call_outcome::kAnswered) {
    ++totals.failures[std::string(CallOutcomeName(result.outcome)) + ":" +
                      result.reason];
    return;
  }
  totals.latencies.Add(latency);
  if (result.response && result.response->status >= kFirstServerError) {
    ++totals.server_errors;
  }
}

void Merge(const load_totals& part, load_totals& all) {
  for (const load_totals::value_type& entry : part) {
    AddTotals(entry.second, all[entry.first]);
  }
}

void AddCounts(const std::map<std::string, std::uint64_t>& part,
               std::map<std::string, std::uint64_t>& sum) {
  for (const std::map<std::string, std::uint64_t>::value_type& entry : part) {
    sum[entry.first] += entry.second;
  }
}

}  // namespace

void AddTotals(const kind_totals& part, kind_totals& sum) {
  AddCounts(part.outcomes, sum.outcomes);
  AddCounts(part.failures, sum.failures);
  sum.server_errors += part.server_errors;
  sum.attempts += part.attempts;
  sum.latencies.Merge(part.latencies);
}

load_totals RunLoad(const load_run_options& options,
                    const std::vector<planned_request>& requests,
                    caller& client,
                    history_recorder& recorder,
                    retry_timer& timer,
                    const clock& time) {
  std::atomic<std::size_t> next{0};
  std::mutex totals_mutex;
  load_totals totals;
  const time_point start = time.Now();
  const auto work = [&] {
    load_totals own;
    for (std::size_t index = next.fetch_add(1); index < requests.size();
         index = next.fetch_add(1)) {
      const planned_request& planned = requests[index];
      const time_point arrival = start + planned.arrival;
      const time_point now = time.Now();
      if (now < arrival) {
        timer.Wait(arrival - now);
      }
      call_request request = BuildCallRequest(
          *planned.kind, options.run_id + "-" + std::to_string(index));
      request.timeout = options.timeout;
      request.organisation =
          "organisation-" + std::to_string(planned.organisation);
      recorder.RecordInvocation(request);
      const call_result result = client.Call(request, &recorder);
      recorder.RecordCompletion(request, result);
      AddResult(result, time.Now() - arrival,
                own[planned.kind->service + "/" + planned.kind->kind]);
    }
    const std::lock_guard<std::mutex> lock(totals_mutex);
    Merge(own, totals);
  };
  std::vector<std::thread> threads;
  for (std::size_t count = 0; count < options.concurrency; ++count) {
    threads.emplace_back(work);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return totals;
}

}  // namespace bulrushshore
