#ifndef LIBRARIES_STORE_IN_MEMORY_OBJECT_STORE_H_
#define LIBRARIES_STORE_IN_MEMORY_OBJECT_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/store/object_store.h"

namespace bulrushshore {

// Number of calls by kind, including those that failed.
struct store_call_counts {
  std::uint64_t get = 0;
  std::uint64_t put = 0;
  std::uint64_t remove = 0;
  std::uint64_t list = 0;
  std::uint64_t watch = 0;

  bool operator==(const store_call_counts&) const = default;
};

// What happens to a write whose caller gets kUnknownEffect.
enum class write_fault {
  // The write takes effect and its reply is lost.
  kLostReply,
  // The request is lost and nothing is written.
  kLostRequest,
};

// An object store in memory with faults that can be switched on, for tests and
// stand-ins. Thread safe.
class in_memory_object_store : public object_store {
 public:
  result<stored_object> Get(std::string_view key) override;
  result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t expected) override;
  status Delete(std::string_view key, std::uint64_t expected) override;
  result<std::vector<std::string>> List(std::string_view prefix,
                                        std::size_t limit) override;
  result<stored_object> WaitForChange(
      std::string_view key,
      std::uint64_t after,
      std::chrono::milliseconds timeout) override;

  // Makes every call fail with kUnavailable, waiting watches included, until
  // it is switched off.
  void SetOutage(bool is_out);

  // Applies `fault` to the next `count` writes to keys that start with
  // `prefix`. Replaces the fault set before.
  void FailWrites(std::string_view prefix, write_fault fault, int count);

  // Replaces a stored value without a new version, as a fault of the store's
  // disks would. Precondition: `key` exists.
  void CorruptValue(std::string_view key, std::string_view value);

  // Calls `hook` with the key at the start of every Put(), before its effect,
  // so that a test can act between a reader's read and its write. The hook may
  // use the store.
  void SetPutHook(std::function<void(std::string_view)> hook);

  store_call_counts call_counts() const;

 private:
  struct pending_write_fault {
    std::string prefix;
    write_fault fault = write_fault::kLostReply;
    int remaining = 0;
  };

  using object_map = std::map<std::string, stored_object, std::less<>>;

  // All private methods need the lock.
  bool TakeFault(std::string_view key, write_fault fault);
  std::uint64_t VersionOf(std::string_view key) const;

  mutable std::mutex mutex_;
  std::condition_variable changed_;
  object_map objects_;
  // One sequence for all keys, so that a key that is deleted and created again
  // gets a higher version.
  std::uint64_t last_version_ = 0;
  bool is_out_ = false;
  pending_write_fault write_fault_;
  std::function<void(std::string_view)> put_hook_;
  store_call_counts counts_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_IN_MEMORY_OBJECT_STORE_H_
