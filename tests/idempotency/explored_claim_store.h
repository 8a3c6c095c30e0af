#ifndef TESTS_IDEMPOTENCY_EXPLORED_CLAIM_STORE_H_
#define TESTS_IDEMPOTENCY_EXPLORED_CLAIM_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "libraries/store/object_store.h"

namespace bulrushshore {

// How the object store treats one claim.
enum class store_behaviour { kWorks, kOutage, kLosesReply, kLosesRequest };

// An object store for the one object of a state that binds the foreign key.
class explored_claim_store : public object_store {
 public:
  // Preconditions: `object` outlives this store. `before_write`, which may be
  // empty, is called once at the start of the first write.
  explored_claim_store(std::optional<std::string>& object,
                       store_behaviour behaviour,
                       bool is_conditional,
                       std::function<void()> before_write)
      : object_(object),
        behaviour_(behaviour),
        is_conditional_(is_conditional),
        before_write_(std::move(before_write)) {}

  result<stored_object> Get(std::string_view /*key*/) override {
    if (behaviour_ == store_behaviour::kOutage) {
      return Unavailable();
    }
    if (!object_.has_value()) {
      return error{error_code::kNotFound, "no claim"};
    }
    return stored_object{*object_, 1};
  }

  result<std::uint64_t> Put(std::string_view /*key*/,
                            std::string_view value,
                            std::uint64_t /*expected*/) override {
    if (before_write_ != nullptr) {
      std::exchange(before_write_, nullptr)();
    }
    if (behaviour_ == store_behaviour::kLosesRequest) {
      return error{error_code::kUnknownEffect, "lost"};
    }
    if (is_conditional_ && object_.has_value()) {
      return error{error_code::kConflict, "the claim exists"};
    }
    object_ = std::string(value);
    if (behaviour_ == store_behaviour::kLosesReply) {
      return error{error_code::kUnknownEffect, "lost"};
    }
    return std::uint64_t{1};
  }

  status Delete(std::string_view /*key*/, std::uint64_t /*expected*/) override {
    return Unavailable();
  }

  result<std::vector<std::string>> List(std::string_view /*prefix*/,
                                        std::size_t /*limit*/) override {
    return Unavailable();
  }

  result<stored_object> WaitForChange(
      std::string_view /*key*/,
      std::uint64_t /*after*/,
      std::chrono::milliseconds /*timeout*/) override {
    return Unavailable();
  }

 private:
  static error Unavailable() {
    return error{error_code::kUnavailable, "outage"};
  }

  std::optional<std::string>& object_;
  const store_behaviour behaviour_;
  const bool is_conditional_;
  std::function<void()> before_write_;
};

}  // namespace bulrushshore

#endif  // TESTS_IDEMPOTENCY_EXPLORED_CLAIM_STORE_H_
