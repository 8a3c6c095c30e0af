#include "libraries/store/catalog_reader.h"

#include <gtest/gtest.h>

#include "libraries/store/catalog_publisher.h"
#include "libraries/store/in_memory_object_store.h"
#include "libraries/store/object_key.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

class CatalogReaderTest : public testing::Test {
 protected:
  void PublishService(std::string_view name, std::uint64_t base_version) {
    const publish_outcome outcome = catalog_publisher(store_).Publish(
        NoteText("add-" + std::string(name), base_version,
                 ServiceSections(name)),
        0);
    ASSERT_EQ(outcome.result, publish_result::kAccepted) << outcome.message;
  }

  in_memory_object_store store_;
  catalog_reader reader_{store_};
};

// Guards against hosts that read the whole catalog for every change, which the
// store's rates do not allow at 600 hosts.
TEST_F(CatalogReaderTest, ReadsOnlyTheHeadAndTheChangedParts) {
  PublishService("archive", 0);
  ASSERT_TRUE(IsOk(reader_.Refresh()));
  PublishService("photo", 1);
  const std::uint64_t before = store_.call_counts().get;
  ASSERT_TRUE(IsOk(reader_.Refresh()));
  EXPECT_EQ(store_.call_counts().get, before + 2);
  ASSERT_TRUE(IsOk(reader_.Refresh()));
  EXPECT_EQ(store_.call_counts().get, before + 3);
  EXPECT_EQ(reader_.snapshot()->contents.services.size(), 2U);
}

// Guards against an empty store that a new fleet cannot start with.
TEST_F(CatalogReaderTest, StartsWithTheEmptyVersion) {
  ASSERT_TRUE(IsOk(reader_.Refresh()));
  EXPECT_EQ(reader_.snapshot()->version, 0U);
  EXPECT_TRUE(IsOk(BuildSnapshot(reader_.bundle())));
}

// Guards against a host that loses or reverts its configuration when the store
// is out of service, lost its objects or serves an old head.
TEST_F(CatalogReaderTest, NeverGoesBack) {
  PublishService("archive", 0);
  const stored_object old_head = ValueOf(store_.Get(kCatalogHeadKey));
  PublishService("photo", 1);
  ASSERT_TRUE(IsOk(reader_.Refresh()));
  store_.SetOutage(true);
  EXPECT_FALSE(IsOk(reader_.Refresh()));
  store_.SetOutage(false);
  store_.CorruptValue(kCatalogHeadKey, old_head.value);
  const result<std::shared_ptr<const catalog_snapshot>> stale =
      reader_.Refresh();
  ASSERT_FALSE(IsOk(stale));
  EXPECT_EQ(ErrorOf(stale).code, error_code::kDataLoss);
  const std::uint64_t version = ValueOf(store_.Get(kCatalogHeadKey)).version;
  ASSERT_TRUE(IsOk(store_.Delete(kCatalogHeadKey, version)));
  EXPECT_FALSE(IsOk(reader_.Refresh()));
  EXPECT_EQ(reader_.snapshot()->version, 2U);
}

// Guards against corrupt bytes that get in force: the digest decides, since the
// bytes of another part are valid by themselves.
TEST_F(CatalogReaderTest, RefusesPartsWithAnotherDigest) {
  PublishService("archive", 0);
  const result<std::vector<std::string>> parts =
      store_.List("catalog/part/", 10);
  ASSERT_EQ(ValueOf(parts).size(), 1U);
  const std::string good = ValueOf(store_.Get(ValueOf(parts)[0])).value;
  std::string changed = good;
  const std::size_t position = changed.find("127.0.0.1:9001");
  ASSERT_NE(position, std::string::npos);
  changed[position + 13] = '7';
  store_.CorruptValue(ValueOf(parts)[0], changed);
  const result<std::shared_ptr<const catalog_snapshot>> corrupt =
      reader_.Refresh();
  ASSERT_FALSE(IsOk(corrupt));
  EXPECT_EQ(ErrorOf(corrupt).code, error_code::kDataLoss);
  EXPECT_EQ(reader_.snapshot()->version, 0U);
  store_.CorruptValue(ValueOf(parts)[0], good);
  EXPECT_TRUE(IsOk(reader_.Refresh()));
  EXPECT_EQ(reader_.snapshot()->version, 1U);
}

