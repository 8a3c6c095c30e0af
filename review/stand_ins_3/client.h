#ifndef REVIEW_STAND_INS_3_CLIENT_H_
#define REVIEW_STAND_INS_3_CLIENT_H_

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/base/random_source.h"
#include "libraries/event_loop/http_connection.h"
#include "review/stand_ins_3/edge_process.h"
#include "review/stand_ins_3/run_record.h"

namespace bulrushshore::review {

// A client that asks where to connect every two seconds and sends one request
// after the other to hosts of the last answer. Runs on the loop's thread.
class client {
 public:
  struct environment {
    boost::asio::io_context& loop;
    std::vector<std::unique_ptr<edge_process>>& hosts;
    run_record& record;
    random_source& random;
    const clock& time;
  };

  struct plan {
    std::string method = "POST";
    std::string path_prefix = "/pay/";
    std::size_t body_bytes = 1200;
    std::chrono::milliseconds deadline{8000};
    std::chrono::milliseconds pause{100};
    // Sends on one connection as long as it lasts, or on a new one each time.
    bool keeps_connection = false;
    // Sends to this host only, as the platform does to see which configuration
    // is in force.
    std::optional<std::size_t> only_host;
  };

  // Precondition: the references outlive this object.
  client(const environment& around, std::string name, const plan& values);

  void Start();
  // Sends no further requests.
  void Stop() { is_stopping_ = true; }
  void SetBodyBytes(std::size_t size) { plan_.body_bytes = size; }
  // While it is held, a client asks where to connect and sends no requests.
  void SetHeld(bool is_held) { is_held_ = is_held; }

 private:
  void ScheduleNext();
  void Continue();
  void Resolve();
  void OnResolved(const exchange_outcome& outcome);
  void Send();
  void OnEnd(const std::string& id, const exchange_outcome& outcome);

  environment around_;
  std::string name_;
  plan plan_;
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer deadline_;
  std::shared_ptr<http_connection> discovery_;
  std::shared_ptr<http_connection> connection_;
  std::size_t connected_host_ = 0;
  std::vector<std::size_t> usable_;
  time_point resolve_at_;
  int sent_ = 0;
  bool is_stopping_ = false;
  bool is_held_ = false;
};

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_CLIENT_H_
