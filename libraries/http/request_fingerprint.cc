#include "libraries/http/request_fingerprint.h"

#include <string>

#include <xxhash.h>

namespace bulrushshore {

std::uint64_t FingerprintOf(const request_identity& identity) {
  // None of these parts contains a line break, so no two identities have the
  // same head.
  std::string head;
  head.append(identity.method).append(" ").append(identity.target).append("\n");
  // Hosts of earlier versions hash only the method, the target and the body.
  // Fingerprints without the other parts remain equal to theirs.
  if (!identity.host_name.empty() || !identity.service.empty()) {
    head.append(identity.host_name).append("\n");
    head.append(identity.service).append("\n");
  }
  const XXH64_hash_t head_hash = XXH3_64bits(head.data(), head.size());
  return XXH3_64bits_withSeed(identity.body.data(), identity.body.size(),
                              head_hash);
}

}  // namespace bulrushshore
