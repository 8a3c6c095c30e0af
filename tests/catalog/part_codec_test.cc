#include "libraries/catalog/part_codec.h"

#include <algorithm>

#include <gtest/gtest.h>

#include "libraries/catalog/cbor_record.h"
#include "libraries/catalog/limits.h"
#include "libraries/catalog/version_record.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

// The limit that the platform sets on a stored value.
constexpr std::size_t kPlatformValueLimit = 1'000'000;

encoded_parts EncodeOrFail(const catalog_contents& contents) {
  const result<encoded_parts> parts = EncodeParts(contents);
  EXPECT_TRUE(IsOk(parts));
  return IsOk(parts) ? ValueOf(parts) : encoded_parts{};
}

catalog_contents DecodeOrFail(const encoded_parts& parts) {
  catalog_contents contents;
  for (std::size_t index = 0; index < kPartCount; ++index) {
    if (!parts[index].empty()) {
      EXPECT_TRUE(IsOk(DecodePart(index, parts[index], contents)));
    }
  }
  return contents;
}

std::size_t CountDifferences(const part_digests& left,
                             const part_digests& right) {
  std::size_t count = 0;
  for (std::size_t index = 0; index < kPartCount; ++index) {
    count += left[index] == right[index] ? 0 : 1;
  }
  return count;
}

// Guards against parts above the platform's value limit at the design's size,
// and against values that change on the way through the store.
TEST(PartCodecTest, FullSizeCatalogFitsAndSurvives) {
  const catalog_contents contents = FullSizeContents();
  ASSERT_TRUE(CheckReferences(contents).empty());
  const encoded_parts parts = EncodeOrFail(contents);
  std::size_t largest = 0;
  std::size_t total = 0;
  for (const std::string& part : parts) {
    largest = std::max(largest, part.size());
    total += part.size();
  }
  RecordProperty("largest_part_bytes", std::to_string(largest));
  RecordProperty("total_bytes", std::to_string(total));
  EXPECT_LT(largest, kPlatformValueLimit / 4);
  EXPECT_EQ(DecodeOrFail(parts), contents);
}

// Guards against changes that rewrite more of the catalog than they touch.
TEST(PartCodecTest, OneChangeRewritesOneOrTwoParts) {
  const catalog_contents before = FullSizeContents();
  const part_digests digests = DigestParts(EncodeOrFail(before));
  catalog_contents drained = before;
  drained.targets.begin()->second.state = target_state::kDraining;
  EXPECT_EQ(CountDifferences(digests, DigestParts(EncodeOrFail(drained))), 1U);
  catalog_contents weighted = before;
  organisation reweighted = weighted.organisations.Sorted().front();
  reweighted.weight = 9;
  weighted.organisations.Set(reweighted);
  EXPECT_EQ(CountDifferences(digests, DigestParts(EncodeOrFail(weighted))), 1U);
  catalog_contents rerouted = before;
  route& moved = rerouted.routes.begin()->second;
  for (const std::pair<const std::string, service>& entry : before.services) {
    if (PartOfService(entry.first) != PartOfService(moved.service)) {
      moved.service = entry.first;
      break;
    }
  }
  EXPECT_EQ(CountDifferences(digests, DigestParts(EncodeOrFail(rerouted))), 2U);
}

// Guards against a hash that differs between builds, which would make hosts of
// one release refuse the parts of another.
TEST(PartCodecTest, PartNumbersAreFixed) {
  EXPECT_EQ(PartOfService("archive"), 13U);
  EXPECT_EQ(PartOfOrganisation("reseller-17"), 52U);
}

