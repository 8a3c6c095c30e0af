#ifndef REVIEW_STAND_INS_3_UPSTREAM_H_
#define REVIEW_STAND_INS_3_UPSTREAM_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "libraries/base/clock.h"
#include "libraries/http/http_message.h"
#include "review/stand_ins_3/run_record.h"
#include "stand_ins/platform_store/platform_store.h"

namespace bulrushshore::review {

// A sound upstream with its entry in the store. Refuses requests that are meant
// for another one, and works the same time on each of the others. Runs on the
// loop's thread.
class upstream {
 public:
  struct environment {
    boost::asio::io_context& loop;
    platform_store_stand_in& store;
    run_record& record;
    const clock& time;
    std::string templates;
  };

  upstream(const environment& around,
           const std::string& id,
           const std::string& service,
           std::chrono::milliseconds work);
  ~upstream();
  upstream(const upstream&) = delete;
  upstream& operator=(const upstream&) = delete;

  // Reports to the store that it will leave. Its responses close their
  // connection from now on.
  void Drain();
  // Removes its entry from the store and ends.
  void End();

  const std::string& id() const { return id_; }

 private:
  struct connection;

  void Register(const std::string& state);
  void Accept();
  void Receive(const std::shared_ptr<connection>& peer);
  void Answer(const std::shared_ptr<connection>& peer,
              const proxy_request& request);
  void Send(const std::shared_ptr<connection>& peer,
            const proxy_response& response,
            const std::string& method);

  environment around_;
  std::string id_;
  std::string service_;
  std::chrono::milliseconds work_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<connection>> connections_;
  std::int64_t born_ms_;
  std::int64_t sequence_ = 0;
  bool is_draining_ = false;
};

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_UPSTREAM_H_
