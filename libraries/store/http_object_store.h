#ifndef LIBRARIES_STORE_HTTP_OBJECT_STORE_H_
#define LIBRARIES_STORE_HTTP_OBJECT_STORE_H_

#include "libraries/base/clock.h"
#include "libraries/store/http_exchange.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

// Speaks the HTTP form of the object store, see docs/store.md. A key that is
// not valid gives kInvalidArgument. Thread safe.
class http_object_store : public object_store {
 public:
  // Precondition: `time_source` outlives this object.
  http_object_store(http_store_options options, const clock& time_source);

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

 private:
  // Sends `request` and returns the object in the response, or `absent` if its
  // status is `absent_status`.
  result<stored_object> ReadObject(store_request request,
                                   int absent_status,
                                   error absent) const;

  const http_store_options options_;
  const clock& time_source_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_HTTP_OBJECT_STORE_H_
