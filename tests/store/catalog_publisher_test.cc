#include "libraries/store/catalog_publisher.h"

#include <gtest/gtest.h>

#include "libraries/store/catalog_reader.h"
#include "libraries/store/in_memory_object_store.h"
#include "libraries/store/note_chain.h"
#include "libraries/store/object_key.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

constexpr std::int64_t kTime = 1'000;

class CatalogPublisherTest : public testing::Test {
 protected:
  publish_outcome Publish(std::string_view text) {
    return catalog_publisher(store_).Publish(text, kTime);
  }

  publish_outcome PublishService(std::string_view name,
                                 std::uint64_t base_version) {
    return Publish(Note(name, base_version));
  }

  static std::string Note(std::string_view name, std::uint64_t base_version) {
    return NoteText("add-" + std::string(name), base_version,
                    ServiceSections(name));
  }

  catalog_snapshot Snapshot() {
    catalog_reader reader(store_);
    const result<std::shared_ptr<const catalog_snapshot>> snapshot =
        reader.Refresh();
    EXPECT_TRUE(IsOk(snapshot));
    return IsOk(snapshot) ? *ValueOf(snapshot) : catalog_snapshot{};
  }

  in_memory_object_store store_;
};

// Guards against notes that are reported accepted but not in force.
TEST_F(CatalogPublisherTest, AcceptedNotesAreInForce) {
  const publish_outcome first = PublishService("archive", 0);
  EXPECT_EQ(first.result, publish_result::kAccepted) << first.message;
  const publish_outcome second = PublishService("photo", 1);
  EXPECT_EQ(second.version, 2U) << second.message;
  const catalog_snapshot snapshot = Snapshot();
  EXPECT_EQ(snapshot.version, 2U);
  EXPECT_EQ(snapshot.note_id, "add-photo");
  EXPECT_EQ(snapshot.contents.services.size(), 2U);
}

// Guards against a faulty note that changes anything in the store.
TEST_F(CatalogPublisherTest, RejectedNotesWriteNothing) {
  const publish_outcome outcome =
      Publish(NoteText("bad", 0, "[withdraw service a]\n[add service B]\n"));
  EXPECT_EQ(outcome.result, publish_result::kRejected);
  EXPECT_EQ(outcome.errors.size(), 2U);
  EXPECT_EQ(store_.call_counts().put, 0U);
}

// Guards against a second publication of the same note that makes a second
// version or is reported as a conflict with itself.
TEST_F(CatalogPublisherTest, PublishingTwiceIsHarmless) {
  PublishService("archive", 0);
  PublishService("photo", 1);
  const publish_outcome again = PublishService("archive", 0);
  EXPECT_EQ(again.result, publish_result::kAccepted);
  EXPECT_EQ(again.version, 1U);
  EXPECT_TRUE(again.was_published_before);
  EXPECT_EQ(Snapshot().version, 2U);
}

// Guards against another note that is taken for the published one because it
// has the same id.
TEST_F(CatalogPublisherTest, RefusesAnotherNoteWithAUsedId) {
  PublishService("archive", 0);
  const publish_outcome other =
      Publish(NoteText("add-archive", 0, ServiceSections("photo")));
  EXPECT_EQ(other.result, publish_result::kRejected);
  EXPECT_EQ(other.errors.size(), 1U);
}

// Guards against a lost update: the second of two notes for the same base must
// not overwrite the first. The conditional update of the head decides, because
// the other note comes after this publisher has read the head.
TEST_F(CatalogPublisherTest, LosesARaceAndReportsTheDifference) {
  PublishService("archive", 0);
  bool has_raced = false;
  store_.SetPutHook([&](std::string_view key) {
    if (key == kCatalogHeadKey && !has_raced) {
      has_raced = true;
      EXPECT_EQ(PublishService("winner", 1).result, publish_result::kAccepted);
    }
  });
  const publish_outcome loser = PublishService("loser", 1);
  ASSERT_TRUE(has_raced);
  EXPECT_EQ(loser.result, publish_result::kRejected);
  EXPECT_TRUE(loser.is_conflict);
  EXPECT_EQ(loser.newest_version, 2U);
  // The winner's service, two targets and route, and nothing of the base.
  ASSERT_EQ(loser.changes_since_base.size(), 4U);
  EXPECT_EQ(DescribeChange(loser.changes_since_base[0]).key, "winner");
  EXPECT_FALSE(Snapshot().contents.services.contains("loser"));
}

// Guards against a note that took effect and is reported as failed, or is
// published twice, because the reply of the head's update was lost. Reading
// back the note chain settles it even if more notes came in between.
TEST_F(CatalogPublisherTest, SettlesALostReplyByTheNoteChain) {
  store_.FailWrites(kCatalogHeadKey, write_fault::kLostReply, 1);
  const publish_outcome first = PublishService("archive", 0);
  EXPECT_EQ(first.result, publish_result::kAccepted) << first.message;
  EXPECT_FALSE(first.was_published_before);
  EXPECT_EQ(Snapshot().version, 1U);
}

// Guards against a publisher that takes a lost request for a lost reply.
TEST_F(CatalogPublisherTest, RepeatsALostRequest) {
  store_.FailWrites(kCatalogHeadKey, write_fault::kLostRequest, 2);
  EXPECT_EQ(PublishService("archive", 0).result, publish_result::kAccepted);
  EXPECT_EQ(Snapshot().version, 1U);
}

