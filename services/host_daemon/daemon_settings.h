#ifndef SERVICES_HOST_DAEMON_DAEMON_SETTINGS_H_
#define SERVICES_HOST_DAEMON_DAEMON_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libraries/base/endpoint.h"
#include "libraries/settings/ini_document.h"
#include "libraries/telemetry/log.h"

namespace bulrushshore {

// The checked settings of one host daemon.
struct daemon_settings {
  std::string id;
  std::string zone;
  endpoint caller_address;
  endpoint peer_address;
  endpoint admin_address;
  // Each open caller connection holds one thread.
  std::size_t caller_threads = 256;
  // Time that a graceful shutdown gives requests in flight.
  std::chrono::milliseconds shutdown_limit{30'000};
  // Time between leaving the discovery responses and refusing new
  // connections, during which callers with a cached response are served.
  std::chrono::milliseconds leaving_grace{5'000};
  std::chrono::milliseconds discovery_ttl{5'000};
  // Probing interval of each target; zero turns probes off.
  std::chrono::milliseconds probe_interval{2'000};
  log_level minimum_log_level = log_level::kInfo;

  endpoint store_address;
  std::chrono::milliseconds store_timeout{1'000};

  std::vector<endpoint> seeds;
  std::string peer_key;
  std::optional<std::string> previous_peer_key;
};

inline constexpr std::size_t kMaxSettingsBytes = 65'536;

// Checks `text` as a whole; every fault is reported. Thread safe.
std::variant<daemon_settings, line_errors> ParseDaemonSettings(
    std::string_view text);

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_DAEMON_SETTINGS_H_
