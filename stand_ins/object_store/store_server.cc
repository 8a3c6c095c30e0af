#include "stand_ins/object_store/store_server.h"

#include <arpa/inet.h>
#include <httplib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <atomic>
#include <charconv>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/store/in_memory_object_store.h"
#include "libraries/store/object_key.h"

namespace bulrushshore {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kPayloadTooLarge = 413;
constexpr int kInternalError = 500;
constexpr int kServiceUnavailable = 503;
constexpr int kNotModified = 304;
constexpr int kNoContent = 204;
constexpr char kBytes[] = "application/octet-stream";
constexpr char kJson[] = "application/json";
constexpr std::size_t kMaxListKeys = 10'000;
// A watch that waits holds up the end of the server for at most this long.
constexpr std::chrono::milliseconds kWatchSlice{50};

// The library listens with a backlog of 5, which makes clients that connect at
// the same moment wait for a retransmitted SYN.
class server_with_backlog : public httplib::Server {
 public:
  void RaiseBacklog() {
    constexpr int kBacklog = 511;
    ::listen(svr_sock_, kBacklog);
  }
};

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::uint64_t NumberParameter(const httplib::Request& request,
                              const std::string& name,
                              std::uint64_t default_value) {
  return ParseNumber(request.get_param_value(name)).value_or(default_value);
}

std::string VersionTag(std::uint64_t version) {
  return "\"" + std::to_string(version) + "\"";
}

// Reads the version that a write asks for from If-None-Match or If-Match.
std::optional<std::uint64_t> ExpectedVersion(const httplib::Request& request) {
  if (request.get_header_value("If-None-Match") == "*") {
    return kNoVersion;
  }
  const std::string tag = request.get_header_value("If-Match");
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  const std::string_view digits(tag);
  return ParseNumber(digits.substr(1, digits.size() - 2));
}

std::uint16_t PortOf(const sockaddr_storage& address) {
  if (address.ss_family == AF_INET6) {
    return ntohs(reinterpret_cast<const sockaddr_in6&>(address).sin6_port);
  }
  return ntohs(reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

// Closes the connection of `request` without an answer. The library does not
// give its socket to the handler, so it is found by the port of its peer.
void CloseConnection(const httplib::Request& request) {
  constexpr int kMaxDescriptors = 4096;
  for (int descriptor = 0; descriptor < kMaxDescriptors; ++descriptor) {
    sockaddr_storage peer{};
    socklen_t length = sizeof(peer);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &length) ==
            0 &&
        PortOf(peer) == request.remote_port) {
      ::shutdown(descriptor, SHUT_RDWR);
    }
  }
}

void SetError(httplib::Response& response, const error& cause) {
  switch (cause.code) {
    case error_code::kNotFound:
      response.status = kNotFound;
      break;
    case error_code::kConflict:
      response.status = kPreconditionFailed;
      break;
    case error_code::kUnavailable:
      response.status = kServiceUnavailable;
      break;
    case error_code::kDeadlineExceeded:
      response.status = kNotModified;
      return;
    default:
      response.status = kInternalError;
      break;
  }
  response.set_content(cause.message, "text/plain");
}

void SetObject(httplib::Response& response, const stored_object& object) {
  response.set_header("ETag", VersionTag(object.version));
  response.set_content(object.value, kBytes);
}

}  // namespace

class store_server::implementation {
 public:
  explicit implementation(store_server_options options)
      : options_(std::move(options)) {
    server_.new_task_queue = [this] {
      return new httplib::ThreadPool(options_.threads);
    };
    server_.set_payload_max_length(kMaxObjectBytes);
    server_.set_tcp_nodelay(true);
    constexpr std::size_t kRequestsPerConnection = 1'000'000;
    server_.set_keep_alive_max_count(kRequestsPerConnection);
    AddObjectEndpoints();
    AddControlEndpoints();
  }

