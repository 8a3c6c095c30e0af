#include "libraries/proxy/target_client.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bulrushshore {
namespace {

failure_point ToFailurePoint(client_failure failure) {
  switch (failure) {
    case client_failure::kConnectFailed:
      return failure_point::kConnectFailed;
    case client_failure::kNothingSent:
      return failure_point::kNothingSent;
    case client_failure::kClosedBeforeResponse:
      return failure_point::kClosedBeforeResponse;
    case client_failure::kClosedDuringResponse:
      return failure_point::kClosedDuringResponse;
    case client_failure::kResponseTimeout:
      return failure_point::kResponseTimeout;
    case client_failure::kCancelled:
      return failure_point::kCancelled;
    case client_failure::kResponseMalformed:
      return failure_point::kResponseMalformed;
    case client_failure::kResponseTooLarge:
      return failure_point::kResponseTooLarge;
    case client_failure::kResponseUnframed:
      return failure_point::kResponseUnframed;
  }
  return failure_point::kResponseMalformed;
}

std::variant<proxy_response, failure_point> ToOutcome(
    std::variant<proxy_response, client_failure> outcome) {
  if (const client_failure* failure = std::get_if<client_failure>(&outcome)) {
    return ToFailurePoint(*failure);
  }
  return std::get<proxy_response>(std::move(outcome));
}

}  // namespace

target_client::target_client(const target_client_options& options,
                             const clock& source)
    : options_(options), clock_(source), last_sweep_(source.Now()) {}

exchange_result target_client::Exchange(exchange_request request) {
  const std::chrono::milliseconds remaining =
      ToMilliseconds(request.deadline - clock_.Now());
  if (remaining <= std::chrono::milliseconds(0)) {
    return {failure_point::kNothingSent, false};
  }
  std::unique_ptr<client_connection> connection = TakeConnection(request);
  if (connection == nullptr) {
    return {failure_point::kConnectionLimit, false};
  }
  request.message.headers.Set("X-Request-Deadline-Ms",
                              std::to_string(remaining.count()));
  exchange_result result;
  result.was_connection_reused = connection->IsReusable();
  result.outcome = ToOutcome(connection->Exchange(
      request.message, request.deadline, request.cancel_socket));
  ReturnConnection(request.address, std::move(connection));
  return result;
}

std::size_t target_client::ConnectionCount() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::size_t count = 0;
  for (const std::pair<const std::string, target_pool>& pool : pools_) {
    count += pool.second.in_use + pool.second.idle.size();
  }
  return count;
}

void target_client::CloseIdleConnections() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (std::pair<const std::string, target_pool>& pool : pools_) {
    pool.second.idle.clear();
  }
}

std::unique_ptr<client_connection> target_client::TakeConnection(
    const exchange_request& request) {
  const std::lock_guard<std::mutex> lock(mutex_);
  CloseExpired(clock_.Now());
  target_pool& pool = pools_[FormatEndpoint(request.address)];
  if (!request.needs_new_connection) {
    std::unique_ptr<client_connection> pooled = TakeIdle(pool);
    if (pooled != nullptr) {
      ++pool.in_use;
      return pooled;
    }
  }
  const std::size_t limit =
      std::min(options_.max_connections_per_target, request.max_connections);
  if (pool.in_use >= limit) {
    return nullptr;
  }
  if (pool.in_use + pool.idle.size() >= limit) {
    pool.idle.erase(pool.idle.begin());
  }
  ++pool.in_use;
  return std::make_unique<client_connection>(request.address, options_.limits,
                                             clock_);
}

std::unique_ptr<client_connection> target_client::TakeIdle(target_pool& pool) {
  while (!pool.idle.empty()) {
    // The most recently used connection is the least likely to be stale.
    std::unique_ptr<client_connection> connection =
        std::move(pool.idle.back().connection);
    pool.idle.pop_back();
    if (connection->IsReusable()) {
      return connection;
    }
  }
  return nullptr;
}

void target_client::ReturnConnection(
    const endpoint& address,
    std::unique_ptr<client_connection> connection) {
  const bool is_reusable = connection->IsReusable();
  const std::lock_guard<std::mutex> lock(mutex_);
  target_pool& pool = pools_[FormatEndpoint(address)];
  --pool.in_use;
  if (is_reusable &&
      pool.idle.size() < options_.max_idle_connections_per_target) {
    pool.idle.push_back({std::move(connection), clock_.Now()});
  }
}

void target_client::CloseExpired(time_point now) {
  constexpr int kSweepsPerIdleTime = 4;
  if (now - last_sweep_ < options_.max_idle_time / kSweepsPerIdleTime) {
    return;
  }
  last_sweep_ = now;
  for (std::pair<const std::string, target_pool>& pool : pools_) {
    std::erase_if(pool.second.idle, [&](const idle_connection& idle) {
      return now - idle.since >= options_.max_idle_time;
    });
  }
  std::erase_if(pools_,
                [](const std::pair<const std::string, target_pool>& pool) {
                  return pool.second.in_use == 0 && pool.second.idle.empty();
                });
}

}  // namespace bulrushshore
