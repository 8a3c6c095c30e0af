#ifndef TESTS_PROXY_FAKES_H_
#define TESTS_PROXY_FAKES_H_

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/catalog/types.h"
#include "libraries/dispatch/dispatcher.h"
#include "libraries/membership/host_directory.h"
#include "libraries/proxy/key_claims.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

class fixed_snapshot : public snapshot_source {
 public:
  explicit fixed_snapshot(catalog_contents contents, std::uint64_t version = 1)
      : snapshot_(std::make_shared<const catalog_snapshot>(
            catalog_snapshot{version, "first", std::move(contents)})) {}

  std::shared_ptr<const catalog_snapshot> Current() const override {
    return snapshot_;
  }

 private:
  const std::shared_ptr<const catalog_snapshot> snapshot_;
};

// Grants the targets in turn, leaving out excluded ones; records all reports.
class fake_dispatcher : public dispatcher {
 public:
  explicit fake_dispatcher(std::vector<target> targets)
      : targets_(std::move(targets)) {}

  acquire_outcome Acquire(const acquire_request& request) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(request);
    if (request.attempt > 0 && !has_retry_budget_) {
      return refusal{refusal_reason::kRetryBudgetExhausted};
    }
    for (const target& candidate : targets_) {
      const std::vector<std::string>& excluded = request.excluded_targets;
      if (std::find(excluded.begin(), excluded.end(), candidate.name) ==
          excluded.end()) {
        open_grants_.push_back(++last_grant_);
        return grant{last_grant_, candidate, false};
      }
    }
    return refusal{refusal_reason::kNoTarget};
  }

  void Release(std::string_view,
               std::uint64_t grant_id,
               const attempt_report& report) override {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (std::erase(open_grants_, grant_id) != 1) {
      ++faulty_releases_;
    }
    reports_.push_back(report);
  }

  void SetRetryBudget(bool has_budget) { has_retry_budget_ = has_budget; }

  std::vector<acquire_request> Requests() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return requests_;
  }

  std::vector<attempt_report> Reports() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return reports_;
  }

  // Returns true if each grant was released exactly once.
  bool IsBalanced() const {
    const std::lock_guard<std::mutex> lock(mutex_);
    return open_grants_.empty() && faulty_releases_ == 0;
  }

 private:
  const std::vector<target> targets_;
  mutable std::mutex mutex_;
  std::vector<acquire_request> requests_;
  std::vector<attempt_report> reports_;
  std::vector<std::uint64_t> open_grants_;
  std::uint64_t last_grant_ = 0;
  int faulty_releases_ = 0;
  bool has_retry_budget_ = true;
};

class fake_directory : public host_directory {
 public:
  explicit fake_directory(host_record self) : self_(std::move(self)) {}

  // Known hosts besides this one. Changed only while nobody uses the directory.
  std::vector<host_record> others;

  // Precondition: nobody uses the directory yet.
  void AddOwner(std::string incarnation, host_record owner) {
    owners_.emplace(std::move(incarnation), std::move(owner));
  }

  host_record Self() const override { return self_; }
  std::vector<host_record> Hosts() const override {
    std::vector<host_record> hosts = {self_};
    hosts.insert(hosts.end(), others.begin(), others.end());
    return hosts;
  }
  std::optional<host_record> FindKeyOwner(
      std::string_view incarnation) const override {
    const auto found = owners_.find(incarnation);
    return found == owners_.end() ? std::nullopt
                                  : std::optional<host_record>(found->second);
  }

 private:
  const host_record self_;
  std::map<std::string, host_record, std::less<>> owners_;
};

// Holds objects in memory; fails and loses replies on demand. Not thread safe.
class scripted_store : public object_store {
 public:
  bool is_unavailable = false;
  // The next write takes effect (or not) and its reply is lost.
  bool loses_reply = false;
  bool loses_write = false;
  std::map<std::string, stored_object, std::less<>> objects;
  int writes = 0;

  result<stored_object> Get(std::string_view key) override {
    if (is_unavailable) {
      return error{error_code::kUnavailable, "out of service"};
    }
    const auto found = objects.find(key);
    if (found == objects.end()) {
      return error{error_code::kNotFound, "no such object"};
    }
    return found->second;
  }

  result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t expected) override {
    ++writes;
    const auto found = objects.find(key);
    const std::uint64_t version =
        found == objects.end() ? kNoVersion : found->second.version;
    if (version != expected) {
      return error{error_code::kConflict, "version differs"};
    }
    if (!loses_write) {
      objects[std::string(key)] = {std::string(value), version + 1};
    }
    if (loses_reply || loses_write) {
      return error{error_code::kUnknownEffect, "reply lost"};
    }
    return version + 1;
  }

  status Delete(std::string_view, std::uint64_t) override { return OkStatus(); }
  result<std::vector<std::string>> List(std::string_view,
                                        std::size_t) override {
    return std::vector<std::string>();
  }
  result<stored_object> WaitForChange(std::string_view,
                                      std::uint64_t,
                                      std::chrono::milliseconds) override {
    return error{error_code::kDeadlineExceeded, "no change"};
  }
};

}  // namespace bulrushshore

#endif  // TESTS_PROXY_FAKES_H_
