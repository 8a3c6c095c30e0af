#ifndef LIBRARIES_CALLER_HTTP_TRANSPORT_H_
#define LIBRARIES_CALLER_HTTP_TRANSPORT_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <httplib.h>

#include "libraries/base/clock.h"
#include "libraries/caller/caller_transport.h"

namespace bulrushshore {

// Sends requests through cpp-httplib over pooled connections. Thread safe.
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
  struct idle_client {
    std::unique_ptr<httplib::Client> client;
    time_point idle_since;
  };

  std::unique_ptr<httplib::Client> TakeClient(const endpoint& address);
  void ReturnClient(const endpoint& address,
                    std::unique_ptr<httplib::Client> client);

  const clock& clock_;
  const duration connect_timeout_;
  std::mutex mutex_;
  // By formatted address.
  std::map<std::string, std::vector<idle_client>> idle_clients_;
};

// Blocks the thread. Thread safe.
class sleeping_retry_timer : public retry_timer {
 public:
  void Wait(duration delay) override;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CALLER_HTTP_TRANSPORT_H_
