#include "services/host_daemon/admin_server.h"

#include <utility>

#include <httplib.h>

namespace bulrushshore {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusUnavailable = 503;
constexpr std::size_t kAdminThreads = 4;

void SetJson(httplib::Response& response, const nlohmann::json& body) {
  response.set_content(body.dump() + "\n", "application/json");
}

}  // namespace

nlohmann::json AuditRecordToJson(const audit_record& record) {
  return {{"unix_time_ms", record.unix_time_ms},
          {"actor", record.actor},
          {"action", record.action},
          {"subject", record.subject},
          {"detail", record.detail},
          {"catalog_version", record.catalog_version}};
}

admin_server::admin_server(admin_sources sources,
                           const metric_registry& metrics,
                           const audit_log& audit)
    : sources_(std::move(sources)),
      metrics_(metrics),
      audit_(audit),
      server_(std::make_unique<httplib::Server>()) {
  server_->new_task_queue = [] {
    return new httplib::ThreadPool(kAdminThreads);
  };
  // Pollers open a connection for each request; idle ones must not hold the
  // few threads of this server.
  server_->set_keep_alive_max_count(1);
  server_->set_tcp_nodelay(true);
  AddHandlers();
}

admin_server::~admin_server() {
  Stop();
}

status admin_server::Start(const endpoint& address) {
  if (!server_->bind_to_port(address.ip, address.port)) {
    return error{error_code::kUnavailable,
                 "cannot listen on " + FormatEndpoint(address)};
  }
  thread_ = std::thread([this] { server_->listen_after_bind(); });
  return OkStatus();
}

void admin_server::Stop() {
  if (!thread_.joinable()) {
    return;
  }
  server_->stop();
  thread_.join();
}

void admin_server::AddHandlers() {
  server_->Get(
      "/metrics", [this](const httplib::Request&, httplib::Response& response) {
        response.set_content(metrics_.RenderText(),
                             "text/plain; version=0.0.4; charset=utf-8");
      });
  server_->Get("/healthz",
               [](const httplib::Request&, httplib::Response& response) {
                 SetJson(response, {{"ok", true}});
               });
  server_->Get(
      "/readyz", [this](const httplib::Request&, httplib::Response& response) {
        const std::vector<std::string> reasons = sources_.unready_reasons();
        response.status = reasons.empty() ? kStatusOk : kStatusUnavailable;
        SetJson(response, {{"ready", reasons.empty()},
                           {"reasons", reasons},
                           {"catalog_version", sources_.catalog_version()}});
      });
  server_->Get("/status",
               [this](const httplib::Request&, httplib::Response& response) {
                 response.set_content(sources_.status(), "application/json");
               });
  server_->Get(
      "/version", [this](const httplib::Request&, httplib::Response& response) {
        SetJson(response, {{"catalog_version", sources_.catalog_version()}});
      });
  server_->Get("/audit", [this](const httplib::Request&,
                                httplib::Response& response) {
    nlohmann::json records = nlohmann::json::array();
    for (const audit_record& record : audit_.Records()) {
      records.push_back(AuditRecordToJson(record));
    }
    SetJson(response, {{"records", records}, {"dropped", audit_.dropped()}});
  });
  server_->Post(
      R"(/fingerprints/([0-9a-f]{16})/release)",
      [this](const httplib::Request& request, httplib::Response& response) {
        const bool released =
            sources_.release_fingerprint(request.matches[1].str());
        response.status = released ? kStatusOk : kStatusNotFound;
        SetJson(response, {{"released", released}});
      });
}

}  // namespace bulrushshore