// Guards against a host that cannot start from its peers, or trusts them.
TEST_F(CatalogReaderTest, AdoptsOnlyValidBundlesOfHigherVersions) {
  PublishService("archive", 0);
  ASSERT_TRUE(IsOk(reader_.Refresh()));
  const catalog_bundle old_bundle = reader_.bundle();
  PublishService("photo", 1);
  ASSERT_TRUE(IsOk(reader_.Refresh()));
  const catalog_bundle good = reader_.bundle();

  in_memory_object_store unreachable;
  unreachable.SetOutage(true);
  catalog_reader host(unreachable);
  catalog_bundle incomplete = good;
  incomplete.parts.erase(incomplete.parts.begin());
  EXPECT_FALSE(IsOk(host.Adopt(incomplete)));
  EXPECT_EQ(ValueOf(MissingParts(good.head, incomplete)).size(), 1U);
  catalog_bundle forged = good;
  forged.parts.begin()->second = std::make_shared<const std::string>("x");
  EXPECT_FALSE(IsOk(host.Adopt(forged)));
  catalog_bundle broken = good;
  broken.head.pop_back();
  EXPECT_FALSE(IsOk(host.Adopt(broken)));
  EXPECT_EQ(host.snapshot()->version, 0U);

  EXPECT_TRUE(IsOk(host.Adopt(good)));
  EXPECT_EQ(*host.snapshot(), *reader_.snapshot());
  const result<std::shared_ptr<const catalog_snapshot>> lower =
      host.Adopt(old_bundle);
  ASSERT_FALSE(IsOk(lower));
  EXPECT_EQ(ErrorOf(lower).code, error_code::kConflict);
  EXPECT_EQ(host.snapshot()->version, 2U);
}

// Guards against a snapshot that is built from changed parts only and differs
// from one that is built from all parts: objects that stay, go or move wrongly.
TEST_F(CatalogReaderTest, ChangedPartsGiveTheSameSnapshotAsAllParts) {
  PublishService("archive", 0);
  PublishService("photo", 1);
  ASSERT_TRUE(IsOk(reader_.Refresh()));
  const std::vector<std::string> notes = {
      "[change target archive/one]\nslots = 3\n[add organisation shop]\n",
      "[change route archive]\nservice = photo\n",
      "[withdraw service archive]\n[withdraw target archive/one]\n"
      "[withdraw target archive/two]\n[withdraw organisation shop]\n"};
  for (const std::string& note : notes) {
    const std::uint64_t version = reader_.snapshot()->version;
    const publish_outcome outcome = catalog_publisher(store_).Publish(
        NoteText("note-" + std::to_string(version), version, note), 0);
    ASSERT_EQ(outcome.result, publish_result::kAccepted) << outcome.message;
    ASSERT_TRUE(IsOk(reader_.Refresh()));
    const result<catalog_snapshot> whole = BuildSnapshot(reader_.bundle());
    ASSERT_TRUE(IsOk(whole));
    EXPECT_EQ(*reader_.snapshot(), ValueOf(whole));
  }
  EXPECT_EQ(reader_.snapshot()->contents.services.size(), 1U);
}

// Guards against a watch that misses a change or reports one that is not there.
TEST_F(CatalogReaderTest, WaitsForChanges) {
  const std::chrono::milliseconds short_time(20);
  EXPECT_EQ(ErrorOf(reader_.WaitForChange(short_time)).code,
            error_code::kDeadlineExceeded);
  PublishService("archive", 0);
  ASSERT_TRUE(IsOk(reader_.WaitForChange(short_time)));
  EXPECT_EQ(reader_.snapshot()->version, 1U);
  EXPECT_EQ(ErrorOf(reader_.WaitForChange(short_time)).code,
            error_code::kDeadlineExceeded);
}

}  // namespace
}  // namespace bulrushshore
