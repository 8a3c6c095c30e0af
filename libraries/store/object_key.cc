#include "libraries/store/object_key.h"

#include <algorithm>

namespace bulrushshore {
namespace {

constexpr std::string_view kPunctuation = "/._-";

}  // namespace

bool IsValidObjectKey(std::string_view key) {
  return !key.empty() && key.size() <= kMaxObjectKeyLength &&
         std::all_of(key.begin(), key.end(), [](char character) {
           return (character >= 'a' && character <= 'z') ||
                  (character >= 'A' && character <= 'Z') ||
                  (character >= '0' && character <= '9') ||
                  kPunctuation.find(character) != std::string_view::npos;
         });
}

std::string CatalogPartKey(std::string_view digest) {
  return "catalog/part/" + std::string(digest);
}

std::string CatalogNoteKey(std::string_view digest) {
  return "catalog/note/" + std::string(digest);
}

}  // namespace bulrushshore
