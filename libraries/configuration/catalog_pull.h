#ifndef LIBRARIES_CONFIGURATION_CATALOG_PULL_H_
#define LIBRARIES_CONFIGURATION_CATALOG_PULL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/result.h"
#include "libraries/peer_protocol/messages.h"
#include "libraries/store/catalog_bundle.h"

namespace bulrushshore {

// Assembles a catalog from the slices that one peer sends: first the head,
// then the parts that are not held yet. Not thread safe.
class catalog_pull {
 public:
  // Takes from `known` the parts that did not change.
  explicit catalog_pull(catalog_bundle known);

  // Returns the requests to be sent now; a few are in flight at a time.
  std::vector<parts_request_message> TakeRequests();

  // Takes the reply to a request. An error ends the pull: kNotFound if the peer
  // no longer has the part, kDataLoss if the peer's data is invalid,
  // kResourceExhausted if it is too large.
  status OnReply(const parts_request_message& request,
                 const parts_reply_message& reply);

  bool is_complete() const;

  // Returns the assembled catalog. Precondition: is_complete().
  catalog_bundle TakeCatalog();

 private:
  status TakeHead(std::string head);
  status TakePart(const std::string& digest, std::string bytes);

  catalog_bundle known_;
  catalog_bundle catalog_;
  bool has_head_ = false;
  std::deque<parts_request_message> waiting_;
  std::size_t in_flight_ = 0;
  std::size_t total_bytes_ = 0;
  // Slices of values that are not complete, by digest.
  std::map<std::string, std::string> partial_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_CONFIGURATION_CATALOG_PULL_H_
