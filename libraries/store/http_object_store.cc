#include "libraries/store/http_object_store.h"

#include <cassert>
#include <utility>

#include <nlohmann/json.hpp>

#include "libraries/store/object_key.h"

namespace bulrushshore {
namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

// Room for the longest list that a caller asks for in practice.
constexpr std::size_t kMaxListBytes = std::size_t{8} * 1024 * 1024;

error InvalidKey(std::string_view key) {
  return {error_code::kInvalidArgument,
          "invalid object key \"" + std::string(key) + "\""};
}

// The store answered in a way that its HTTP form does not know.
error UnexpectedResponse(const store_response& response, error_code code) {
  return {code, "unexpected response of the object store, status " +
                    std::to_string(response.status_code)};
}

// A read has no effect that could be unknown.
error ReadError(const error& cause) {
  if (cause.code == error_code::kUnknownEffect) {
    return {error_code::kUnavailable, cause.message};
  }
  return cause;
}

// Headers for a write that takes effect only at the version `expected`.
std::map<std::string, std::string> ConditionHeaders(std::uint64_t expected) {
  if (expected == kNoVersion) {
    return {{"If-None-Match", "*"}};
  }
  return {{"If-Match", "\"" + std::to_string(expected) + "\""}};
}

error VersionConflict(std::string_view key) {
  return {error_code::kConflict,
          "object \"" + std::string(key) + "\" has another version"};
}

result<stored_object> ToStoredObject(store_response response) {
  if (response.status_code != kOk || !response.version.has_value()) {
    return UnexpectedResponse(response, error_code::kUnavailable);
  }
  return stored_object{std::move(response.body), *response.version};
}

result<std::vector<std::string>> ParseKeyList(std::string_view body,
                                              std::size_t limit) {
  const nlohmann::json list = nlohmann::json::parse(body, nullptr, false);
  if (!list.is_array() || list.size() > limit) {
    return error{error_code::kDataLoss, "invalid list of object keys"};
  }
  std::vector<std::string> keys;
  keys.reserve(list.size());
  for (const nlohmann::json& item : list) {
    if (!item.is_string() ||
        !IsValidObjectKey(item.get_ref<const std::string&>())) {
      return error{error_code::kDataLoss, "invalid list of object keys"};
    }
    keys.push_back(item.get<std::string>());
  }
  return keys;
}

}  // namespace

http_object_store::http_object_store(http_store_options options,
                                     const clock& time_source)
    : options_(std::move(options)), time_source_(time_source) {}

result<stored_object> http_object_store::Get(std::string_view key) {
  if (!IsValidObjectKey(key)) {
    return InvalidKey(key);
  }
  store_request request;
  request.path = "/objects/" + std::string(key);
  return ReadObject(
      std::move(request), kNotFound,
      {error_code::kNotFound, "no object \"" + std::string(key) + "\""});
}

result<std::uint64_t> http_object_store::Put(std::string_view key,
                                             std::string_view value,
                                             std::uint64_t expected) {
  assert(value.size() <= kMaxObjectBytes);
  if (!IsValidObjectKey(key)) {
    return InvalidKey(key);
  }
  store_request request;
  request.method = store_method::kPut;
  request.path = "/objects/" + std::string(key);
  request.headers = ConditionHeaders(expected);
  request.body = std::string(value);
  request.max_response_bytes = kMaxObjectBytes;
  const result<store_response> response =
      ExchangeHttp(options_, time_source_, request);
  if (!IsOk(response)) {
    return ErrorOf(response);
  }
  const store_response& answer = ValueOf(response);
  if (answer.status_code == kPreconditionFailed) {
    return VersionConflict(key);
  }
  if (answer.status_code != kOk || !answer.version.has_value()) {
    return UnexpectedResponse(answer, error_code::kUnknownEffect);
  }
  return *answer.version;
}

status http_object_store::Delete(std::string_view key, std::uint64_t expected) {
  if (!IsValidObjectKey(key)) {
    return InvalidKey(key);
  }
  store_request request;
  request.method = store_method::kDelete;
  request.path = "/objects/" + std::string(key);
  request.headers = ConditionHeaders(expected);
  request.max_response_bytes = kMaxObjectBytes;
  const result<store_response> response =
      ExchangeHttp(options_, time_source_, request);
  if (!IsOk(response)) {
    return ErrorOf(response);
  }
  const store_response& answer = ValueOf(response);
  if (answer.status_code == kPreconditionFailed) {
    return VersionConflict(key);
  }
  if (answer.status_code != kNoContent) {
    return UnexpectedResponse(answer, error_code::kUnknownEffect);
  }
  return OkStatus();
}

result<std::vector<std::string>> http_object_store::List(
    std::string_view prefix,
    std::size_t limit) {
  if (!prefix.empty() && !IsValidObjectKey(prefix)) {
    return InvalidKey(prefix);
  }
  store_request request;
  request.path =
      "/list?prefix=" + std::string(prefix) + "&limit=" + std::to_string(limit);
  request.max_response_bytes = kMaxListBytes;
  const result<store_response> response =
      ExchangeHttp(options_, time_source_, request);
  if (!IsOk(response)) {
    return ReadError(ErrorOf(response));
  }
  if (ValueOf(response).status_code != kOk) {
    return UnexpectedResponse(ValueOf(response), error_code::kUnavailable);
  }
  return ParseKeyList(ValueOf(response).body, limit);
}

result<stored_object> http_object_store::WaitForChange(
    std::string_view key,
    std::uint64_t after,
    std::chrono::milliseconds timeout) {
  if (!IsValidObjectKey(key)) {
    return InvalidKey(key);
  }
  store_request request;
  request.path = "/watch/" + std::string(key) +
                 "?after=" + std::to_string(after) +
                 "&timeout_ms=" + std::to_string(timeout.count());
  request.extra_wait = timeout;
  return ReadObject(std::move(request), kNotModified,
                    {error_code::kDeadlineExceeded,
                     "no change of \"" + std::string(key) + "\""});
}

result<stored_object> http_object_store::ReadObject(store_request request,
                                                    int absent_status,
                                                    error absent) const {
  request.max_response_bytes = kMaxObjectBytes;
  result<store_response> response =
      ExchangeHttp(options_, time_source_, request);
  if (!IsOk(response)) {
    return ReadError(ErrorOf(response));
  }
  if (ValueOf(response).status_code == absent_status) {
    return absent;
  }
  return ToStoredObject(TakeValue(std::move(response)));
}

}  // namespace bulrushshore
