#ifndef LIBRARIES_HTTP_REQUEST_FINGERPRINT_H_
#define LIBRARIES_HTTP_REQUEST_FINGERPRINT_H_

#include <cstdint>
#include <string_view>

namespace bulrushshore {

// What makes two requests equal for the evidence about them. Header fields do
// not belong to it, because callers change some of them with each attempt.
struct request_identity {
  std::string_view method;
  // The request target with its query, as it stands in the request line.
  std::string_view target;
  std::string_view body;
  // Host name of the route, in the form that the rules have. Empty if the route
  // takes requests of every host name.
  std::string_view host_name;
  // Service that runs the request. Empty if the evidence is kept for each
  // service apart.
  std::string_view service;
};

// Returns a hash that differs for requests with different identities. It does
// not depend on the process, so that hosts can compare it. Thread safe.
std::uint64_t FingerprintOf(const request_identity& identity);

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_REQUEST_FINGERPRINT_H_