// Guards against decoding that trusts types, ranges, places or unknown keys.
TEST(PartCodecTest, RefusesInvalidParts) {
  catalog_contents contents;
  contents.services["archive"].name = "archive";
  const std::size_t index = PartOfService("archive");
  const std::string good = EncodeOrFail(contents)[index];
  const nlohmann::json tree = nlohmann::json::from_cbor(good);
  std::vector<nlohmann::json> faulty(8, tree);
  faulty[0]["services"][0]["floor_percent"] = 101;
  faulty[1]["services"][0]["floor_percent"] = "70";
  faulty[2]["services"][0]["queue_limit"] = UINT64_MAX;
  faulty[3]["services"][0].erase("timeout_ms");
  faulty[4]["services"][0]["extra"] = 1;
  faulty[5]["services"].push_back(faulty[5]["services"][0]);
  faulty[6]["format"] = 2;
  faulty[7]["part"] = index + 1;
  for (const nlohmann::json& value : faulty) {
    catalog_contents decoded;
    EXPECT_FALSE(IsOk(DecodePart(index, EncodeCbor(value), decoded))) << value;
  }
  catalog_contents decoded;
  EXPECT_TRUE(IsOk(DecodePart(index, good, decoded)));
  EXPECT_FALSE(IsOk(DecodePart(index, good.substr(1), decoded)));
  EXPECT_FALSE(
      IsOk(DecodePart((index + 1) % kServicePartCount, good, decoded)));
  EXPECT_FALSE(
      IsOk(DecodePart(index, std::string(kMaxPartBytes + 1, 'x'), decoded)));
}

// Guards against an object that an attacker or a fault put into a part where
// nobody looks for it.
TEST(PartCodecTest, RefusesObjectsOfOtherParts) {
  catalog_contents contents;
  contents.services["archive"].name = "archive";
  const std::size_t index = PartOfService("archive");
  nlohmann::json tree =
      nlohmann::json::from_cbor(EncodeOrFail(contents)[index]);
  tree["services"][0]["name"] = "archive-2";
  ASSERT_NE(PartOfService("archive-2"), index);
  catalog_contents decoded;
  EXPECT_FALSE(IsOk(DecodePart(index, EncodeCbor(tree), decoded)));
}

// Guards against one service whose targets do not fit one part.
TEST(PartCodecTest, RefusesPartsAboveTheLimit) {
  catalog_contents contents;
  contents.services["a"].name = "a";
  for (int index = 0; index < 10'000; ++index) {
    target value;
    value.service = "a";
    value.name = "t-" + std::to_string(index);
    value.address = {"10.0.0.1", 9000};
    value.zone = "z";
    contents.targets.emplace(TargetKey(value.service, value.name), value);
  }
  const result<encoded_parts> parts = EncodeParts(contents);
  ASSERT_FALSE(IsOk(parts));
  EXPECT_EQ(ErrorOf(parts).code, error_code::kResourceExhausted);
}

// Guards against heads and note records that change on the way through the
// store, and against chains that skip or repeat a version.
TEST(VersionRecordTest, SurviveAndAreChecked) {
  const std::string digest(64, 'a');
  catalog_head head{3, "note-3", digest, {}};
  head.parts[5] = digest;
  const result<catalog_head> decoded_head = DecodeHead(EncodeHead(head));
  ASSERT_TRUE(IsOk(decoded_head));
  EXPECT_EQ(ValueOf(decoded_head), head);
  head.parts[5] = "short";
  EXPECT_FALSE(IsOk(DecodeHead(EncodeHead(head))));

  note_record record{"note-3", "maaike", 2, 3, digest, 1000, "text", {}};
  const result<note_record> decoded =
      DecodeNoteRecord(EncodeNoteRecord(record));
  ASSERT_TRUE(IsOk(decoded));
  EXPECT_EQ(ValueOf(decoded), record);
  record.version = 4;
  EXPECT_FALSE(IsOk(DecodeNoteRecord(EncodeNoteRecord(record))));
  record.version = 3;
  record.previous_digest = "";
  EXPECT_FALSE(IsOk(DecodeNoteRecord(EncodeNoteRecord(record))));
}

}  // namespace
}  // namespace bulrushshore
