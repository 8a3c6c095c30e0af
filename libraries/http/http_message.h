#ifndef LIBRARIES_HTTP_HTTP_MESSAGE_H_
#define LIBRARIES_HTTP_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushshore {

struct http_header {
  std::string name;
  std::string value;

  bool operator==(const http_header&) const = default;
};

// Header fields in the order in which they were received; names compare
// without regard to case. Not thread safe.
class http_headers {
 public:
  void Add(std::string_view name, std::string_view value);

  // Replaces all fields named `name` by one.
  void Set(std::string_view name, std::string_view value);

  void Remove(std::string_view name);

  // Removes the fields for which `is_removed` returns true.
  template <typename Predicate>
  void RemoveIf(Predicate is_removed) {
    std::erase_if(fields_, is_removed);
  }

  // Returns the value of the first field named `name`.
  std::optional<std::string> Find(std::string_view name) const;

  // Returns the number of fields named `name`.
  std::size_t Count(std::string_view name) const;

  const std::vector<http_header>& fields() const { return fields_; }

 private:
  std::vector<http_header> fields_;
};

// A request between the caller and a target.
struct proxy_request {
  std::string method;
  // Origin form, as in the request line.
  std::string target;
  http_headers headers;
  std::string body;
};

// `body` is complete. Framing headers are not part of `headers`, except that a
// response to HEAD may carry the Content-Length of the target.
struct proxy_response {
  int status = 0;
  http_headers headers;
  std::string body;
};

// Compares ASCII texts without regard to case. Thread safe.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Returns `text` without spaces and tabs at both ends. Thread safe.
std::string_view TrimWhitespace(std::string_view text);

// Returns true if the comma-separated `list` has the element `token`, without
// regard to case. Thread safe.
bool HasListElement(std::string_view list, std::string_view token);

// Removes the fields that belong to one connection (RFC 9110, section 7.6.1),
// those named by Connection included, and the framing fields Content-Length
// and Transfer-Encoding. Thread safe.
void RemoveHopByHopHeaders(http_headers& headers);

// Parses a decimal number without sign; nothing if it is faulty or does not
// fit into 64 bits. Thread safe.
std::optional<std::uint64_t> ParseDecimal(std::string_view text);

}  // namespace bulrushshore

#endif  // LIBRARIES_HTTP_HTTP_MESSAGE_H_
