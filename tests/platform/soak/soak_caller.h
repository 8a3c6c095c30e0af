#ifndef TESTS_PLATFORM_SOAK_SOAK_CALLER_H_
#define TESTS_PLATFORM_SOAK_SOAK_CALLER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "libraries/base/random_source.h"
#include "libraries/event_loop/http_connection.h"
#include "tests/platform/soak/soak_host.h"
#include "tests/platform/soak/soak_ledger.h"

namespace bulrushshore {

// What callers need of the soak. Called on the loop's thread.
class soak_world {
 public:
  virtual ~soak_world() = default;

  // Draws the next request; the caller sets the host.
  virtual soak_request MakeRequest() = 0;
  virtual soak_host& HostAt(std::size_t index) = 0;
  virtual std::size_t host_count() const = 0;
  virtual soak_moment MomentOf(const soak_request& request) = 0;
};

// A caller that asks which hosts to use, keeps the answer for a while and sends
// one request after the other, on an open connection as long as it lasts. Runs
// on the loop's thread. Not thread safe.
class soak_caller {
 public:
  // Precondition: the references outlive this object.
  soak_caller(boost::asio::io_context& loop,
              soak_world& world,
              soak_ledger& ledger,
              random_source& random,
              const clock& time);

  void Start();
  // Sends no further requests.
  void Stop() { is_stopping_ = true; }

  static std::string PathOf(const soak_request& request);

 private:
  void Continue();
  void Resolve();
  void OnResolved(const exchange_outcome& outcome);
  void Send();
  void OnEnd(const exchange_outcome& outcome);
  void OnDeadline();
  void ScheduleNext();
  std::size_t HostWith(const endpoint& address) const;

  boost::asio::io_context& loop_;
  soak_world& world_;
  soak_ledger& ledger_;
  random_source& random_;
  const clock& time_;
  boost::asio::steady_timer pause_;
  boost::asio::steady_timer deadline_;
  std::shared_ptr<http_connection> discovery_;
  std::shared_ptr<http_connection> connection_;
  std::size_t connected_host_ = 0;
  // Indexes of the hosts that the last answer named.
  std::vector<std::size_t> usable_;
  time_point resolve_at_;
  std::optional<soak_request> request_;
  bool is_stopping_ = false;
};

}  // namespace bulrushshore

#endif  // TESTS_PLATFORM_SOAK_SOAK_CALLER_H_
