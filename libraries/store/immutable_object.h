#ifndef LIBRARIES_STORE_IMMUTABLE_OBJECT_H_
#define LIBRARIES_STORE_IMMUTABLE_OBJECT_H_

#include <string_view>

#include "libraries/base/result.h"
#include "libraries/store/object_store.h"

namespace bulrushshore {

// Makes sure that `key`, which is derived from the digest of `value`, holds
// `value`. A lost reply is settled by reading the object back; an object that
// exists with other bytes is corrupt and is replaced. Errors of the store;
// kUnavailable if its replies keep getting lost. Thread safe.
// Precondition: value.size() <= kMaxObjectBytes.
status PutImmutableObject(object_store& store,
                          std::string_view key,
                          std::string_view value);

}  // namespace bulrushshore

#endif  // LIBRARIES_STORE_IMMUTABLE_OBJECT_H_
