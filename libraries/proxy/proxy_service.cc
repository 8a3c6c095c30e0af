#include "libraries/proxy/proxy_service.h"

namespace bulrushshore {

proxy_service::proxy_service(const proxy_options& options,
                             const proxy_collaborators& parts)
    : configuration_(parts.configuration),
      client_(options.client, parts.source),
      bound_(parts.configuration, parts.directory, parts.source),
      attempts_(options.retries,
                parts.targets,
                client_,
                bound_,
                parts.source,
                parts.report_crash),
      keyed_({parts.keys, parts.claims, parts.directory, attempts_, client_}),
      accounting_(parts.metrics),
      pipeline_(options.host_id,
                {configuration_, attempts_, keyed_, parts.source, accounting_,
                 parts.discovery}),
      server_(options.server, parts.source, pipeline_, parts.metrics) {}

status proxy_service::Start() {
  return server_.Start();
}

void proxy_service::BeginShutdown() {
  server_.BeginShutdown();
}

shutdown_report proxy_service::WaitUntilIdle(std::chrono::milliseconds limit) {
  return server_.WaitUntilIdle(limit);
}

void proxy_service::StopWaiting() {
  server_.StopWaiting();
}

}  // namespace bulrushshore
