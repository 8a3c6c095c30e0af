#ifndef TESTS_PROXY_PROXY_FIXTURE_H_
#define TESTS_PROXY_PROXY_FIXTURE_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "libraries/proxy/proxy_service.h"
#include "tests/proxy/fakes.h"
#include "tests/proxy/socket_peer.h"

namespace bulrushshore {

inline constexpr std::string_view kTestIncarnation = "00000000000000aa";
inline constexpr std::string_view kTestKeyPrefix =
    "bk1.host-1.00000000000000aa.0.";

// A proxy for the service "archive" with the routes "/lookup" (idempotent),
// "/issue" (keyed) and "/once" (without key) and the targets on `ports`.
struct proxy_fixture {
  explicit proxy_fixture(const std::vector<std::uint16_t>& ports,
                         proxy_options changed = {},
                         std::optional<fixed_snapshot> snapshot = {});

  // Sends a request on a new connection and returns the raw response.
  std::string Ask(std::string_view request) const;
  std::string Get(std::string_view path) const;
  // `path` may be followed by further header lines.
  std::string Post(std::string_view path,
                   std::string_view body,
                   std::string_view extra_headers = "") const;

  static catalog_contents MakeCatalog();
  static std::vector<target> MakeTargets(
      const std::vector<std::uint16_t>& ports);

  caf::actor_system_config config;
  caf::actor_system system{config};
  runtime_clock time{system.clock()};
  metric_registry metrics;
  fixed_snapshot snapshot;
  fake_dispatcher targets;
  fake_directory directory;
  scripted_store store;
  key_owner keys;
  object_store_key_claims claims{store, time, directory, {}};
  // Targets in each report of a crash, in the order of the reports.
  std::vector<std::vector<std::string>> crash_reports;
  std::unique_ptr<proxy_service> proxy;
};

// Returns the value of header `name` in a raw response, or an empty string.
std::string HeaderOf(std::string_view response, std::string_view name);

// Returns the status of a raw response, or 0.
int StatusOf(std::string_view response);

}  // namespace bulrushshore

#endif  // TESTS_PROXY_PROXY_FIXTURE_H_
