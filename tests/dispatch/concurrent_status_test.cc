#include <atomic>
#include <thread>

#include <gtest/gtest.h>
#include <caf/actor_registry.hpp>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

#include "libraries/dispatch/service_dispatcher.h"

namespace bulrushshore {
namespace {

std::shared_ptr<const catalog_snapshot> MakeServices(std::uint64_t version,
                                                     std::size_t count) {
  catalog_snapshot snapshot;
  snapshot.version = version;
  for (std::size_t index = 0; index < count; ++index) {
    service added;
    added.name = "service-" + std::to_string(index);
    snapshot.contents.services[added.name] = added;
  }
  return std::make_shared<const catalog_snapshot>(std::move(snapshot));
}

// Guards against a status request that reads the table of services while a new
// configuration replaces and frees it, which crashed hosts.
TEST(ConcurrentStatusTest, ReadsOneTableWhileConfigurationsChange) {
  constexpr std::size_t kServices = 100;
  constexpr std::uint64_t kChanges = 200;
  caf::actor_system_config config;
  caf::actor_system system(config);
  audit_log audit(10);
  metric_registry metrics;
  service_dispatcher dispatch(system, {"host-1", "a", {}, 1}, audit, metrics);
  dispatch.Apply(MakeServices(1, kServices));
  std::atomic<bool> is_done = false;
  std::thread reader([&] {
    while (!is_done) {
      EXPECT_LE(dispatch.Status().size(), kServices);
    }
  });
  for (std::uint64_t version = 2; version < kChanges; ++version) {
    dispatch.Apply(MakeServices(version, kServices));
  }
  is_done = true;
  reader.join();
}

// Guards against actors that still publish to the registry after the destructor
// of the dispatcher, when the registry may be gone; hosts crashed at their end.
TEST(ServiceDispatcherEndTest, NoActorPublishesAfterTheDispatcherIsGone) {
  constexpr std::size_t kServices = 100;
  constexpr std::uint64_t kChanges = 200;
  constexpr std::size_t kWorkers = 2;
  caf::actor_system_config config;
  config.set("scheduler.max-threads", kWorkers);
  caf::actor_system system(config);
  audit_log audit(10);
  metric_registry metrics;
  const std::size_t running_before = system.registry().running();
  {
    service_dispatcher dispatch(system, {"host-1", "a", {}, 1}, audit, metrics);
    for (std::uint64_t version = 1; version < kChanges; ++version) {
      dispatch.Apply(MakeServices(version, kServices));
    }
  }
  // A worker takes its actor out of the registry just after it has told those
  // that wait for the actor's end.
  EXPECT_LE(system.registry().running(), running_before + kWorkers);
}

}  // namespace
}  // namespace bulrushshore
