#ifndef LIBRARIES_CALLER_HTTP_TRANSPORT_H_
#define LIBRARIES_CALLER_HTTP_TRANSPORT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/caller/caller_transport.h"
#include "libraries/http_client/client_connection.h"

namespace bulrushshore {

// Sends requests over pooled connections. Thread safe.
class http_transport : public caller_transport {
 public:
  // Precondition: `time` outlives this object. Connecting takes at most
  // `connect_timeout`.
  http_transport(const clock& time, duration connect_timeout);
  ~http_transport() override;

  transport_result Exchange(const endpoint& address,
                            const transport_request& request,
                            duration timeout) override;

 private:
  struct idle_connection {
    std::unique_ptr<client_connection> connection;
    time_point idle_since;
  };

  std::unique_ptr<client_connection> TakeConnection(const endpoint& address);
  void ReturnConnection(const endpoint& address,
                        std::unique_ptr<client_connection> connection);

  const clock& clock_;
  const exchange_limits limits_;
  std::mutex mutex_;
  // By formatted address.
  std::map<std::string, std::vector<idle_connection>> idle_connections_;
};

// Blocks the thread. Thread safe.
class sleeping_retry_timer : public retry_timer {
 public:
  void Wait(duration delay) override;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CALLER_HTTP_TRANSPORT_H_
