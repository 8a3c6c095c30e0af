#include "services/host_daemon/daemon_settings.h"

#include <algorithm>
#include <array>
#include <utility>

#include "libraries/settings/settings_reader.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kMinPeerKeyBytes = 32;
constexpr std::size_t kMaxIdBytes = 64;

bool IsIdentifier(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return (character >= 'a' && character <= 'z') ||
                  (character >= '0' && character <= '9') || character == '-';
         });
}

class daemon_settings_parser {
 public:
  explicit daemon_settings_parser(const ini_document& document)
      : reader_(document) {}

  std::variant<daemon_settings, line_errors> Parse() {
    ReadHostSection();
    ReadTimes();
    settings_.store_address = reader_.RequiredEndpoint("store", "address");
    settings_.store_timeout =
        Milliseconds("store", "timeout_ms", 1'000, {10, 60'000});
    ReadPeerSection();
    line_errors errors = reader_.Finish();
    if (!errors.empty()) {
      return errors;
    }
    return std::move(settings_);
  }

 private:
  void ReadHostSection() {
    settings_.id = Identifier("host", "id");
    settings_.zone = Identifier("host", "zone");
    settings_.caller_address =
        reader_.RequiredEndpoint("host", "caller_address");
    settings_.peer_address = reader_.RequiredEndpoint("host", "peer_address");
    settings_.admin_address = reader_.RequiredEndpoint("host", "admin_address");
    settings_.caller_threads = static_cast<std::size_t>(
        reader_.Integer("host", "caller_threads", 256, {8, 4096}));
    constexpr std::array<std::string_view, 4> kLevels = {"info", "debug",
                                                         "warning", "error"};
    constexpr std::array<log_level, 4> kLevelValues = {
        log_level::kInfo, log_level::kDebug, log_level::kWarning,
        log_level::kError};
    const std::string level = reader_.Choice("host", "log_level", kLevels);
    const auto found = std::find(kLevels.begin(), kLevels.end(), level);
    settings_.minimum_log_level =
        kLevelValues[static_cast<std::size_t>(found - kLevels.begin())];
  }

  void ReadTimes() {
    settings_.shutdown_limit =
        Milliseconds("host", "shutdown_limit_ms", 30'000, {0, 600'000});
    settings_.leaving_grace =
        Milliseconds("host", "leaving_grace_ms", 5'000, {0, 600'000});
    settings_.discovery_ttl =
        Milliseconds("host", "discovery_ttl_ms", 5'000, {100, 300'000});
    settings_.probe_interval =
        Milliseconds("host", "probe_interval_ms", 2'000, {0, 60'000});
  }

  void ReadPeerSection() {
    settings_.peer_key = PeerKey("key").value_or("");
    if (reader_.Entry("peers", "key") == nullptr) {
      reader_.RequiredString("peers", "key");
    }
    settings_.previous_peer_key = PeerKey("previous_key");
    const ini_entry* const seeds = reader_.Entry("peers", "seeds");
    if (seeds != nullptr) {
      ReadSeeds(*seeds);
    }
  }

  void ReadSeeds(const ini_entry& entry) {
    std::string_view rest = entry.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      const std::string_view item = rest.substr(0, comma);
      rest = comma == std::string_view::npos ? std::string_view()
                                             : rest.substr(comma + 1);
      const std::size_t first = item.find_first_not_of(' ');
      const result<endpoint> parsed = ParseEndpoint(
          first == std::string_view::npos ? item : item.substr(first));
      if (!IsOk(parsed)) {
        reader_.AddError(entry.line,
                         "[peers] seeds: " + ErrorOf(parsed).message);
        continue;
      }
      settings_.seeds.push_back(ValueOf(parsed));
    }
  }

  std::optional<std::string> PeerKey(std::string_view key) {
    const ini_entry* const entry = reader_.Entry("peers", key);
    if (entry == nullptr) {
      return std::nullopt;
    }
    if (entry->value.size() < kMinPeerKeyBytes) {
      // The value is a secret, so that the message does not repeat it.
      reader_.AddError(entry->line,
                       "[peers] " + std::string(key) + ": expected at least " +
                           std::to_string(kMinPeerKeyBytes) + " characters");
    }
    return entry->value;
  }

  std::string Identifier(std::string_view section, std::string_view key) {
    std::string value = reader_.RequiredString(section, key);
    const ini_entry* const entry = reader_.Entry(section, key);
    if (entry != nullptr && !value.empty() && !IsIdentifier(value)) {
      reader_.AddError(entry->line,
                       "[" + std::string(section) + "] " + std::string(key) +
                           ": expected 1 to 64 characters of a-z, 0-9 and '-', "
                           "got \"" +
                           value + "\"");
    }
    return value;
  }

  std::chrono::milliseconds Milliseconds(std::string_view section,
                                         std::string_view key,
                                         std::int64_t default_value,
                                         settings_reader::integer_range range) {
    return std::chrono::milliseconds(
        reader_.Integer(section, key, default_value, range));
  }

  settings_reader reader_;
  daemon_settings settings_;
};

}  // namespace

std::variant<daemon_settings, line_errors> ParseDaemonSettings(
    std::string_view text) {
  std::variant<ini_document, line_errors> parsed = ParseIniDocument(text);
  if (line_errors* const errors = std::get_if<line_errors>(&parsed)) {
    return std::move(*errors);
  }
  return daemon_settings_parser(std::get<ini_document>(parsed)).Parse();
}

}  // namespace bulrushshore
