#include "benchmarks/in_force/version_watch.h"

#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

constexpr std::chrono::milliseconds kExpectingInterval(10);
constexpr std::chrono::milliseconds kIdleInterval(500);

}  // namespace

std::optional<readiness> AskReadiness(const endpoint& admin_address) {
  constexpr int kTimeoutSeconds = 1;
  httplib::Client client(admin_address.ip, admin_address.port);
  client.set_connection_timeout(kTimeoutSeconds);
  client.set_read_timeout(kTimeoutSeconds);
  const httplib::Result response = client.Get("/readyz");
  if (!response) {
    return std::nullopt;
  }
  const nlohmann::json document =
      nlohmann::json::parse(response->body, nullptr, false);
  if (!document.is_object()) {
    return std::nullopt;
  }
  return readiness{document.value("ready", false),
                   document.value("catalog_version", std::uint64_t{0}),
                   document.value("reasons", std::vector<std::string>())};
}

version_watch::version_watch(endpoint admin_address, const clock& time_source)
    : admin_address_(std::move(admin_address)), clock_(time_source) {
  thread_ = std::thread([this] { Run(); });
}

version_watch::~version_watch() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

void version_watch::Expect(std::uint64_t version) {
  const std::lock_guard<std::mutex> lock(mutex_);
  expected_ = version;
  reported_at_.reset();
  changed_.notify_all();
}

void version_watch::NoteRestart() {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++restarts_;
  ready_at_.reset();
  reported_at_.reset();
  changed_.notify_all();
}

std::optional<time_point> version_watch::reported_at() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return reported_at_;
}

std::optional<time_point> version_watch::ready_at() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return ready_at_;
}

std::uint64_t version_watch::version() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return version_;
}

std::uint64_t version_watch::reverts() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return reverts_;
}

void version_watch::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (!is_stopping_) {
    const std::uint64_t restarts = restarts_;
    lock.unlock();
    const std::optional<readiness> response = AskReadiness(admin_address_);
    lock.lock();
    // A response of the process before a restart says nothing about the new
    // one.
    if (response.has_value() && restarts == restarts_) {
      Take(*response);
    }
    const bool is_expecting = !reported_at_.has_value();
    const std::uint64_t expected = expected_;
    changed_.wait_for(
        lock, is_expecting ? kExpectingInterval : kIdleInterval, [&] {
          return is_stopping_ || (!is_expecting && expected != expected_) ||
                 restarts != restarts_;
        });
  }
}

void version_watch::Take(const readiness& response) {
  const time_point now = clock_.Now();
  if (response.is_ready && !ready_at_.has_value()) {
    ready_at_ = now;
  }
  if (!ready_at_.has_value()) {
    return;
  }
  version_ = response.catalog_version;
  if (version_ < highest_) {
    ++reverts_;
  }
  highest_ = std::max(highest_, version_);
  if (version_ >= expected_ && !reported_at_.has_value()) {
    reported_at_ = now;
  }
}

}  // namespace bulrushshore