  result<std::uint16_t> Start() {
    int port = options_.port;
    if (port == 0) {
      port = server_.bind_to_any_port(options_.ip);
    } else if (!server_.bind_to_port(options_.ip, port)) {
      port = -1;
    }
    if (port <= 0) {
      return error{error_code::kUnavailable, "cannot listen on " + options_.ip +
                                                 ":" +
                                                 std::to_string(options_.port)};
    }
    server_.RaiseBacklog();
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    return static_cast<std::uint16_t>(port);
  }

  void Stop() {
    is_stopping_ = true;
    if (!thread_.joinable()) {
      return;
    }
    // stop() has no effect before the server runs.
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
    server_.stop();
    thread_.join();
  }

 private:
  using handler = void (implementation::*)(const httplib::Request&,
                                           httplib::Response&);

  httplib::Server::Handler Bind(handler function) {
    return [this, function](const httplib::Request& request,
                            httplib::Response& response) {
      (this->*function)(request, response);
    };
  }

  // As Bind(), for calls that the store's slowness applies to.
  httplib::Server::Handler BindSlow(handler function) {
    return [this, function](const httplib::Request& request,
                            httplib::Response& response) {
      std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms_.load()));
      (this->*function)(request, response);
    };
  }

  void AddObjectEndpoints() {
    const std::string object_path = "/objects/([a-zA-Z0-9/._-]+)";
    server_.Get(object_path, BindSlow(&implementation::GetObject));
    server_.Put(object_path, BindSlow(&implementation::PutObject));
    server_.Delete(object_path, BindSlow(&implementation::DeleteObject));
    server_.Get("/list", BindSlow(&implementation::ListObjects));
    server_.Get("/watch/([a-zA-Z0-9/._-]+)",
                BindSlow(&implementation::WatchObject));
    server_.Get("/machines", BindSlow(&implementation::GetMachines));
  }

  void AddControlEndpoints() {
    server_.Post("/control/outage", Bind(&implementation::SetOutage));
    server_.Post("/control/delay", Bind(&implementation::SetDelay));
    server_.Post("/control/lost_replies", Bind(&implementation::LoseReplies));
    server_.Post("/control/corrupt/([a-zA-Z0-9/._-]+)",
                 Bind(&implementation::CorruptObject));
    server_.Put("/control/machines", Bind(&implementation::SetMachines));
    server_.Get("/control/calls", Bind(&implementation::GetCalls));
  }

  void GetObject(const httplib::Request& request, httplib::Response& response) {
    const result<stored_object> object = store_.Get(request.matches[1].str());
    if (!IsOk(object)) {
      SetError(response, ErrorOf(object));
      return;
    }
    SetObject(response, ValueOf(object));
  }

  void PutObject(const httplib::Request& request, httplib::Response& response) {
    const std::string key = request.matches[1];
    const std::optional<std::uint64_t> expected = ExpectedVersion(request);
    if (!IsValidObjectKey(key) || !expected.has_value()) {
      response.status = kBadRequest;
      return;
    }
    if (request.body.size() > kMaxObjectBytes) {
      response.status = kPayloadTooLarge;
      return;
    }
    const result<std::uint64_t> version =
        store_.Put(key, request.body, *expected);
    if (!IsOk(version)) {
      FailWrite(request, response, ErrorOf(version));
      return;
    }
    response.set_header("ETag", VersionTag(ValueOf(version)));
  }

  void DeleteObject(const httplib::Request& request,
                    httplib::Response& response) {
    const std::optional<std::uint64_t> expected = ExpectedVersion(request);
    if (!expected.has_value()) {
      response.status = kBadRequest;
      return;
    }
    const status deleted = store_.Delete(request.matches[1].str(), *expected);
    if (!IsOk(deleted)) {
      FailWrite(request, response, ErrorOf(deleted));
      return;
    }
    response.status = kNoContent;
  }

  static void FailWrite(const httplib::Request& request,
                        httplib::Response& response,
                        const error& cause) {
    if (cause.code == error_code::kUnknownEffect) {
      CloseConnection(request);
      return;
    }
    SetError(response, cause);
  }

  void ListObjects(const httplib::Request& request,
                   httplib::Response& response) {
    const std::size_t limit = std::min<std::size_t>(
        NumberParameter(request, "limit", kMaxListKeys), kMaxListKeys);
    const result<std::vector<std::string>> keys =
        store_.List(request.get_param_value("prefix"), limit);
    if (!IsOk(keys)) {
      SetError(response, ErrorOf(keys));
      return;
    }
    response.set_content(nlohmann::json(ValueOf(keys)).dump(), kJson);
  }

  // Waits in slices so that Stop() does not have to wait for the watches.
  void WatchObject(const httplib::Request& request,
                   httplib::Response& response) {
    const std::string key = request.matches[1];
    const std::uint64_t after = NumberParameter(request, "after", 0);
    std::chrono::milliseconds left(NumberParameter(request, "timeout_ms", 0));
    ++watch_calls_;
    while (true) {
      const std::chrono::milliseconds slice = std::min(left, kWatchSlice);
      const result<stored_object> object =
          store_.WaitForChange(key, after, slice);
      if (IsOk(object)) {
        SetObject(response, ValueOf(object));
        return;
      }
      left -= slice;
      if (ErrorOf(object).code != error_code::kDeadlineExceeded ||
          left <= std::chrono::milliseconds::zero() || is_stopping_) {
        SetError(response, ErrorOf(object));
        return;
      }
    }
  }

  void GetMachines(const httplib::Request&, httplib::Response& response) {
    ++machine_calls_;
    const std::lock_guard<std::mutex> lock(mutex_);
    if (is_out_) {
      SetError(response, {error_code::kUnavailable, "out of service"});
      return;
    }
    response.set_content(machines_, kJson);
  }

  void SetOutage(const httplib::Request& request, httplib::Response&) {
    const bool is_out = request.get_param_value("on") == "true";
    const std::lock_guard<std::mutex> lock(mutex_);
    is_out_ = is_out;
    store_.SetOutage(is_out);
  }

  void SetDelay(const httplib::Request& request, httplib::Response&) {
    delay_ms_ = NumberParameter(request, "ms", 0);
  }

  void LoseReplies(const httplib::Request& request, httplib::Response&) {
    const bool has_effect = request.get_param_value("effect") != "false";
    store_.FailWrites(
        request.get_param_value("prefix"),
        has_effect ? write_fault::kLostReply : write_fault::kLostRequest,
        static_cast<int>(NumberParameter(request, "count", 1)));
  }

  void CorruptObject(const httplib::Request& request,
                     httplib::Response& response) {
    const std::string key = request.matches[1];
    if (!IsOk(store_.Get(key))) {
      response.status = kNotFound;
      return;
    }
    store_.CorruptValue(key, request.body);
  }

  void SetMachines(const httplib::Request& request, httplib::Response&) {
    const std::lock_guard<std::mutex> lock(mutex_);
    machines_ = request.body;
  }

  void GetCalls(const httplib::Request&, httplib::Response& response) {
    const store_call_counts counts = store_.call_counts();
    const nlohmann::json calls = {{"get", counts.get},
                                  {"put", counts.put},
                                  {"delete", counts.remove},
                                  {"list", counts.list},
                                  {"watch", watch_calls_.load()},
                                  {"machines", machine_calls_.load()}};
    response.set_content(calls.dump(), kJson);
  }

  const store_server_options options_;
  in_memory_object_store store_;
  server_with_backlog server_;
  std::thread thread_;
  std::atomic<bool> is_stopping_{false};
  std::atomic<std::uint64_t> delay_ms_{0};
  std::atomic<std::uint64_t> watch_calls_{0};
  std::atomic<std::uint64_t> machine_calls_{0};
  std::mutex mutex_;
  bool is_out_ = false;
  std::string machines_ = R"({"machines":[]})";
};

store_server::store_server(store_server_options options)
    : implementation_(std::make_unique<implementation>(std::move(options))) {}

store_server::~store_server() {
  Stop();
}

result<std::uint16_t> store_server::Start() {
  return implementation_->Start();
}

void store_server::Stop() {
  implementation_->Stop();
}

}  // namespace bulrushshore
