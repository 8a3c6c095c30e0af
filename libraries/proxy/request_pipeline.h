#ifndef LIBRARIES_PROXY_REQUEST_PIPELINE_H_
#define LIBRARIES_PROXY_REQUEST_PIPELINE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "libraries/base/clock.h"
#include "libraries/base/result.h"
#include "libraries/proxy/caller_server.h"
#include "libraries/proxy/keyed_runner.h"
#include "libraries/proxy/request_accounting.h"
#include "libraries/proxy/routed_snapshot.h"
#include "libraries/routing/request_target.h"

namespace bulrushshore {

using query_parameters = std::map<std::string, std::string, std::less<>>;

// Answers requests below "/_bulrush/" with JSON. `path` is the whole path.
// kNotFound becomes status 404, kInvalidArgument 400, everything else 503.
// Called from several threads at once; must not block.
using discovery_handler =
    std::function<result<nlohmann::json>(std::string_view path,
                                         const query_parameters& query)>;

// The way of a request through this host: match, key, admit, send, relay,
// account. Thread safe.
class request_pipeline : public request_handler {
 public:
  struct collaborators {
    routed_snapshot_cache& configuration;
    attempt_runner& attempts;
    keyed_runner& keyed;
    const clock& source;
    request_accounting& accounting;
    discovery_handler discovery;
  };

  // `host_id` is sent as X-Served-By.
  request_pipeline(std::string host_id, const collaborators& parts);

  proxy_response Handle(proxy_request request, int caller_socket) override;
  proxy_response Reject(failure_point point) override;

 private:
  // Everything that the steps learn about one request.
  struct request_context {
    time_point arrival;
    proxy_request received;
    request_record record;
    std::shared_ptr<const routed_snapshot> configuration;
    const route* matched = nullptr;
    const service* called = nullptr;
    // Empty if the request has no key or needs none.
    std::string key;
    bool is_forwarded = false;
    work to_run;
  };
  using step_failure = std::optional<failure_point>;

  step_failure Match(request_context& context);
  step_failure CheckHeaders(request_context& context);
  step_failure SetDeadline(request_context& context);
  step_failure CheckKey(request_context& context);
  step_failure CheckBody(request_context& context);
  void PrepareMessage(request_context& context);
  step_failure Prepare(request_context& context);
  proxy_response Run(request_context& context);
  proxy_response Finish(request_context& context, work_result result);
  proxy_response Fail(request_context& context,
                      failure_point point,
                      std::chrono::milliseconds retry_after);
  proxy_response Discover(const proxy_request& request,
                          const request_target& target);

  const std::string host_id_;
  const collaborators parts_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_PROXY_REQUEST_PIPELINE_H_
