#ifndef SERVICES_HOST_DAEMON_DISCOVERY_ENDPOINTS_H_
#define SERVICES_HOST_DAEMON_DISCOVERY_ENDPOINTS_H_

#include <string_view>

#include <nlohmann/json.hpp>

#include "libraries/base/result.h"
#include "libraries/catalog/types.h"
#include "libraries/membership/discovery_response.h"
#include "libraries/membership/host_directory.h"
#include "libraries/proxy/request_pipeline.h"

namespace bulrushshore {

// Returns the handler of `GET /_bulrush/hosts` and `GET /_bulrush/key`. It
// answers from memory, without a call to the store. Precondition: the
// references outlive the handler. The handler is thread safe.
discovery_handler MakeDiscoveryHandler(const host_directory& directory,
                                       const snapshot_source& configuration,
                                       const discovery_options& options);

}  // namespace bulrushshore

#endif  // SERVICES_HOST_DAEMON_DISCOVERY_ENDPOINTS_H_
