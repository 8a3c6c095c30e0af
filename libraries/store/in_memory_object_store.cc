#include "libraries/store/in_memory_object_store.h"

#include <cassert>
#include <utility>

#include "libraries/store/object_key.h"

namespace bulrushshore {
namespace {

error OutOfService() {
  return {error_code::kUnavailable, "the object store is out of service"};
}

error LostReply() {
  return {error_code::kUnknownEffect, "the reply of the object store was lost"};
}

error NotFound(std::string_view key) {
  return {error_code::kNotFound, "no object \"" + std::string(key) + "\""};
}

error VersionConflict(std::string_view key,
                      std::uint64_t expected,
                      std::uint64_t actual) {
  return {error_code::kConflict, "object \"" + std::string(key) +
                                     "\" has version " +
                                     std::to_string(actual) + ", expected " +
                                     std::to_string(expected)};
}

}  // namespace

result<stored_object> in_memory_object_store::Get(std::string_view key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++counts_.get;
  if (is_out_) {
    return OutOfService();
  }
  const auto found = objects_.find(key);
  if (found == objects_.end()) {
    return NotFound(key);
  }
  return found->second;
}

result<std::uint64_t> in_memory_object_store::Put(std::string_view key,
                                                  std::string_view value,
                                                  std::uint64_t expected) {
  assert(IsValidObjectKey(key));
  assert(value.size() <= kMaxObjectBytes);
  std::unique_lock<std::mutex> lock(mutex_);
  ++counts_.put;
  if (put_hook_) {
    const std::function<void(std::string_view)> hook = put_hook_;
    lock.unlock();
    hook(key);
    lock.lock();
  }
  if (is_out_) {
    return OutOfService();
  }
  if (TakeFault(key, write_fault::kLostRequest)) {
    return LostReply();
  }
  if (VersionOf(key) != expected) {
    return VersionConflict(key, expected, VersionOf(key));
  }
  ++last_version_;
  objects_.insert_or_assign(std::string(key),
                            stored_object{std::string(value), last_version_});
  changed_.notify_all();
  if (TakeFault(key, write_fault::kLostReply)) {
    return LostReply();
  }
  return last_version_;
}

status in_memory_object_store::Delete(std::string_view key,
                                      std::uint64_t expected) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++counts_.remove;
  if (is_out_) {
    return OutOfService();
  }
  if (TakeFault(key, write_fault::kLostRequest)) {
    return LostReply();
  }
  const auto found = objects_.find(key);
  if (found == objects_.end() || found->second.version != expected) {
    return VersionConflict(key, expected, VersionOf(key));
  }
  objects_.erase(found);
  if (TakeFault(key, write_fault::kLostReply)) {
    return LostReply();
  }
  return OkStatus();
}

result<std::vector<std::string>> in_memory_object_store::List(
    std::string_view prefix,
    std::size_t limit) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++counts_.list;
  if (is_out_) {
    return OutOfService();
  }
  std::vector<std::string> keys;
  for (auto object = objects_.lower_bound(prefix);
       object != objects_.end() && keys.size() < limit &&
       object->first.starts_with(prefix);
       ++object) {
    keys.push_back(object->first);
  }
  return keys;
}

result<stored_object> in_memory_object_store::WaitForChange(
    std::string_view key,
    std::uint64_t after,
    std::chrono::milliseconds timeout) {
  std::unique_lock<std::mutex> lock(mutex_);
  ++counts_.watch;
  const bool is_done = changed_.wait_for(
      lock, timeout, [&] { return is_out_ || VersionOf(key) > after; });
  if (is_out_) {
    return OutOfService();
  }
  if (!is_done) {
    return error{error_code::kDeadlineExceeded,
                 "no change of \"" + std::string(key) + "\""};
  }
  return objects_.find(key)->second;
}

void in_memory_object_store::SetOutage(bool is_out) {
  const std::lock_guard<std::mutex> lock(mutex_);
  is_out_ = is_out;
  changed_.notify_all();
}

void in_memory_object_store::FailWrites(std::string_view prefix,
                                        write_fault fault,
                                        int count) {
  const std::lock_guard<std::mutex> lock(mutex_);
  write_fault_ = {std::string(prefix), fault, count};
}

void in_memory_object_store::CorruptValue(std::string_view key,
                                          std::string_view value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = objects_.find(key);
  assert(found != objects_.end());
  found->second.value = std::string(value);
}

void in_memory_object_store::SetPutHook(
    std::function<void(std::string_view)> hook) {
  const std::lock_guard<std::mutex> lock(mutex_);
  put_hook_ = std::move(hook);
}

store_call_counts in_memory_object_store::call_counts() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return counts_;
}

bool in_memory_object_store::TakeFault(std::string_view key,
                                       write_fault fault) {
  if (write_fault_.remaining <= 0 || write_fault_.fault != fault ||
      !key.starts_with(write_fault_.prefix)) {
    return false;
  }
  --write_fault_.remaining;
  return true;
}

std::uint64_t in_memory_object_store::VersionOf(std::string_view key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? kNoVersion : found->second.version;
}

}  // namespace bulrushshore
