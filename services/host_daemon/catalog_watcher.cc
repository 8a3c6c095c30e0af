#include "services/host_daemon/catalog_watcher.h"

#include <chrono>
#include <utility>

#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

// Bounds the time that Stop() waits for the watch to return.
constexpr std::chrono::milliseconds kWatchTime(2'000);
constexpr std::chrono::milliseconds kErrorDelay(500);

}  // namespace

catalog_watcher::catalog_watcher(object_store& store, listener on_snapshot)
    : reader_(store),
      on_snapshot_(std::move(on_snapshot)),
      current_(std::make_shared<const catalog_snapshot>()) {}

catalog_watcher::~catalog_watcher() {
  Stop();
}

void catalog_watcher::Start() {
  thread_ = std::thread([this] { Watch(); });
}

void catalog_watcher::Stop() {
  is_stopping_ = true;
  if (thread_.joinable()) {
    thread_.join();
  }
}

std::shared_ptr<const catalog_snapshot> catalog_watcher::Current() const {
  return current_.Get();
}

void catalog_watcher::Watch() {
  while (!is_stopping_) {
    const result<std::shared_ptr<const catalog_snapshot>> outcome =
        reader_.WaitForChange(kWatchTime);
    if (!IsOk(outcome)) {
      if (ErrorOf(outcome).code != error_code::kDeadlineExceeded) {
        LogEvent(log_level::kWarning, "catalog_watch_failed",
                 {{"code", ErrorCodeName(ErrorOf(outcome).code)},
                  {"message", ErrorOf(outcome).message}});
        std::this_thread::sleep_for(kErrorDelay);
      }
      continue;
    }
    const std::shared_ptr<const catalog_snapshot>& snapshot = ValueOf(outcome);
    if (snapshot->version > Current()->version) {
      on_snapshot_(snapshot);
      current_.Set(snapshot);
    }
  }
}

}  // namespace bulrushshore
