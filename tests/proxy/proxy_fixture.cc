#include "tests/proxy/proxy_fixture.h"

#include <utility>

namespace bulrushshore {
namespace {

host_record SelfRecord() {
  host_record self;
  self.id = "host-1";
  self.incarnation = kTestIncarnation;
  return self;
}

}  // namespace

proxy_fixture::proxy_fixture(const std::vector<std::uint16_t>& ports,
                             proxy_options changed,
                             std::optional<fixed_snapshot> snapshot)
    : snapshot(snapshot.value_or(fixed_snapshot(MakeCatalog()))),
      targets(MakeTargets(ports)),
      directory(SelfRecord()),
      keys(system, idempotency_limits{}, std::string(kTestIncarnation)) {
  changed.host_id = "host-1";
  const discovery_handler discovery =
      [](std::string_view path,
         const query_parameters& query) -> result<nlohmann::json> {
    if (path != "/_bulrush/hosts") {
      return error{error_code::kNotFound, "no such resource"};
    }
    return nlohmann::json({{"service", query.at("service")}});
  };
  proxy = std::make_unique<proxy_service>(
      changed,
      proxy_collaborators{
          this->snapshot, targets, directory, keys, claims, time, metrics,
          discovery, [this](const work&, const std::vector<std::string>& lost) {
            crash_reports.push_back(lost);
          }});
  proxy->Start();
}

std::string proxy_fixture::Ask(std::string_view request) const {
  raw_connection caller = raw_connection::To(proxy->port());
  caller.Send(request);
  return caller.ReceiveMessage();
}

std::string proxy_fixture::Get(std::string_view path) const {
  return Ask("GET " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n\r\n");
}

std::string proxy_fixture::Post(std::string_view path,
                                std::string_view body,
                                std::string_view extra_headers) const {
  return Ask("POST " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n" +
             std::string(extra_headers) + "Content-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + std::string(body));
}

catalog_contents proxy_fixture::MakeCatalog() {
  catalog_contents contents;
  service archive;
  archive.name = "archive";
  archive.timeout = std::chrono::seconds(30);
  contents.services["archive"] = archive;
  contents.routes["lookup"] = {"lookup", "archive", "/lookup", "",
                               "lookup", true,      false};
  contents.routes["issue"] = {"issue", "archive", "/issue", "",
                              "issue", false,     true};
  contents.routes["once"] = {"once", "archive", "/once", "",
                             "once", false,     false};
  return contents;
}

std::vector<target> proxy_fixture::MakeTargets(
    const std::vector<std::uint16_t>& ports) {
  std::vector<target> targets;
  for (const std::uint16_t port : ports) {
    target& added = targets.emplace_back();
    added.service = "archive";
    added.name = "target-" + std::to_string(targets.size());
    added.address = {"127.0.0.1", port};
  }
  return targets;
}

std::string HeaderOf(std::string_view response, std::string_view name) {
  const std::string field = "\r\n" + std::string(name) + ": ";
  const std::size_t start = response.find(field);
  if (start == std::string_view::npos) {
    return {};
  }
  const std::string_view value = response.substr(start + field.size());
  return std::string(value.substr(0, value.find('\r')));
}

int StatusOf(std::string_view response) {
  constexpr std::size_t kStatusStart = 9;
  constexpr std::size_t kStatusDigits = 3;
  return response.size() < kStatusStart + kStatusDigits
             ? 0
             : std::stoi(
                   std::string(response.substr(kStatusStart, kStatusDigits)));
}

}  // namespace bulrushshore
