#ifndef LIBRARIES_ADMISSION_REQUEST_QUEUE_H_
#define LIBRARIES_ADMISSION_REQUEST_QUEUE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/clock.h"

namespace bulrushshore {

// A request that waits for a slot of a target.
struct queued_request {
  std::uint64_t id = 0;
  std::string organisation;
  // A request that has not started by this time expires; TakeExpired() removes
  // it.
  time_point expires_at;
  bool is_long = false;
};

// A bounded queue that organisations share in proportion to their weights
// (start-time fair queueing); within an organisation it is first in, first
// out. Not thread safe.
class request_queue {
 public:
  using start_predicate = std::function<bool(const queued_request&)>;

  // Result of Push().
  struct push_result {
    bool is_accepted = false;
    // The request that was evicted to make room. It belonged to the
    // organisation with the longest queue in proportion to its weight.
    std::optional<std::uint64_t> evicted_id;
  };

  explicit request_queue(std::size_t capacity);

  // Changes the capacity; requests beyond a lower capacity stay until they
  // start, expire or are removed.
  void SetCapacity(std::size_t capacity) { capacity_ = capacity; }

  // Adds a request. If the queue is full, the organisation with the most
  // requests in proportion to its weight loses its newest one, which may be the
  // new request itself. Precondition: `weight` > 0 and the id is not in the
  // queue.
  push_result Push(queued_request request, double weight);

  // Removes and returns the first request, in fair order, that `can_start`
  // accepts.
  std::optional<queued_request> TakeFirst(const start_predicate& can_start);

  // Removes a request; returns false if it is not in the queue.
  bool Remove(std::uint64_t id);

  // Removes and returns the requests that have expired at `now`.
  std::vector<queued_request> TakeExpired(time_point now);

  // Estimates the number of requests that leave the queue before a new request
  // of the organisation does. Precondition: `weight` > 0.
  double RequestsAhead(std::string_view organisation, double weight) const;

  // Returns the earliest expiry of a queued request, or nothing if the queue is
  // empty.
  std::optional<time_point> NextExpiry() const;

  std::size_t size() const { return size_; }
  std::size_t short_count() const { return size_ - long_count_; }

 private:
  // The queued requests of one organisation.
  struct flow {
    std::list<queued_request> requests;
    double weight = 1.0;
    // Start tag, in virtual time, of the oldest queued request. Of the flows
    // with a request that can start, the one with the lowest tag is next.
    double start_tag = 0.0;
  };
  using flow_map = std::map<std::string, flow, std::less<>>;

  queued_request Extract(flow_map::iterator position,
                         std::list<queued_request>::iterator request);
  flow_map::iterator LongestFlow();
  void RemoveIdleFlows();

  std::size_t capacity_;
  std::size_t size_ = 0;
  std::size_t long_count_ = 0;
  double virtual_time_ = 0.0;
  flow_map flows_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_ADMISSION_REQUEST_QUEUE_H_
