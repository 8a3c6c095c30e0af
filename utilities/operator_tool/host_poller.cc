#include "utilities/operator_tool/host_poller.h"

#include <algorithm>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/store/http_exchange.h"

namespace bulrushshore {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kMaxVersionBytes = 1024;
constexpr std::size_t kMaxWorkers = 16;
constexpr std::chrono::milliseconds kPause{100};
constexpr std::chrono::milliseconds kRequestTimeout{1000};

result<std::uint64_t> ParseVersion(const std::string& body) {
  const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("catalog_version") ||
      !document["catalog_version"].is_number_unsigned()) {
    return error{error_code::kDataLoss, "invalid version response"};
  }
  return document["catalog_version"].get<std::uint64_t>();
}

result<std::uint64_t> AskHost(const endpoint& address,
                              std::chrono::milliseconds timeout,
                              const clock& time_source) {
  store_request request;
  request.path = "/version";
  request.max_response_bytes = kMaxVersionBytes;
  const result<store_response> response =
      ExchangeHttp({address, timeout}, time_source, request);
  if (!IsOk(response)) {
    return ErrorOf(response);
  }
  if (ValueOf(response).status_code != kOk) {
    return error{
        error_code::kUnavailable,
        "host answered " + std::to_string(ValueOf(response).status_code)};
  }
  return ParseVersion(ValueOf(response).body);
}

bool IsDone(const host_version& host, std::uint64_t version) {
  return host.catalog_version.has_value() && *host.catalog_version >= version;
}

// Polls every `step`-th host of `hosts`, starting with `first`.
void PollShare(std::vector<host_version>& hosts,
               std::size_t first,
               std::size_t step,
               const host_poll_options& options,
               const clock& time_source) {
  const time_point deadline = time_source.Now() + options.timeout;
  bool is_complete = false;
  while (!is_complete) {
    is_complete = true;
    for (std::size_t index = first; index < hosts.size(); index += step) {
      host_version& host = hosts[index];
      if (IsDone(host, options.version)) {
        continue;
      }
      const std::chrono::milliseconds left =
          ToMilliseconds(deadline - time_source.Now());
      if (left <= std::chrono::milliseconds::zero()) {
        return;
      }
      const result<std::uint64_t> answer = AskHost(
          host.admin_address, std::min(left, kRequestTimeout), time_source);
      host.fault = IsOk(answer) ? "" : ErrorOf(answer).message;
      if (IsOk(answer)) {
        host.catalog_version = ValueOf(answer);
      }
      is_complete = is_complete &&
                    (options.version == 0 || IsDone(host, options.version));
    }
    if (!is_complete) {
      std::this_thread::sleep_for(kPause);
    }
  }
}

}  // namespace

std::vector<host_version> PollHosts(const host_poll_options& options,
                                    const clock& time_source) {
  std::vector<host_version> hosts;
  for (const endpoint& address : options.admin_addresses) {
    hosts.push_back({address, std::nullopt, "not asked"});
  }
  // Several workers, so that silent hosts do not use up the time of the others.
  const std::size_t worker_count = std::min(kMaxWorkers, hosts.size());
  std::vector<std::thread> workers;
  for (std::size_t worker = 0; worker < worker_count; ++worker) {
    workers.emplace_back([&, worker] {
      PollShare(hosts, worker, worker_count, options, time_source);
    });
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  return hosts;
}

}  // namespace bulrushshore
