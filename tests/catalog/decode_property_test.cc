#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "libraries/catalog/apply.h"
#include "libraries/catalog/limits.h"
#include "libraries/catalog/part_codec.h"
#include "libraries/catalog/version_record.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

// Replaces a byte of `bytes` at a random place.
std::string Damage(std::string bytes) {
  // The full size gives every place and byte the same chance.
  const std::size_t position = *rc::gen::resize(
      rc::kNominalSize, rc::gen::inRange<std::size_t>(0, bytes.size()));
  bytes[position] = static_cast<char>(
      *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 256)));
  return bytes;
}

// Guards against damaged bytes that crash the decoder or get through with
// values that the rules of the catalog forbid.
RC_GTEST_PROP(DecodeProperty, DamagedPartsStayWithinTheRules, ()) {
  const std::variant<applied_note, line_errors> applied =
      ParseAndApplyNote({}, NoteText("n", 0, ServiceSections("archive")));
  const applied_note* const note = std::get_if<applied_note>(&applied);
  RC_ASSERT(note != nullptr);
  const std::size_t index = PartOfService("archive");
  const result<encoded_parts> parts = EncodeParts(note->contents);
  catalog_contents decoded;
  const status outcome =
      DecodePart(index, Damage(ValueOf(parts)[index]), decoded);
  RC_TAG(IsOk(outcome));
  if (!IsOk(outcome)) {
    return;
  }
  for (const std::pair<const std::string, target>& entry : decoded.targets) {
    RC_ASSERT(IsValidName(entry.second.name));
    RC_ASSERT(entry.second.slots >= 1U && entry.second.slots <= kMaxSlots);
    RC_ASSERT(entry.second.address.port != 0);
  }
  for (const std::pair<const std::string, route>& entry : decoded.routes) {
    RC_ASSERT(IsValidPathPrefix(entry.second.path_prefix));
  }
}

// Guards against random bytes that crash a decoder or are taken for a record.
RC_GTEST_PROP(DecodeProperty, RandomBytesAreRefused, (std::string bytes)) {
  catalog_contents contents;
  RC_ASSERT(!IsOk(DecodePart(0, bytes, contents)));
  RC_ASSERT(!IsOk(DecodeHead(bytes)));
  RC_ASSERT(!IsOk(DecodeNoteRecord(bytes)));
}

// Guards against note texts that crash the parser or are accepted without a
// header.
RC_GTEST_PROP(DecodeProperty, DamagedNotesDoNotCrash, ()) {
  const std::string text = Damage(NoteText("n", 0, ServiceSections("archive")));
  const std::variant<applied_note, line_errors> applied =
      ParseAndApplyNote({}, text);
  const applied_note* const note = std::get_if<applied_note>(&applied);
  if (note != nullptr) {
    RC_ASSERT(IsValidName(note->note.id));
  }
}

}  // namespace
}  // namespace bulrushshore
