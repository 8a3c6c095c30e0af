#include "libraries/admission/request_queue.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bulrushshore {

request_queue::request_queue(std::size_t capacity) : capacity_(capacity) {}

request_queue::push_result request_queue::Push(queued_request request,
                                               double weight) {
  assert(weight > 0.0);
  push_result result;
  if (size_ >= capacity_) {
    const flow_map::iterator longest = LongestFlow();
    const flow_map::iterator own = flows_.find(request.organisation);
    const double own_length =
        own == flows_.end() ? 0.0
                            : static_cast<double>(own->second.requests.size());
    if (longest == flows_.end() ||
        (own_length + 1.0) / weight >=
            static_cast<double>(longest->second.requests.size()) /
                longest->second.weight) {
      return result;
    }
    result.evicted_id =
        Extract(longest, std::prev(longest->second.requests.end())).id;
  }
  flow& own_flow = flows_[request.organisation];
  own_flow.weight = weight;
  if (own_flow.requests.empty()) {
    own_flow.start_tag = std::max(own_flow.start_tag, virtual_time_);
  }
  long_count_ += request.is_long ? 1 : 0;
  ++size_;
  own_flow.requests.push_back(std::move(request));
  result.is_accepted = true;
  return result;
}

std::optional<queued_request> request_queue::TakeFirst(
    const start_predicate& can_start) {
  std::vector<flow_map::iterator> order;
  for (auto position = flows_.begin(); position != flows_.end(); ++position) {
    if (!position->second.requests.empty()) {
      order.push_back(position);
    }
  }
  std::stable_sort(
      order.begin(), order.end(),
      [](const flow_map::iterator& left, const flow_map::iterator& right) {
        return left->second.start_tag < right->second.start_tag;
      });
  for (const flow_map::iterator& position : order) {
    flow& candidate = position->second;
    const auto request = std::find_if(candidate.requests.begin(),
                                      candidate.requests.end(), can_start);
    if (request == candidate.requests.end()) {
      continue;
    }
    virtual_time_ = std::max(virtual_time_, candidate.start_tag);
    candidate.start_tag += 1.0 / candidate.weight;
    queued_request taken = Extract(position, request);
    RemoveIdleFlows();
    return taken;
  }
  return std::nullopt;
}

bool request_queue::Remove(std::uint64_t id) {
  for (auto position = flows_.begin(); position != flows_.end(); ++position) {
    std::list<queued_request>& requests = position->second.requests;
    const auto request = std::find_if(
        requests.begin(), requests.end(),
        [id](const queued_request& waiting) { return waiting.id == id; });
    if (request != requests.end()) {
      Extract(position, request);
      RemoveIdleFlows();
      return true;
    }
  }
  return false;
}

std::vector<queued_request> request_queue::TakeExpired(time_point now) {
  std::vector<queued_request> expired;
  for (auto position = flows_.begin(); position != flows_.end(); ++position) {
    std::list<queued_request>& requests = position->second.requests;
    for (auto request = requests.begin(); request != requests.end();) {
      const auto following = std::next(request);
      if (request->expires_at <= now) {
        expired.push_back(Extract(position, request));
      }
      request = following;
    }
  }
  RemoveIdleFlows();
  return expired;
}

double request_queue::RequestsAhead(std::string_view organisation,
                                    double weight) const {
  double active_weight = weight;
  double own_length = 0.0;
  for (const flow_map::value_type& entry : flows_) {
    if (entry.first == organisation) {
      own_length = static_cast<double>(entry.second.requests.size());
    } else if (!entry.second.requests.empty()) {
      active_weight += entry.second.weight;
    }
  }
  // Until the new request starts, every other organisation with queued requests
  // is served in proportion to its weight. The estimate is at most the size of
  // the queue.
  const double fair_share = (own_length + 1.0) * active_weight / weight - 1.0;
  return std::min(static_cast<double>(size_), fair_share);
}

std::optional<time_point> request_queue::NextExpiry() const {
  std::optional<time_point> earliest;
  for (const flow_map::value_type& entry : flows_) {
    for (const queued_request& request : entry.second.requests) {
      if (!earliest || request.expires_at < *earliest) {
        earliest = request.expires_at;
      }
    }
  }
  return earliest;
}

queued_request request_queue::Extract(
    flow_map::iterator position,
    std::list<queued_request>::iterator request) {
  queued_request taken = std::move(*request);
  position->second.requests.erase(request);
  long_count_ -= taken.is_long ? 1 : 0;
  --size_;
  return taken;
}

request_queue::flow_map::iterator request_queue::LongestFlow() {
  return std::max_element(
      flows_.begin(), flows_.end(),
      [](const flow_map::value_type& left, const flow_map::value_type& right) {
        return static_cast<double>(left.second.requests.size()) /
                   left.second.weight <
               static_cast<double>(right.second.requests.size()) /
                   right.second.weight;
      });
}

void request_queue::RemoveIdleFlows() {
  // The flow of an idle organisation is kept until the virtual time reaches its
  // start tag, so that an organisation gains no turns by emptying its queue.
  std::erase_if(flows_, [this](const flow_map::value_type& entry) {
    return entry.second.requests.empty() &&
           (size_ == 0 || entry.second.start_tag <= virtual_time_);
  });
}

}  // namespace bulrushshore
