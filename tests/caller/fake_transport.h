#ifndef TESTS_CALLER_FAKE_TRANSPORT_H_
#define TESTS_CALLER_FAKE_TRANSPORT_H_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/caller/caller_transport.h"

namespace bulrushshore {

// Answers from a script per address. Not thread safe.
class fake_transport : public caller_transport {
 public:
  struct sent_request {
    endpoint address;
    transport_request request;
  };

  // Adds a result for the next request to `port`; the last one is repeated.
  void Script(std::uint16_t port, transport_result outcome) {
    scripts_[port].push_back(std::move(outcome));
  }

  transport_result Exchange(const endpoint& address,
                            const transport_request& request,
                            duration /*timeout*/) override {
    sent_.push_back({address, request});
    std::deque<transport_result>& script = scripts_[address.port];
    if (script.empty()) {
      return transport_failure::kConnectFailed;
    }
    transport_result outcome = script.front();
    if (script.size() > 1) {
      script.pop_front();
    }
    return outcome;
  }

  const std::vector<sent_request>& sent() const { return sent_; }

  std::string SentHeader(std::size_t index, std::string_view name) const {
    return std::string(
        FindHeader(sent_.at(index).request.headers, name).value_or(""));
  }

 private:
  std::map<std::uint16_t, std::deque<transport_result>> scripts_;
  std::vector<sent_request> sent_;
};

// Advances a manual clock instead of waiting.
class advancing_timer : public retry_timer {
 public:
  explicit advancing_timer(manual_clock& time) : clock_(time) {}
  void Wait(duration delay) override { clock_.Advance(delay); }

 private:
  manual_clock& clock_;
};

inline endpoint Address(std::uint16_t port) {
  return endpoint{"127.0.0.1", port};
}

}  // namespace bulrushshore

#endif  // TESTS_CALLER_FAKE_TRANSPORT_H_
