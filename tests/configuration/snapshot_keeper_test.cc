#include "libraries/configuration/snapshot_keeper.h"

#include <gtest/gtest.h>

#include "libraries/store/catalog_publisher.h"
#include "libraries/store/catalog_reader.h"
#include "libraries/store/in_memory_object_store.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

class SnapshotKeeperTest : public testing::Test {
 protected:
  // Publishes a note and returns the whole catalog after it.
  catalog_bundle PublishService(const std::string& name, std::uint64_t base) {
    const publish_outcome outcome = catalog_publisher(store_).Publish(
        NoteText("add-" + name, base, ServiceSections(name)), 0);
    EXPECT_EQ(outcome.result, publish_result::kAccepted);
    catalog_reader reader(store_);
    EXPECT_TRUE(IsOk(reader.Refresh()));
    return reader.bundle();
  }

  in_memory_object_store store_;
  snapshot_keeper keeper_;
};

// Guards against an old peer or a stale store that reverts a host.
TEST_F(SnapshotKeeperTest, LowerVersionIsNotTaken) {
  const catalog_bundle first = PublishService("archive", 0);
  const catalog_bundle second = PublishService("photo", 1);
  EXPECT_EQ(keeper_.Offer(second), snapshot_keeper::verdict::kAccepted);
  EXPECT_EQ(keeper_.Offer(first), snapshot_keeper::verdict::kNotNewer);
  EXPECT_EQ(keeper_.version(), 2U);
}

// Guards against a catalog that is put in force in part.
TEST_F(SnapshotKeeperTest, InvalidCatalogIsRefusedWhole) {
  catalog_bundle bundle = PublishService("archive", 0);
  ASSERT_FALSE(bundle.parts.empty());
  bundle.parts.erase(bundle.parts.begin());
  EXPECT_EQ(keeper_.Offer(bundle), snapshot_keeper::verdict::kRefused);
  EXPECT_EQ(keeper_.version(), 0U);
  EXPECT_TRUE(keeper_.last_refusal().has_value());
}

}  // namespace
}  // namespace bulrushshore
