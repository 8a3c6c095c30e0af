#include "libraries/store/catalog_publisher.h"

#include <utility>

#include "libraries/catalog/apply.h"
#include "libraries/catalog/digest.h"
#include "libraries/catalog/part_codec.h"
#include "libraries/catalog/version_record.h"
#include "libraries/store/catalog_bundle.h"
#include "libraries/store/catalog_reader.h"
#include "libraries/store/immutable_object.h"
#include "libraries/store/note_chain.h"
#include "libraries/store/object_key.h"

namespace bulrushshore {
namespace {

// Attempts at the conditional update of the head. Each is safe to repeat,
// because it takes effect only on the version of the head that the note was
// applied to.
constexpr int kMaxHeadAttempts = 3;

// Reads the contents of the catalog whose head object is `head_bytes`.
result<catalog_contents> ReadContents(object_store& store,
                                      std::string_view head_bytes) {
  if (head_bytes.empty()) {
    return catalog_contents{};
  }
  const result<catalog_bundle> bundle = FetchBundle(store, head_bytes, {});
  if (!IsOk(bundle)) {
    return ErrorOf(bundle);
  }
  result<catalog_snapshot> snapshot = BuildSnapshot(ValueOf(bundle));
  if (!IsOk(snapshot)) {
    return ErrorOf(snapshot);
  }
  return std::move(ValueOf(snapshot).contents);
}

// Reads the contents of the version that `record` describes.
result<catalog_contents> ReadContents(object_store& store,
                                      const note_record& record) {
  const std::string digest = Sha256Hex(EncodeNoteRecord(record));
  return ReadContents(
      store, EncodeHead({record.version, record.id, digest, record.parts}));
}

// One attempt to publish one note.
class publication {
 public:
  publication(object_store& store,
              std::string_view text,
              std::int64_t published_unix_ms)
      : store_(store), text_(text), published_unix_ms_(published_unix_ms) {}

  publish_outcome Run() {
    parsed_note parsed = ParseReleaseNote(text_);
    note_ = std::move(parsed.note);
    outcome_.note_id = note_.id;
    result<observed_head> observed = ReadHead(store_);
    if (!IsOk(observed)) {
      // A note whose faults show without the store is rejected all the same.
      return parsed.errors.empty() ? Unavailable(ErrorOf(observed))
                                   : Rejected(std::move(parsed.errors));
    }
    observed_ = TakeValue(std::move(observed));
    if (parsed.errors.empty() && note_.base_version != observed_.head.version) {
      return SettleByChain();
    }
    return ApplyAndWrite();
  }

 private:
  publish_outcome ApplyAndWrite() {
    const result<catalog_contents> current =
        ReadContents(store_, observed_.bytes);
    if (!IsOk(current)) {
      return Unavailable(ErrorOf(current));
    }
    std::variant<applied_note, line_errors> applied =
        ParseAndApplyNote(ValueOf(current), text_);
    if (line_errors* const errors = std::get_if<line_errors>(&applied)) {
      return Rejected(std::move(*errors));
    }
    applied_note& accepted = *std::get_if<applied_note>(&applied);
    outcome_.warnings = std::move(accepted.warnings);
    const result<encoded_parts> parts = EncodeParts(accepted.contents);
    if (!IsOk(parts)) {
      return Rejected({{0, ErrorOf(parts).message}});
    }
    return Write(ValueOf(parts));
  }

  publish_outcome Write(const encoded_parts& parts) {
    const part_digests digests = DigestParts(parts);
    for (std::size_t index = 0; index < kPartCount; ++index) {
      if (digests[index] == observed_.head.parts[index] ||
          digests[index].empty()) {
        continue;
      }
      const status written = PutImmutableObject(
          store_, CatalogPartKey(digests[index]), parts[index]);
      if (!IsOk(written)) {
        return Unavailable(ErrorOf(written));
      }
    }
    note_record record;
    record.id = note_.id;
    record.author = note_.author;
    record.base_version = note_.base_version;
    record.version = note_.base_version + 1;
    record.previous_digest = observed_.head.note_digest;
    record.published_unix_ms = published_unix_ms_;
    record.text = std::string(text_);
    record.parts = digests;
    const std::string record_bytes = EncodeNoteRecord(record);
    const std::string record_digest = Sha256Hex(record_bytes);
    const status written =
        PutImmutableObject(store_, CatalogNoteKey(record_digest), record_bytes);
    if (!IsOk(written)) {
      return Unavailable(ErrorOf(written));
    }
    return UpdateHead({record.version, record.id, record_digest, digests});
  }

