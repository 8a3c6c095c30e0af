#ifndef REVIEW_STAND_INS_2_HTTP_SERVICE_H_
#define REVIEW_STAND_INS_2_HTTP_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins_2/http_text.h"

namespace review {

// Listens on a loopback address and passes each request to a handler, with one
// thread for each connection.
class http_service {
 public:
  // Answers a request on its connection. Returns false to close the connection.
  using handler = std::function<bool(stream&, const http_text&)>;

  // Listens at once. A port of 0 takes a free one.
  http_service(address at, handler handle);
  ~http_service();
  http_service(const http_service&) = delete;
  http_service& operator=(const http_service&) = delete;

  const address& at() const { return at_; }

  // Closes all connections and refuses new ones, until Open().
  void Cut();
  void Open();

  // All open connections go silent for good; new ones work.
  void SilenceOpen();

 private:
  void Run();
  void Serve(const std::shared_ptr<stream>& peer);

  address at_;
  handler handle_;
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  int listener_ = -1;
  std::vector<std::shared_ptr<stream>> peers_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// Returns the text of a response.
std::string ResponseText(int status,
                         const std::string& headers,
                         const std::string& body);

}  // namespace review

#endif  // REVIEW_STAND_INS_2_HTTP_SERVICE_H_
