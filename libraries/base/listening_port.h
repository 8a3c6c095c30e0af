#ifndef LIBRARIES_BASE_LISTENING_PORT_H_
#define LIBRARIES_BASE_LISTENING_PORT_H_

#include <cstdint>

namespace bulrushshore {

// Returns true if `number` is a port to listen on, 0 (a free one) included.
// Thread safe.
constexpr bool IsListeningPort(std::int64_t number) {
  return number >= 0 && number <= UINT16_MAX;
}

}  // namespace bulrushshore

#endif  // LIBRARIES_BASE_LISTENING_PORT_H_
