#include "libraries/store/http_machine_list.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

constexpr int kOk = 200;
constexpr std::size_t kMaxMachineListBytes = std::size_t{4} * 1024 * 1024;

error InvalidList() {
  return {error_code::kDataLoss, "invalid list of machines"};
}

bool IsIpAddress(const std::string& text) {
  const bool is_ipv6 = text.find(':') != std::string::npos;
  return IsOk(ParseEndpoint(is_ipv6 ? "[" + text + "]:1" : text + ":1"));
}

result<machine> ParseMachine(const nlohmann::json& item) {
  if (!item.is_object() || !item.contains("ip") || !item["ip"].is_string() ||
      !item.contains("state")) {
    return InvalidList();
  }
  machine parsed;
  parsed.ip = item["ip"].get<std::string>();
  const nlohmann::json& state = item["state"];
  if (!IsIpAddress(parsed.ip) || (state != "live" && state != "leaving")) {
    return InvalidList();
  }
  parsed.state =
      state == "live" ? machine_state::kLive : machine_state::kLeaving;
  return parsed;
}

result<std::vector<machine>> ParseMachines(std::string_view body) {
  const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("machines") ||
      !document["machines"].is_array()) {
    return InvalidList();
  }
  std::vector<machine> machines;
  for (const nlohmann::json& item : document["machines"]) {
    result<machine> parsed = ParseMachine(item);
    if (!IsOk(parsed)) {
      return ErrorOf(parsed);
    }
    machines.push_back(TakeValue(std::move(parsed)));
  }
  return machines;
}

}  // namespace

http_machine_list::http_machine_list(http_store_options options,
                                     const clock& time_source)
    : options_(std::move(options)), time_source_(time_source) {}

result<std::vector<machine>> http_machine_list::Machines() {
  store_request request;
  request.path = "/machines";
  request.max_response_bytes = kMaxMachineListBytes;
  const result<store_response> response =
      ExchangeHttp(options_, time_source_, request);
  if (!IsOk(response)) {
    const error& cause = ErrorOf(response);
    const bool is_too_large = cause.code == error_code::kDataLoss;
    return error{
        is_too_large ? error_code::kDataLoss : error_code::kUnavailable,
        cause.message};
  }
  if (ValueOf(response).status_code != kOk) {
    return error{
        error_code::kUnavailable,
        "platform answered " + std::to_string(ValueOf(response).status_code)};
  }
  return ParseMachines(ValueOf(response).body);
}

}  // namespace bulrushshore
