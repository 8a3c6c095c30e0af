#include "libraries/caller/discovery_cache.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kFetchTimeout(1);
// Bounds on the stated time to live, against a host that states nonsense.
constexpr std::chrono::milliseconds kMinTimeToLive(100);
constexpr std::chrono::milliseconds kMaxTimeToLive(600'000);
// How long an old list is used before hosts are asked again in vain.
constexpr std::chrono::milliseconds kRetryInterval(500);
// A single host may not have the newest configuration yet.
constexpr int kConfirmationsOfUnknownService = 2;
constexpr int kOk = 200;
constexpr int kNotFound = 404;

error MalformedList() {
  return error{error_code::kDataLoss, "malformed discovery response"};
}

std::string StringField(const nlohmann::json& object, const char* name) {
  const auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

result<discovered_host> ParseHost(const nlohmann::json& object) {
  if (!object.is_object()) {
    return MalformedList();
  }
  const result<endpoint> address =
      ParseEndpoint(StringField(object, "address"));
  if (!IsOk(address)) {
    return MalformedList();
  }
  return discovered_host{StringField(object, "id"), ValueOf(address),
                         StringField(object, "zone"),
                         StringField(object, "key_prefix")};
}

result<std::vector<discovered_host>> ParseHosts(const nlohmann::json& array) {
  std::vector<discovered_host> hosts;
  for (const nlohmann::json& object : array) {
    const result<discovered_host> host = ParseHost(object);
    if (!IsOk(host)) {
      return ErrorOf(host);
    }
    hosts.push_back(ValueOf(host));
  }
  return hosts;
}

// Percent-encodes everything but the unreserved characters of RFC 3986.
std::string EncodeQueryValue(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  constexpr unsigned kNibbleBits = 4;
  constexpr unsigned kNibbleMask = 15;
  std::string encoded;
  for (const char character : text) {
    const unsigned byte = static_cast<unsigned char>(character);
    const bool is_unreserved =
        (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
        (byte >= '0' && byte <= '9') || character == '-' || character == '_' ||
        character == '.' || character == '~';
    if (is_unreserved) {
      encoded += character;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte >> kNibbleBits];
    encoded += kDigits[byte & kNibbleMask];
  }
  return encoded;
}

}  // namespace

fixed_host_resolver::fixed_host_resolver(host_list hosts)
    : hosts_(std::make_shared<const host_list>(std::move(hosts))) {}

result<shared_host_list> fixed_host_resolver::Resolve(
    std::string_view /*service*/) {
  return hosts_;
}

discovery_cache::discovery_cache(std::vector<endpoint> entry_hosts,
                                 std::string zone,
                                 caller_transport& transport,
                                 const clock& time)
    : entry_hosts_(std::move(entry_hosts)),
      zone_(std::move(zone)),
      transport_(transport),
      clock_(time) {
  assert(!entry_hosts_.empty());
}

result<shared_host_list> discovery_cache::Resolve(std::string_view service) {
  entry& cached = FindOrAddEntry(service);
  bool is_fresh = false;
  const shared_host_list known = ListOf(cached, &is_fresh);
  if (is_fresh) {
    return known;
  }
  std::unique_lock<std::mutex> refresh(cached.refresh_mutex, std::defer_lock);
  if (known == nullptr) {
    refresh.lock();
  } else if (!refresh.try_lock()) {
    // Another thread asks already; the old list serves until then.
    return known;
  }
  const shared_host_list latest = ListOf(cached, &is_fresh);
  if (is_fresh) {
    return latest;
  }
  return Refresh(service, cached);
}

discovery_cache::entry& discovery_cache::FindOrAddEntry(
    std::string_view service) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = entries_.find(service);
  if (found != entries_.end()) {
    return *found->second;
  }
  const auto added =
      entries_.emplace(std::string(service), std::make_unique<entry>()).first;
  return *added->second;
}

shared_host_list discovery_cache::ListOf(const entry& cached,
                                         bool* is_fresh) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  *is_fresh = cached.hosts != nullptr && clock_.Now() < cached.stale_at;
  return cached.hosts;
}