  publish_outcome UpdateHead(const catalog_head& head) {
    const std::string bytes = EncodeHead(head);
    for (int attempt = 0; attempt < kMaxHeadAttempts; ++attempt) {
      const result<std::uint64_t> written =
          store_.Put(kCatalogHeadKey, bytes, observed_.object_version);
      if (IsOk(written)) {
        return Accepted(head.version);
      }
      const error& cause = ErrorOf(written);
      if (cause.code != error_code::kConflict &&
          cause.code != error_code::kUnknownEffect) {
        return Unavailable(cause);
      }
      is_effect_unknown_ |= cause.code == error_code::kUnknownEffect;
      const result<observed_head> now = ReadHead(store_);
      if (!IsOk(now)) {
        return Unavailable(ErrorOf(now));
      }
      if (ValueOf(now).object_version != observed_.object_version) {
        observed_ = ValueOf(now);
        return SettleByChain();
      }
    }
    return NotKnownYet("the store keeps losing replies");
  }

  // The head is not the one that the note was written for. Either an earlier
  // attempt has published this note, or another note came first.
  publish_outcome SettleByChain() {
    result<chain_search> search =
        SearchChain(store_, observed_.head, note_.id, note_.base_version);
    if (!IsOk(search)) {
      return Unavailable(ErrorOf(search));
    }
    const chain_search& found = ValueOf(search);
    if (found.is_cut_off) {
      return NotKnownYet("more than " + std::to_string(kMaxChainSteps) +
                         " notes were accepted since base_version");
    }
    if (!found.note.has_value()) {
      return Conflict(found.end);
    }
    if (found.note->text != text_) {
      return Rejected({{0, "note id \"" + note_.id +
                               "\" was used for another note, version " +
                               std::to_string(found.note->version)}});
    }
    outcome_.was_published_before = !is_effect_unknown_;
    return Accepted(found.note->version);
  }

  publish_outcome Conflict(const std::optional<note_record>& base) {
    outcome_.result = publish_result::kRejected;
    outcome_.is_conflict = true;
    outcome_.newest_version = observed_.head.version;
    outcome_.message = "base_version is " + std::to_string(note_.base_version) +
                       ", but the newest version is " +
                       std::to_string(observed_.head.version);
    if (note_.base_version > observed_.head.version) {
      return std::move(outcome_);
    }
    const result<catalog_contents> before =
        base.has_value() ? ReadContents(store_, *base) : catalog_contents{};
    const result<catalog_contents> after =
        ReadContents(store_, observed_.bytes);
    if (!IsOk(before) || !IsOk(after)) {
      outcome_.message += "; the difference could not be read: " +
                          ErrorOf(IsOk(before) ? after : before).message;
      return std::move(outcome_);
    }
    outcome_.changes_since_base = DiffCatalogs(ValueOf(before), ValueOf(after));
    return std::move(outcome_);
  }

  publish_outcome Accepted(std::uint64_t version) {
    outcome_.result = publish_result::kAccepted;
    outcome_.version = version;
    return std::move(outcome_);
  }

  publish_outcome Rejected(line_errors errors) {
    outcome_.result = publish_result::kRejected;
    outcome_.message = "the note has faults";
    outcome_.errors = std::move(errors);
    return std::move(outcome_);
  }

  publish_outcome NotKnownYet(const std::string& reason) {
    outcome_.result = publish_result::kNotKnownYet;
    outcome_.message = reason;
    return std::move(outcome_);
  }

  // The store failed. The note is in force only if the head was written.
  publish_outcome Unavailable(const error& cause) {
    if (is_effect_unknown_) {
      return NotKnownYet(cause.message);
    }
    outcome_.result = publish_result::kUnavailable;
    outcome_.message = cause.message;
    return std::move(outcome_);
  }

  object_store& store_;
  const std::string_view text_;
  const std::int64_t published_unix_ms_;
  release_note note_;
  observed_head observed_;
  // An update of the head may have taken effect.
  bool is_effect_unknown_ = false;
  publish_outcome outcome_;
};

}  // namespace

std::string_view PublishResultName(publish_result value) {
  switch (value) {
    case publish_result::kAccepted:
      return "accepted";
    case publish_result::kRejected:
      return "rejected";
    case publish_result::kNotKnownYet:
      return "not_known_yet";
    case publish_result::kUnavailable:
      return "unavailable";
  }
  return "unavailable";
}

catalog_publisher::catalog_publisher(object_store& store) : store_(store) {}

publish_outcome catalog_publisher::Publish(std::string_view text,
                                           std::int64_t published_unix_ms) {
  return publication(store_, text, published_unix_ms).Run();
}

}  // namespace bulrushshore
