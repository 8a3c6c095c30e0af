#include "services/host_daemon/daemon_settings.h"

#include <string>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

constexpr std::string_view kComplete = R"([host]
id = host-a1
zone = a
caller_address = 127.0.0.1:8001
peer_address = 127.0.0.1:8101
admin_address = 127.0.0.1:8201
[store]
address = 127.0.0.1:7001
[peers]
key = 0123456789abcdef0123456789abcdef
seeds = 127.0.0.1:8102, 127.0.0.1:8103
)";

// Guards against a complete file that is refused, and against lost seeds.
TEST(DaemonSettingsTest, ReadsACompleteFile) {
  const std::variant<daemon_settings, line_errors> parsed =
      ParseDaemonSettings(kComplete);
  const daemon_settings* const settings = std::get_if<daemon_settings>(&parsed);
  ASSERT_NE(settings, nullptr)
      << FormatLineErrors("file", std::get<line_errors>(parsed));
  EXPECT_EQ(settings->seeds.size(), 2U);
  EXPECT_EQ(settings->zone, "a");
}

// Guards against a daemon that starts on a faulty file, and against a secret
// that shows up in the report.
TEST(DaemonSettingsTest, ReportsAllFaultsWithoutSecrets) {
  const std::variant<daemon_settings, line_errors> parsed = ParseDaemonSettings(
      "[host]\nid = Host A\nzone = a\ncaller_threads = 1\n"
      "caller_address = 127.0.0.1:8001\npeer_address = 127.0.0.1:8101\n"
      "admin_address = 127.0.0.1:8201\ncolour = red\n"
      "[store]\naddress = store:1\n"
      "[peers]\nkey = tooshort\nseeds = 127.0.0.1:1,nowhere\n");
  const line_errors* const errors = std::get_if<line_errors>(&parsed);
  ASSERT_NE(errors, nullptr);
  std::vector<int> lines;
  for (const line_error& error : *errors) {
    lines.push_back(error.line);
  }
  EXPECT_EQ(lines, (std::vector<int>{2, 4, 8, 10, 12, 13}));
  EXPECT_EQ(FormatLineErrors("file", *errors).find("tooshort"),
            std::string::npos);
}

}  // namespace
}  // namespace bulrushshore
