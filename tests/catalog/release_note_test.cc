#include "libraries/catalog/release_note.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "libraries/catalog/apply.h"
#include "libraries/settings/settings_reader.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

applied_note ApplyOrFail(const catalog_contents& contents,
                         std::string_view text) {
  std::variant<applied_note, line_errors> applied =
      ParseAndApplyNote(contents, text);
  if (const line_errors* errors = std::get_if<line_errors>(&applied)) {
    ADD_FAILURE() << FormatLineErrors("note", *errors);
    return {};
  }
  return std::get<applied_note>(applied);
}

line_errors ErrorsOf(const catalog_contents& contents, std::string_view text) {
  const std::variant<applied_note, line_errors> applied =
      ParseAndApplyNote(contents, text);
  const line_errors* const errors = std::get_if<line_errors>(&applied);
  return errors == nullptr ? line_errors{} : *errors;
}

std::vector<int> LinesOf(const line_errors& errors) {
  std::vector<int> lines;
  for (const line_error& item : errors) {
    lines.push_back(item.line);
  }
  return lines;
}

catalog_contents ArchiveContents() {
  return ApplyOrFail({}, NoteText("first", 0, ServiceSections("archive")))
      .contents;
}

// Guards against keys that are read into the wrong value or not at all.
TEST(ReleaseNoteTest, ReadsEveryKey) {
  const catalog_contents contents = ApplyOrFail({}, NoteText("first", 0, R"(
[add service pay]
floor_percent = 80
timeout_ms = 9000
queue_limit = 11
patience_ms = 12
max_body_bytes = 13
[add target pay/one]
address = 10.0.0.1:80
zone = a
slots = 3
max_connections = 14
state = draining
[add route pay]
service = pay
path_prefix = /pay
host_name = pay.example
kind = payment
idempotent = false
key_required = false
[add organisation shop]
weight = 4
)"))
                                        .contents;
  const service pay{"pay",
                    80,
                    std::chrono::milliseconds(9000),
                    11,
                    std::chrono::milliseconds(12),
                    13};
  EXPECT_EQ(contents.services.at("pay"), pay);
  const target one{"pay", "one", {"10.0.0.1", 80},       "a",
                   3,     14,    target_state::kDraining};
  EXPECT_EQ(contents.targets.at("pay/one"), one);
  const route pay_route{"pay",     "pay", "/pay", "pay.example",
                        "payment", false, false};
  EXPECT_EQ(contents.routes.at("pay"), pay_route);
  ASSERT_NE(contents.organisations.Find("shop"), nullptr);
  EXPECT_EQ(*contents.organisations.Find("shop"), (organisation{"shop", 4}));
}

// Guards against a report that stops at the first fault or names wrong lines.
TEST(ReleaseNoteTest, ReportsAllFaultsWithTheirLines) {
  const line_errors errors = ErrorsOf({}, R"([note]
id = Not A Name
base_version = -1
surprise = 1
[add service ok]
floor_percent = 101
[add target ok/one]
address = localhost:80
zone = a
state = broken
[add target nowhere/one]
address = 10.0.0.1:80
zone = a
[add route r]
service = nothing
path_prefix = relative
kind = k
idempotent = perhaps
[change service missing]
timeout_ms = 5
[rename service ok]
[withdraw organisation gone]
weight = 3
[add organisation -Bad-]
)");
  EXPECT_EQ(LinesOf(errors), (std::vector<int>{1, 2, 3, 4, 6, 8, 10, 11, 14, 16,
                                               18, 19, 21, 22, 23, 24}))
      << FormatLineErrors("note", errors);
}

// Guards against a note without header or above its size that is accepted.
TEST(ReleaseNoteTest, RefusesNotesWithoutHeaderOrAboveTheLimit) {
  EXPECT_EQ(LinesOf(ErrorsOf({}, "[add service a]\n")), std::vector<int>{0});
  const std::string large(kMaxNoteBytes + 1, '\n');
  EXPECT_EQ(LinesOf(ErrorsOf({}, large)), std::vector<int>{0});
}

// Guards against an object that a note names twice, where the result would
// depend on the order of the sections.
TEST(ReleaseNoteTest, RefusesToNameAnObjectTwice) {
  const line_errors errors = ErrorsOf(
      ArchiveContents(), NoteText("twice", 1,
                                  "[withdraw target archive/one]\n"
                                  "[change target archive/one]\nslots = 2\n"));
  ASSERT_FALSE(errors.empty());
  EXPECT_EQ(errors.front().line, 6);
}

// Guards against "change" resetting the values that the note does not state.
TEST(ApplyNoteTest, ChangesOnlyTheStatedKeys) {
  const catalog_contents before = ArchiveContents();
  const catalog_contents after =
      ApplyOrFail(before, NoteText("second", 1,
                                   "[change service archive]\n"
                                   "queue_limit = 7\n"))
          .contents;
  service expected = before.services.at("archive");
  expected.queue_limit = 7;
  EXPECT_EQ(after.services.at("archive"), expected);
  EXPECT_EQ(after.targets, before.targets);
}

// Guards against the loss of targets and routes with their service, and against
// notes that depend on the order of their sections.
TEST(ApplyNoteTest, WithdrawsAServiceOnlyWithItsTargetsAndRoutes) {
  const catalog_contents before = ArchiveContents();
  const line_errors errors =
      ErrorsOf(before, NoteText("second", 1, "[withdraw service archive]\n"));
  EXPECT_EQ(LinesOf(errors), (std::vector<int>{5, 5, 5}));
  const applied_note complete = ApplyOrFail(
      before, NoteText("second", 1,
                       "[withdraw service archive]\n"
                       "[withdraw target archive/one]\nreason = old\n"
                       "[withdraw target archive/two]\n"
                       "[withdraw route archive]\n"));
  EXPECT_EQ(complete.contents, catalog_contents{});
}

// Guards against routes of which only one can ever match, and against one
// target that is registered twice and therefore counted twice for the floor.
TEST(ApplyNoteTest, RefusesAmbiguousRoutesAndSharedAddresses) {
  const line_errors errors =
      ErrorsOf(ArchiveContents(), NoteText("second", 1, R"(
[add route other]
service = archive
path_prefix = /archive/
kind = lookup
idempotent = true
[add target archive/three]
address = 127.0.0.1:9002
zone = c
)"));
  EXPECT_EQ(LinesOf(errors), (std::vector<int>{6, 11}));
}

// Guards against notes that silently leave a service below its floor, and
// against warnings about services that a note does not touch.
TEST(ApplyNoteTest, WarnsBelowTheFloor) {
  const applied_note drained = ApplyOrFail(
      ArchiveContents(),
      NoteText("second", 1, "[change target archive/one]\nstate = draining\n"));
  EXPECT_EQ(LinesOf(drained.warnings), std::vector<int>{5});
  const applied_note unrelated = ApplyOrFail(
      drained.contents, NoteText("third", 2, "[add organisation shop]\n"));
  EXPECT_TRUE(unrelated.warnings.empty());
}

// Guards against a catalog above its limit that grows note by note.
TEST(ApplyNoteTest, RefusesCatalogsAboveTheLimit) {
  catalog_contents contents;
  for (int index = 0; index < 400; ++index) {
    const std::string name = "s-" + std::to_string(index);
    contents.services[name].name = name;
  }
  const line_errors errors =
      ErrorsOf(contents, NoteText("more", 1, "[add service one-more]\n"));
  EXPECT_EQ(LinesOf(errors), std::vector<int>{0});
}

// Guards against example notes that no longer fit the format or the stated
// sizes of the deployments.
TEST(ExampleNotesTest, HaveTheStatedSizes) {
  const std::vector<std::pair<std::string, std::vector<int>>> expected = {
      {"echtheid", {6, 6, 10, 12}}, {"lakeshore", {6, 8, 14, 14}}};
  for (const std::pair<std::string, std::vector<int>>& example : expected) {
    const std::string path =
        std::string(EXAMPLE_NOTES_FOLDER) + "/" + example.first + ".ini";
    const result<std::string> text = ReadTextFile(path, kMaxNoteBytes);
    ASSERT_TRUE(IsOk(text)) << path;
    const applied_note applied = ApplyOrFail({}, ValueOf(text));
    std::map<std::string, int> targets;
    for (const std::pair<const std::string, target>& entry :
         applied.contents.targets) {
      ++targets[entry.second.service];
    }
    std::vector<int> counts;
    counts.reserve(targets.size());
    for (const std::pair<const std::string, int>& entry : targets) {
      counts.push_back(entry.second);
    }
    std::sort(counts.begin(), counts.end());
    EXPECT_EQ(counts, example.second);
    EXPECT_TRUE(applied.warnings.empty());
  }
}

}  // namespace
}  // namespace bulrushshore
