#include <string>

#include "libraries/base/clock.h"
#include "libraries/caller/discovery_cache.h"
#include "tests/fuzz/fuzz_input.h"

namespace {

using namespace bulrushshore;

// Answers every request with the same body.
class fixed_transport : public caller_transport {
 public:
  explicit fixed_transport(std::string body) : body_(std::move(body)) {}

  transport_result Exchange(const endpoint& /*address*/,
                            const transport_request& /*request*/,
                            duration /*timeout*/) override {
    constexpr int kOk = 200;
    return transport_response{kOk, {}, body_};
  }

 private:
  const std::string body_;
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  fixed_transport transport{std::string(FuzzText(data, size))};
  const manual_clock time;
  discovery_cache cache({{"127.0.0.1", 1}}, "a", transport, time);
  const result<shared_host_list> hosts = cache.Resolve("archive");
  if (IsOk(hosts)) {
    Require(!ValueOf(hosts)->hosts.empty(), "a list has a host");
  }
  return 0;
}
