#include "services/host_daemon/status_report.h"

#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"

namespace bulrushshore {
namespace {

nlohmann::json DescribeHost(const host_record& host) {
  return {{"id", host.id},
          {"zone", host.zone},
          {"state", HostStateName(host.state)},
          {"caller_address", FormatEndpoint(host.caller_address)},
          {"incarnation", host.incarnation},
          {"catalog_version", host.catalog_version}};
}

nlohmann::json DescribeTarget(const target_status& target) {
  return {{"name", target.name},
          {"address", FormatEndpoint(target.address)},
          {"zone", target.zone},
          {"state", HealthStateName(target.state)},
          {"reason", HealthReasonName(target.reason)},
          {"age_ms", ToMilliseconds(target.age).count()},
          {"weight", target.weight},
          {"slots", target.slots},
          {"in_flight", target.in_flight},
          {"concurrency_limit", target.concurrency_limit},
          {"reported_load", target.reported_load}};
}

nlohmann::json DescribeEvent(const health_event& event, time_point now) {
  return {{"event", HealthEventTypeName(event.type)},
          {"target", event.target},
          {"reason", HealthReasonName(event.reason)},
          {"age_ms", ToMilliseconds(now - event.time).count()},
          {"slots_in_use", event.figures.slots_in_use},
          {"floor_slots", event.figures.floor_slots}};
}

nlohmann::json DescribeService(const service_status& service) {
  nlohmann::json targets = nlohmann::json::array();
  for (const target_status& target : service.targets) {
    targets.push_back(DescribeTarget(target));
  }
  nlohmann::json held = nlohmann::json::array();
  for (const held_fingerprint& fingerprint : service.held_fingerprints) {
    held.push_back({{"fingerprint", FormatHex(fingerprint.fingerprint)},
                    {"released_in_ms",
                     ToMilliseconds(fingerprint.until - service.now).count()}});
  }
  nlohmann::json events = nlohmann::json::array();
  for (const health_event& event : service.recent_events) {
    events.push_back(DescribeEvent(event, service.now));
  }
  return {{"service", service.service},
          {"healthy_slots", service.healthy_slots},
          {"floor_slots", service.floor_slots},
          {"slots_in_use", service.slots_in_use},
          {"queue_length", service.queue_length},
          {"is_self_suspect", service.is_self_suspect},
          {"targets", std::move(targets)},
          {"held_fingerprints", std::move(held)},
          {"recent_events", std::move(events)}};
}

}  // namespace

std::string StatusReport(const host_directory& directory,
                         std::uint64_t catalog_version,
                         const std::vector<service_status>& services) {
  nlohmann::json hosts = nlohmann::json::array();
  for (const host_record& host : directory.Hosts()) {
    hosts.push_back(DescribeHost(host));
  }
  nlohmann::json report{{"host", DescribeHost(directory.Self())},
                        {"catalog_version", catalog_version},
                        {"hosts", std::move(hosts)}};
  // The services are written one by one: a tree of all 7,800 targets at the
  // design scale takes more memory than the configuration itself.
  std::string text = report.dump();
  text.back() = ',';
  text += "\"services\":[";
  for (const service_status& service : services) {
    text += DescribeService(service).dump();
    text += ',';
  }
  if (!services.empty()) {
    text.pop_back();
  }
  return text + "]}\n";
}

}  // namespace bulrushshore
