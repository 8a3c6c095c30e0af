#include "libraries/configuration/catalog_pull.h"

#include <cassert>
#include <utility>

#include "libraries/catalog/digest.h"

namespace bulrushshore {
namespace {

constexpr std::size_t kMaxInFlight = 4;
// Three times a full-size configuration.
constexpr std::size_t kMaxCatalogBytes = 16'777'216;

}  // namespace

catalog_pull::catalog_pull(catalog_bundle known) : known_(std::move(known)) {
  waiting_.push_back({});
}

std::vector<parts_request_message> catalog_pull::TakeRequests() {
  std::vector<parts_request_message> requests;
  while (!waiting_.empty() && in_flight_ < kMaxInFlight) {
    requests.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
    ++in_flight_;
  }
  return requests;
}

status catalog_pull::OnReply(const parts_request_message& request,
                             const parts_reply_message& reply) {
  --in_flight_;
  if (!reply.is_found) {
    return error{error_code::kNotFound, "the peer does not hold the part"};
  }
  std::string& value = partial_[request.digest];
  const bool is_next_slice = reply.digest == request.digest &&
                             reply.offset == value.size() &&
                             !reply.bytes.empty();
  if (!is_next_slice) {
    return error{error_code::kDataLoss, "the peer sent another slice"};
  }
  total_bytes_ += reply.bytes.size();
  if (total_bytes_ > kMaxCatalogBytes) {
    return error{error_code::kResourceExhausted, "the catalog is too large"};
  }
  value += reply.bytes;
  if (value.size() < reply.total_bytes) {
    waiting_.push_front({request.digest, value.size(), false});
    return OkStatus();
  }
  std::string complete = std::move(value);
  partial_.erase(request.digest);
  return request.digest.empty() ? TakeHead(std::move(complete))
                                : TakePart(request.digest, std::move(complete));
}

bool catalog_pull::is_complete() const {
  return has_head_ && waiting_.empty() && in_flight_ == 0;
}

catalog_bundle catalog_pull::TakeCatalog() {
  assert(is_complete());
  return std::move(catalog_);
}

status catalog_pull::TakeHead(std::string head) {
  const result<std::vector<std::string>> missing = MissingParts(head, known_);
  if (!IsOk(missing)) {
    return ErrorOf(missing);
  }
  for (const std::string& digest : ValueOf(missing)) {
    waiting_.push_back({digest, 0, false});
  }
  const result<std::vector<std::string>> named = MissingParts(head, {});
  for (const std::string& digest : ValueOf(named)) {
    const auto position = known_.parts.find(digest);
    if (position != known_.parts.end()) {
      catalog_.parts.insert(*position);
    }
  }
  catalog_.head = std::move(head);
  has_head_ = true;
  return OkStatus();
}

status catalog_pull::TakePart(const std::string& digest, std::string bytes) {
  if (Sha256Hex(bytes) != digest) {
    return error{error_code::kDataLoss, "a part does not have its digest"};
  }
  catalog_.parts[digest] =
      std::make_shared<const std::string>(std::move(bytes));
  return OkStatus();
}

}  // namespace bulrushshore
