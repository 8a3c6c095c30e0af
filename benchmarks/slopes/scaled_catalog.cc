#include "benchmarks/slopes/scaled_catalog.h"

#include <cassert>
#include <string>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::size_t kZones = 5;
constexpr std::size_t kAddressesPerBlock = 250;

std::string ServiceName(std::size_t index) {
  return "service-" + std::to_string(index);
}

void AddTarget(std::size_t index,
               std::size_t services,
               catalog_contents& contents) {
  target added;
  added.service = ServiceName(index % services);
  added.name = "target-" + std::to_string(index);
  added.address = {"10.1." + std::to_string(index / kAddressesPerBlock) + "." +
                       std::to_string(index % kAddressesPerBlock + 1),
                   9000};
  added.zone = "zone-" + std::to_string(index % kZones);
  contents.targets[added.service + "/" + added.name] = added;
}

void AddRoute(std::size_t index,
              std::size_t services,
              catalog_contents& contents) {
  route added;
  added.name = "route-" + std::to_string(index);
  added.service = ServiceName(index % services);
  added.path_prefix = "/area-" + std::to_string(index % services) +
                      "/resource-" + std::to_string(index);
  added.kind = "lookup";
  added.is_idempotent = true;
  contents.routes[added.name] = added;
}

}  // namespace

catalog_contents MakeScaledCatalog(const catalog_size& size) {
  assert(size.services > 0);
  catalog_contents contents;
  for (std::size_t index = 0; index < size.services; ++index) {
    service added;
    added.name = ServiceName(index);
    contents.services[added.name] = added;
  }
  for (std::size_t index = 0; index < size.targets; ++index) {
    AddTarget(index, size.services, contents);
  }
  for (std::size_t index = 0; index < size.routes; ++index) {
    AddRoute(index, size.services, contents);
  }
  for (std::size_t index = 0; index < size.organisations; ++index) {
    organisation added;
    added.name = "organisation-" + std::to_string(index);
    contents.organisations.Set(std::move(added));
  }
  return contents;
}

}  // namespace bulrushshore
