#include <variant>

#include "services/host_daemon/daemon_settings.h"
#include "tests/fuzz/fuzz_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  using namespace bulrushshore;
  const std::variant<daemon_settings, line_errors> parsed =
      ParseDaemonSettings(FuzzText(data, size));
  if (const line_errors* errors = std::get_if<line_errors>(&parsed)) {
    Require(!errors->empty(), "refused settings have errors");
    return 0;
  }
  const daemon_settings& settings = std::get<daemon_settings>(parsed);
  Require(!settings.id.empty(), "accepted settings name the host");
  Require(settings.caller_threads > 0, "accepted settings allow a thread");
  Require(!settings.peer_key.empty(), "accepted settings have a key");
  Require(IsOk(ParseEndpoint(FormatEndpoint(settings.caller_address))),
          "accepted addresses are valid");
  return 0;
}
