#include "libraries/gateway/target_connection_pool.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {

target_connection_pool::target_connection_pool(
    boost::asio::io_context& loop,
    const clock& time,
    const connection_pool_options& options)
    : loop_(loop), time_(time), options_(options) {
  options_.connection.buffered_bytes =
      std::make_shared<byte_budget>(options.max_buffered_bytes);
}

target_connection_pool::~target_connection_pool() {
  for (idle_map::value_type& entry : idle_) {
    for (const idle_connection& idle : entry.second) {
      idle.connection->Close();
    }
  }
}

std::shared_ptr<http_connection> target_connection_pool::Take(
    const target_entry& target,
    bool is_idempotent) {
  const auto found = idle_.find(target.id);
  if (found != idle_.end()) {
    std::vector<idle_connection>& connections = found->second;
    const time_point now = time_.Now();
    const duration max_idle = is_idempotent
                                  ? options_.max_idle_time
                                  : options_.max_idle_time_non_idempotent;
    while (!connections.empty()) {
      // The most recently used connection is the least likely to be dead.
      const idle_connection idle = connections.back();
      const bool suits = idle.address == target.address &&
                         idle.connection->IsReusable() && now < idle.expires;
      if (suits && now - idle.since > max_idle) {
        // Stays in the pool because an idempotent request may still use it.
        break;
      }
      connections.pop_back();
      if (suits) {
        return idle.connection;
      }
      idle.connection->Close();
    }
  }
  return TakeNew(target);
}

std::shared_ptr<http_connection> target_connection_pool::TakeNew(
    const target_entry& target) {
  return std::make_shared<http_connection>(loop_, target.address,
                                           options_.connection);
}

void target_connection_pool::Return(
    const target_entry& target,
    const std::shared_ptr<http_connection>& connection,
    std::optional<std::chrono::seconds> keep_alive_timeout) {
  if (!connection->IsReusable()) {
    return;
  }
  std::vector<idle_connection>& connections = idle_[target.id];
  const time_point now = time_.Now();
  duration usable_for = options_.max_idle_time;
  if (keep_alive_timeout) {
    usable_for = std::min<duration>(
        usable_for, *keep_alive_timeout - options_.keep_alive_margin);
  }
  if (connections.size() >= options_.max_idle ||
      usable_for <= duration::zero()) {
    connection->Close();
    return;
  }
  connections.push_back({connection, target.address, now, now + usable_for});
  connection->WatchIdle(
      [this, id = target.id, raw = connection.get()] { Remove(id, raw); });
}

void target_connection_pool::Drop(std::string_view target_id) {
  const auto found = idle_.find(target_id);
  if (found == idle_.end()) {
    return;
  }
  for (const idle_connection& idle : found->second) {
    idle.connection->Close();
  }
  idle_.erase(found);
}

void target_connection_pool::CloseExpired() {
  const time_point now = time_.Now();
  for (idle_map::value_type& entry : idle_) {
    std::erase_if(entry.second, [now](const idle_connection& idle) {
      if (now < idle.expires) {
        return false;
      }
      idle.connection->Close();
      return true;
    });
  }
  std::erase_if(idle_, [](const idle_map::value_type& entry) {
    return entry.second.empty();
  });
}

std::size_t target_connection_pool::idle_count() const {
  std::size_t count = 0;
  for (const idle_map::value_type& entry : idle_) {
    count += entry.second.size();
  }
  return count;
}

const byte_budget& target_connection_pool::buffered_bytes() const {
  return *options_.connection.buffered_bytes;
}

void target_connection_pool::Remove(const std::string& target_id,
                                    const http_connection* connection) {
  const auto found = idle_.find(target_id);
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second, [connection](const idle_connection& idle) {
    if (idle.connection.get() != connection) {
      return false;
    }
    idle.connection->Close();
    return true;
  });
}

}  // namespace bulrushshore
