#include <functional>

#include <gtest/gtest.h>

#include "libraries/catalog/digest.h"
#include "libraries/catalog/part_codec.h"
#include "libraries/store/catalog_publisher.h"
#include "libraries/store/catalog_reader.h"
#include "libraries/store/in_memory_object_store.h"
#include "libraries/store/object_key.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

// Passes calls on, with one mechanism switched off.
class weakened_store : public object_store {
 public:
  enum class weakness {
    kNone,
    // Writes take effect whatever the version is.
    kUnconditional,
    // Note records cannot be read back.
    kNoNoteChain,
  };

  weakened_store(object_store& store, weakness missing)
      : store_(store), missing_(missing) {}

  result<stored_object> Get(std::string_view key) override {
    if (missing_ == weakness::kNoNoteChain &&
        key.starts_with("catalog/note/")) {
      return error{error_code::kUnavailable, "note records are not readable"};
    }
    return store_.Get(key);
  }

  result<std::uint64_t> Put(std::string_view key,
                            std::string_view value,
                            std::uint64_t expected) override {
    if (missing_ == weakness::kUnconditional) {
      const result<stored_object> current = store_.Get(key);
      expected = IsOk(current) ? ValueOf(current).version : kNoVersion;
    }
    return store_.Put(key, value, expected);
  }

  status Delete(std::string_view key, std::uint64_t expected) override {
    return store_.Delete(key, expected);
  }

  result<std::vector<std::string>> List(std::string_view prefix,
                                        std::size_t limit) override {
    return store_.List(prefix, limit);
  }

  result<stored_object> WaitForChange(
      std::string_view key,
      std::uint64_t after,
      std::chrono::milliseconds timeout) override {
    return store_.WaitForChange(key, after, timeout);
  }

 private:
  object_store& store_;
  const weakness missing_;
};

publish_outcome PublishService(object_store& store,
                               std::string_view name,
                               std::uint64_t base_version) {
  return catalog_publisher(store).Publish(
      NoteText("add-" + std::string(name), base_version, ServiceSections(name)),
      0);
}

// Returns how many of two notes for the same base are accepted when the second
// publisher acts between the reading and the writing of the first.
int CountAcceptedInRace(weakened_store::weakness missing) {
  in_memory_object_store memory;
  weakened_store store(memory, missing);
  publish_outcome inner;
  bool has_raced = false;
  memory.SetPutHook([&](std::string_view key) {
    if (key == kCatalogHeadKey && !has_raced) {
      has_raced = true;
      inner = PublishService(memory, "inner", 0);
    }
  });
  // The weakened store reads the version right before it writes, so the race
  // is moved in front of that read.
  if (missing == weakened_store::weakness::kUnconditional) {
    memory.SetPutHook([&](std::string_view key) {
      if (key.starts_with("catalog/note/") && !has_raced) {
        has_raced = true;
        inner = PublishService(memory, "inner", 0);
      }
    });
  }
  const publish_outcome outer = PublishService(store, "outer", 0);
  return (inner.result == publish_result::kAccepted ? 1 : 0) +
         (outer.result == publish_result::kAccepted ? 1 : 0);
}

publish_result PublishWithLostReply(weakened_store::weakness missing) {
  in_memory_object_store memory;
  weakened_store store(memory, missing);
  memory.FailWrites(kCatalogHeadKey, write_fault::kLostReply, 1);
  return PublishService(store, "archive", 0).result;
}

// Guards against tests that would pass without the mechanism they are about:
// each scenario passes with the mechanism and fails without it.
TEST(MechanismTest, EachMechanismIsWhatMakesItsScenarioPass) {
  using weakness = weakened_store::weakness;
  // The conditional update of the head gives a race one winner.
  EXPECT_EQ(CountAcceptedInRace(weakness::kNone), 1);
  EXPECT_EQ(CountAcceptedInRace(weakness::kUnconditional), 2);
  // The note chain settles a lost reply.
  EXPECT_EQ(PublishWithLostReply(weakness::kNone), publish_result::kAccepted);
  EXPECT_EQ(PublishWithLostReply(weakness::kNoNoteChain),
            publish_result::kNotKnownYet);
}

// Guards against a digest check or a version check that other checks would
// make up for: the changed part is valid in itself, and a reader that does not
// remember its version takes the old head.
TEST(MechanismTest, DigestAndVersionAreWhatRefusesAPartAndAHead) {
  in_memory_object_store store;
  PublishService(store, "archive", 0);
  const stored_object old_head = ValueOf(store.Get(kCatalogHeadKey));
  const std::string part_key = ValueOf(store.List("catalog/part/", 1))[0];
  const std::string good = ValueOf(store.Get(part_key)).value;
  std::string changed = good;
  changed[changed.find("127.0.0.1:9001") + 13] = '7';
  catalog_contents decoded;
  EXPECT_TRUE(IsOk(DecodePart(PartOfService("archive"), changed, decoded)));
  store.CorruptValue(part_key, changed);
  EXPECT_FALSE(IsOk(catalog_reader(store).Refresh()));
  store.CorruptValue(part_key, good);

  catalog_reader remembering(store);
  PublishService(store, "photo", 1);
  ASSERT_TRUE(IsOk(remembering.Refresh()));
  store.CorruptValue(kCatalogHeadKey, old_head.value);
  EXPECT_FALSE(IsOk(remembering.Refresh()));
  EXPECT_TRUE(IsOk(catalog_reader(store).Refresh()));
}

}  // namespace
}  // namespace bulrushshore
