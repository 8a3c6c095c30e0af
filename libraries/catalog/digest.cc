#include "libraries/catalog/digest.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace bulrushshore {

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> buffer{};
  unsigned int length = 0;
  const int is_done = EVP_Digest(bytes.data(), bytes.size(), buffer.data(),
                                 &length, EVP_sha256(), nullptr);
  assert(is_done == 1);
  static_cast<void>(is_done);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(kDigestLength);
  for (unsigned int index = 0; index < length; ++index) {
    text += kDigits[buffer[index] >> 4U];
    text += kDigits[buffer[index] & 0x0fU];
  }
  return text;
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestLength &&
         std::all_of(text.begin(), text.end(), [](char digit) {
           return (digit >= '0' && digit <= '9') ||
                  (digit >= 'a' && digit <= 'f');
         });
}

}  // namespace bulrushshore
