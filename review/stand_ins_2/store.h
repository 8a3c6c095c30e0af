#ifndef REVIEW_STAND_INS_2_STORE_H_
#define REVIEW_STAND_INS_2_STORE_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "review/stand_ins_2/http_service.h"

namespace review {

// A stand-in for the platform's store: objects by kind and name, one revision
// counter, lists, watches and writes. Current reads and writes are
// linearizable. Reads that may be stale show the store as it was some time ago,
// but a watch never goes back behind the revision that it names.
class store {
 public:
  // The way of one host to the store, with an address of its own, so that one
  // host can be cut off.
  struct link {
    std::unique_ptr<http_service> service;
    // Watches that accept no stale data.
    std::atomic<int> current_watches{0};
  };

  store() = default;
  ~store() { is_ending_ = true; }
  store(const store&) = delete;
  store& operator=(const store&) = delete;

  link& AddLink(const std::string& ip);

  // Writes as the operator or an upstream does. Returns when it is
  // acknowledged.
  steady::time_point Put(const std::string& kind,
                         const std::string& name,
                         const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);

  // From now on, reads that may be stale are this old.
  void SetStaleness(milliseconds age) { staleness_ = age; }
  // While it is down, every call is answered 503.
  void SetDown(bool is_down) { is_down_ = is_down; }

 private:
  struct change {
    std::int64_t revision = 0;
    steady::time_point time;
    std::string kind;
    std::string name;
    nlohmann::json object;
    bool is_deleted = false;
  };
  struct query;

  bool Handle(link& way, stream& peer, const http_text& request);
  std::string Read(const query& asked);
  std::string Watch(link& way, const query& asked);
  std::string Write(const http_text& request, const query& asked);
  // The last revision that such a read shows. Precondition: the lock is held.
  std::int64_t VisibleRevision(bool may_be_stale) const;
  // Precondition: the lock is held.
  std::map<std::string, nlohmann::json> Objects(const std::string& kind,
                                                std::int64_t revision) const;
  void Record(const std::string& kind,
              const std::string& name,
              const nlohmann::json& spec,
              bool is_deleted);

  std::atomic<milliseconds> staleness_{milliseconds(0)};
  std::atomic<bool> is_down_{false};
  // Ends the watches that wait.
  std::atomic<bool> is_ending_{false};
  std::mutex mutex_;
  std::vector<change> history_;
  std::int64_t revision_ = 1;
  std::vector<std::unique_ptr<link>> links_;
};

}  // namespace review

#endif  // REVIEW_STAND_INS_2_STORE_H_