result<shared_host_list> discovery_cache::Refresh(std::string_view service,
                                                  entry& cached) {
  bool is_fresh = false;
  const shared_host_list previous = ListOf(cached, &is_fresh);
  const result<fetched_list> fetched = Fetch(service, previous);
  const std::lock_guard<std::mutex> lock(mutex_);
  if (IsOk(fetched)) {
    cached.hosts = ValueOf(fetched).hosts;
    cached.stale_at = clock_.Now() + ValueOf(fetched).time_to_live;
    return cached.hosts;
  }
  const bool is_withdrawn = ErrorOf(fetched).code == error_code::kNotFound;
  if (is_withdrawn || previous == nullptr) {
    cached.hosts = nullptr;
    return ErrorOf(fetched);
  }
  cached.stale_at = clock_.Now() + kRetryInterval;
  return previous;
}

result<discovery_cache::fetched_list> discovery_cache::Fetch(
    std::string_view service,
    const shared_host_list& previous) {
  error last{error_code::kUnavailable, "no host answered"};
  int not_found_count = 0;
  for (const endpoint& address : AddressesToAsk(previous)) {
    result<fetched_list> fetched = Ask(address, service);
    if (IsOk(fetched)) {
      return fetched;
    }
    last = ErrorOf(fetched);
    if (last.code == error_code::kNotFound &&
        ++not_found_count == kConfirmationsOfUnknownService) {
      return last;
    }
  }
  return last;
}

result<discovery_cache::fetched_list> discovery_cache::Ask(
    const endpoint& address,
    std::string_view service) {
  transport_request request;
  request.path =
      "/_bulrush/hosts?service=" + EncodeQueryValue(service) +
      (zone_.empty() ? std::string() : "&zone=" + EncodeQueryValue(zone_));
  const transport_result exchanged =
      transport_.Exchange(address, request, kFetchTimeout);
  const transport_response* const response =
      std::get_if<transport_response>(&exchanged);
  if (response == nullptr) {
    return error{error_code::kUnavailable, "no host answered"};
  }
  if (response->status == kNotFound) {
    return error{error_code::kNotFound,
                 "unknown service " + std::string(service)};
  }
  if (response->status != kOk) {
    return error{error_code::kUnavailable, "a host refused discovery"};
  }
  const nlohmann::json body =
      nlohmann::json::parse(response->body, nullptr, false);
  if (!body.is_object() || !body.contains("hosts") ||
      !body["hosts"].is_array() || !body.contains("ttl_ms") ||
      !body["ttl_ms"].is_number_integer()) {
    return MalformedList();
  }
  result<std::vector<discovered_host>> hosts = ParseHosts(body["hosts"]);
  if (!IsOk(hosts) || ValueOf(hosts).empty()) {
    return MalformedList();
  }
  host_list list;
  list.hosts = TakeValue(std::move(hosts));
  list.fetched_at = clock_.Now();
  if (body.contains("catalog_version") &&
      body["catalog_version"].is_number_unsigned()) {
    list.catalog_version = body["catalog_version"].get<std::uint64_t>();
  }
  const std::chrono::milliseconds time_to_live =
      std::clamp(std::chrono::milliseconds(body["ttl_ms"].get<std::int64_t>()),
                 kMinTimeToLive, kMaxTimeToLive);
  return fetched_list{std::make_shared<const host_list>(std::move(list)),
                      time_to_live};
}

// The hosts of the old list come first, since they are likely to be live; the
// entry hosts follow, each time beginning with another one.
std::vector<endpoint> discovery_cache::AddressesToAsk(
    const shared_host_list& previous) {
  std::vector<endpoint> addresses;
  if (previous != nullptr) {
    for (const discovered_host& host : previous->hosts) {
      addresses.push_back(host.address);
    }
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::size_t first = next_entry_host_++ % entry_hosts_.size();
  for (std::size_t step = 0; step < entry_hosts_.size(); ++step) {
    const endpoint& address =
        entry_hosts_[(first + step) % entry_hosts_.size()];
    if (std::find(addresses.begin(), addresses.end(), address) ==
        addresses.end()) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}  // namespace bulrushshore
