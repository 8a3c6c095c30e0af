#include <nlohmann/json.hpp>

#include "platform/configuration_decoder.h"
#include "platform/host_decoder.h"
#include "platform/target_decoder.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  const nlohmann::json object =
      nlohmann::json::parse(FuzzText(data, size), nullptr, false);
  const result<rule_set> rules = DecodeConfiguration(object);
  if (IsOk(rules)) {
    for (const std::map<std::string, route_rule>::value_type& entry :
         ValueOf(rules).routes) {
      Require(!entry.second.services.empty(), "a route has a service");
      Require(entry.second.max_attempts > 0, "a route allows an attempt");
    }
  }
  const result<target_entry> target = DecodeTarget(object);
  if (IsOk(target)) {
    Require(ValueOf(target).slots > 0, "a target has slots");
  }
  const result<host_entry> host = DecodeHost(object);
  if (IsOk(host)) {
    Require(!ValueOf(host).id.empty(), "a host is named");
  }
  return 0;
}