// Guards against a claim about a note whose fate is not known: the store
// fails right after the reply was lost. Repeating the note settles it.
TEST_F(CatalogPublisherTest, SaysWhenTheResultIsNotKnown) {
  store_.FailWrites(kCatalogHeadKey, write_fault::kLostRequest, 100);
  EXPECT_EQ(PublishService("archive", 0).result, publish_result::kNotKnownYet);
  store_.FailWrites("", write_fault::kLostReply, 0);
  EXPECT_EQ(PublishService("archive", 0).result, publish_result::kAccepted);
  EXPECT_EQ(Snapshot().version, 1U);
}

// Guards against a publisher that fails or writes a torn catalog when replies
// to the writes of parts and note records are lost.
TEST_F(CatalogPublisherTest, SurvivesLostRepliesOfParts) {
  store_.FailWrites("catalog/part/", write_fault::kLostReply, 1);
  EXPECT_EQ(PublishService("archive", 0).result, publish_result::kAccepted);
  store_.FailWrites("catalog/note/", write_fault::kLostRequest, 1);
  EXPECT_EQ(PublishService("photo", 1).result, publish_result::kAccepted);
  EXPECT_EQ(Snapshot().contents.services.size(), 2U);
}

// Guards against an outage that is reported as "not known": as long as the
// head was not written the note is certainly not in force.
TEST_F(CatalogPublisherTest, ReportsAnOutageAsUnavailable) {
  store_.SetOutage(true);
  EXPECT_EQ(PublishService("archive", 0).result, publish_result::kUnavailable);
  store_.SetOutage(false);
  store_.SetPutHook([this](std::string_view key) {
    if (key == kCatalogHeadKey) {
      store_.SetOutage(true);
    }
  });
  EXPECT_EQ(PublishService("archive", 0).result, publish_result::kUnavailable);
  store_.SetPutHook({});
  store_.SetOutage(false);
  EXPECT_EQ(Snapshot().version, 0U);
}

// Guards against a corrupt part that stays in place because its name says that
// it is already written.
TEST_F(CatalogPublisherTest, ReplacesACorruptPartLeftByAnEarlierAttempt) {
  store_.FailWrites(kCatalogHeadKey, write_fault::kLostRequest, 100);
  EXPECT_EQ(PublishService("archive", 0).result, publish_result::kNotKnownYet);
  store_.FailWrites("", write_fault::kLostReply, 0);
  const result<std::vector<std::string>> parts =
      store_.List("catalog/part/", 10);
  ASSERT_EQ(ValueOf(parts).size(), 1U);
  store_.CorruptValue(ValueOf(parts).front(), "rubbish");
  EXPECT_EQ(PublishService("archive", 0).result, publish_result::kAccepted);
  EXPECT_EQ(Snapshot().version, 1U);
}

// Guards against a conflict with a base that does not exist yet.
TEST_F(CatalogPublisherTest, RefusesABaseAboveTheNewestVersion) {
  const publish_outcome outcome = PublishService("archive", 7);
  EXPECT_TRUE(outcome.is_conflict);
  EXPECT_TRUE(outcome.changes_since_base.empty());
}

// Guards against a history that is out of order or unbounded.
TEST_F(CatalogPublisherTest, ListsTheHistoryNewestFirst) {
  PublishService("archive", 0);
  PublishService("photo", 1);
  PublishService("case", 2);
  const result<std::vector<history_entry>> history = ReadHistory(store_, 2);
  ASSERT_TRUE(IsOk(history));
  EXPECT_EQ(ValueOf(history),
            (std::vector<history_entry>{{3, "add-case", "maaike", kTime},
                                        {2, "add-photo", "maaike", kTime}}));
}

// Guards against a walk along the chain without end: past its bound the result
// is "not known", never "conflict".
TEST_F(CatalogPublisherTest, BoundsTheWalkAlongTheChain) {
  PublishService("archive", 0);
  PublishService("photo", 1);
  PublishService("case", 2);
  const result<observed_head> head = ReadHead(store_);
  ASSERT_TRUE(IsOk(head));
  const result<chain_search> search =
      SearchChain(store_, ValueOf(head).head, "add-archive", 0, 2);
  ASSERT_TRUE(IsOk(search));
  EXPECT_TRUE(ValueOf(search).is_cut_off);
  EXPECT_FALSE(ValueOf(search).note.has_value());
}

// Guards against a change that rewrites more of a full-size catalog than it
// touches: it writes one part, its note record and the head.
TEST_F(CatalogPublisherTest, OneChangeOfAFullSizeCatalogWritesOnePart) {
  const catalog_contents contents = FullSizeContents();
  const result<encoded_parts> parts = EncodeParts(contents);
  ASSERT_TRUE(IsOk(parts));
  const part_digests digests = DigestParts(ValueOf(parts));
  for (std::size_t index = 0; index < kPartCount; ++index) {
    store_.Put(CatalogPartKey(digests[index]), ValueOf(parts)[index],
               kNoVersion);
  }
  const std::string digest(64, 'a');
  store_.Put(kCatalogHeadKey, EncodeHead({1, "first", digest, digests}),
             kNoVersion);
  const std::uint64_t before = store_.call_counts().put;
  const std::string key = contents.targets.begin()->first;
  const publish_outcome outcome = Publish(
      NoteText("drain", 1, "[change target " + key + "]\nstate = draining\n"));
  EXPECT_EQ(outcome.result, publish_result::kAccepted) << outcome.message;
  EXPECT_EQ(store_.call_counts().put, before + 3);
  EXPECT_EQ(Snapshot().contents.targets.at(key).state, target_state::kDraining);
}

}  // namespace
}  // namespace bulrushshore
