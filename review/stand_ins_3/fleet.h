#ifndef REVIEW_STAND_INS_3_FLEET_H_
#define REVIEW_STAND_INS_3_FLEET_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "libraries/base/random_source.h"
#include "libraries/event_loop/loop_clock.h"
#include "review/stand_ins_3/client.h"
#include "review/stand_ins_3/edge_process.h"
#include "review/stand_ins_3/run_record.h"
#include "review/stand_ins_3/store_relay.h"
#include "review/stand_ins_3/upstream.h"
#include "stand_ins/platform_store/platform_store.h"

namespace bulrushshore::review {

struct fleet_options {
  std::string program;
  std::string templates;
  std::string work_folder;
  std::string record_path;
  std::size_t hosts = 2;
  // Whether the disruption is played.
  bool has_trouble = true;
};

// A small deployment in one zone: the store, the hosts behind a relay to it,
// upstreams and clients, on one event loop. Not thread safe.
class fleet {
 public:
  explicit fleet(const fleet_options& options);
  ~fleet();
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;

  // Writes the first configuration, starts the hosts and waits until they have
  // settled. Ends the program with exit code 2 if they never become ready.
  void Start();

  // Runs the loop for this time.
  void Run(std::chrono::milliseconds time);
  // Runs the loop until `is_done` returns true, or for `limit`. Returns whether
  // it did.
  bool RunUntil(const std::function<bool()>& is_done,
                std::chrono::milliseconds limit);

  // Writes the next configuration, in which `service` runs payments.
  void WriteConfiguration(const std::string& pay_service);

  upstream& AddUpstream(const std::string& id,
                        const std::string& service,
                        std::chrono::milliseconds work);
  client& AddClient(const client::plan& plan);
  void StopClients();

  // Sends SIGTERM to the host, or SIGKILL, and starts it again once it ended.
  void Restart(std::size_t host, int signal_number);

  platform_store_stand_in& store() { return store_; }
  store_relay& relay() { return relay_; }
  run_record& record() { return record_; }
  std::vector<std::unique_ptr<edge_process>>& hosts() { return hosts_; }
  time_point Now() const { return time_.Now(); }
  const fleet_options& options() const { return options_; }

 private:
  bool IsEveryHostReady();

  fleet_options options_;
  boost::asio::io_context loop_{1};
  loop_clock time_;
  seeded_random random_;
  run_record record_;
  platform_store_stand_in store_;
  store_relay relay_;
  std::vector<std::unique_ptr<edge_process>> hosts_;
  std::vector<std::unique_ptr<upstream>> upstreams_;
  std::vector<std::unique_ptr<client>> clients_;
  int version_ = 0;
};

}  // namespace bulrushshore::review

#endif  // REVIEW_STAND_INS_3_FLEET_H_
