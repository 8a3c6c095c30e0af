#include "services/host_daemon/discovery_endpoints.h"

#include <string>

#include "libraries/base/random_source.h"

namespace bulrushshore {
namespace {

constexpr std::string_view kHostsPath = "/_bulrush/hosts";
constexpr std::string_view kKeyPath = "/_bulrush/key";

std::string Parameter(const query_parameters& query, const std::string& name) {
  const auto found = query.find(name);
  return found == query.end() ? std::string() : found->second;
}

result<nlohmann::json> HostsAnswer(const query_parameters& query,
                                   const fleet_agent& fleet) {
  discovery_query question;
  question.service = Parameter(query, "service");
  question.zone = Parameter(query, "zone");
  question.caller = Parameter(query, "caller");
  if (question.service.empty()) {
    return error{error_code::kInvalidArgument,
                 "the parameter \"service\" is missing"};
  }
  if (question.caller.empty()) {
    // A caller that gives no name gets a random order, so that such callers
    // spread over the hosts as well.
    question.caller = FormatHex(seeded_random::FromSystemEntropy().Next());
  }
  const result<std::string> text = fleet.Discover(question);
  if (!IsOk(text)) {
    return ErrorOf(text);
  }
  return nlohmann::json::parse(ValueOf(text), nullptr,
                               /*allow_exceptions=*/false);
}

}  // namespace

discovery_handler MakeDiscoveryHandler(const fleet_agent& fleet) {
  return [&fleet](std::string_view path,
                  const query_parameters& query) -> result<nlohmann::json> {
    if (path == kHostsPath) {
      return HostsAnswer(query, fleet);
    }
    if (path == kKeyPath) {
      const host_record self = fleet.directory().Self();
      const result<std::string> prefix = KeyPrefixForCallers(self);
      if (!IsOk(prefix)) {
        return ErrorOf(prefix);
      }
      return nlohmann::json(
          {{"key_prefix", ValueOf(prefix)}, {"host", self.id}});
    }
    return error{error_code::kNotFound, "no such endpoint"};
  };
}

}  // namespace bulrushshore
