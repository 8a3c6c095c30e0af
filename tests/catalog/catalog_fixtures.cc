#include "tests/catalog/catalog_fixtures.h"

#include "libraries/catalog/limits.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kServices = 290;
constexpr std::size_t kTargets = 7'800;
constexpr std::size_t kRoutes = 4'900;
constexpr std::size_t kOrganisations = 55'000;

std::string ServiceName(std::size_t index) {
  return "service-of-some-length-" + std::to_string(index % kServices);
}

target MakeTarget(std::size_t index) {
  target value;
  value.service = ServiceName(index);
  value.name = "target-" + std::to_string(index);
  value.address = {"10.20." + std::to_string(index / 250) + "." +
                       std::to_string(index % 250 + 1),
                   9000};
  value.zone = "zone-" + std::to_string(index % 5);
  return value;
}

route MakeRoute(std::size_t index) {
  route value;
  value.name = "route-of-some-length-" + std::to_string(index);
  value.service = ServiceName(index);
  value.path_prefix = "/customers/area-" + std::to_string(index) + "/history/";
  value.host_name = "api.lakeshore.example";
  value.kind = "history";
  value.is_idempotent = index % 4 != 0;
  return value;
}

}  // namespace

std::string NoteText(std::string_view id,
                     std::uint64_t base_version,
                     std::string_view sections) {
  return "[note]\nid = " + std::string(id) +
         "\nauthor = maaike\nbase_version = " + std::to_string(base_version) +
         "\n" + std::string(sections);
}

std::string ServiceSections(std::string_view name) {
  const std::string text(name);
  return "[add service " + text + "]\ntimeout_ms = 900\n" + "[add target " +
         text + "/one]\naddress = 127.0.0.1:9001\nzone = a\n" + "[add target " +
         text + "/two]\naddress = 127.0.0.1:9002\nzone = b\n" + "[add route " +
         text + "]\nservice = " + text + "\npath_prefix = /" + text +
         "/\nkind = lookup\nidempotent = true\n";
}

catalog_contents FullSizeContents() {
  catalog_contents contents;
  for (std::size_t index = 0; index < kServices; ++index) {
    service value;
    value.name = ServiceName(index);
    contents.services.emplace(value.name, value);
  }
  for (std::size_t index = 0; index < kTargets; ++index) {
    const target value = MakeTarget(index);
    contents.targets.emplace(TargetKey(value.service, value.name), value);
  }
  for (std::size_t index = 0; index < kRoutes; ++index) {
    const route value = MakeRoute(index);
    contents.routes.emplace(value.name, value);
  }
  for (std::size_t index = 0; index < kOrganisations; ++index) {
    const std::string name =
        "organisation-of-some-length-" + std::to_string(index);
    contents.organisations.Set({name, 1});
  }
  return contents;
}

}  // namespace bulrushshore
