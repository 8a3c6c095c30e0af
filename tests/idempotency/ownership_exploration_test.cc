#include <cstdio>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/idempotency/ownership_explorer.h"

namespace bulrushshore {
namespace {

std::string Describe(const exploration_report& report) {
  std::string text = report.violation;
  for (const std::string& event : report.counterexample) {
    text += "\n  " + event;
  }
  return text;
}

const char* EndOf(const exploration_report& report) {
  if (!report.violation.empty()) {
    return "stopped at a violation";
  }
  return report.is_complete ? "complete" : "cut at the depth";
}

void Print(const char* name, const exploration_report& report) {
  std::printf("%s: %zu states, %zu transitions, depth %zu, %s\n", name,
              report.states, report.transitions, report.depth, EndOf(report));
}

void ExpectNoViolation(const char* name, const ownership_scenario& scenario) {
  const exploration_report report = ExploreOwnership(scenario);
  Print(name, report);
  EXPECT_EQ(report.violation, "") << Describe(report);
}

// Shows that the exploration notices when `left_out` is missing.
void ExpectViolation(const char* name,
                     ownership_scenario scenario,
                     left_out_mechanism left_out) {
  scenario.left_out = left_out;
  const exploration_report report = ExploreOwnership(scenario);
  Print(name, report);
  EXPECT_NE(report.violation, "");
  std::printf("%s\n", Describe(report).c_str());
}

// The owner hands its keys over, and the hand-over is lost, late or repeated.
ownership_scenario TwoHosts() {
  ownership_scenario scenario;
  scenario.requests = {0, 0};
  return scenario;
}

// The successor hands the keys on while hosts crash and restart.
ownership_scenario ThreeHosts() {
  ownership_scenario scenario;
  scenario.hosts = 3;
  scenario.max_graceful_stops = 2;
  scenario.max_depth = 7;
  return scenario;
}

// As ThreeHosts() without crashes, restarts and copies, which leaves room for
// longer orders of events.
ownership_scenario HandoverChain() {
  ownership_scenario scenario;
  scenario.hosts = 3;
  scenario.max_graceful_stops = 2;
  scenario.max_restarts = 0;
  scenario.max_crashes = 0;
  scenario.max_copied_handovers = 0;
  scenario.max_depth = 10;
  return scenario;
}

ownership_scenario PausedOwner() {
  ownership_scenario scenario;
  scenario.requests = {0, 0};
  scenario.max_pauses = 1;
  scenario.max_copied_handovers = 0;
  return scenario;
}

ownership_scenario ThreeRequests() {
  ownership_scenario scenario;
  scenario.requests = {0, 0, 0};
  scenario.max_copied_handovers = 0;
  scenario.max_depth = 9;
  return scenario;
}

ownership_scenario TwoKeysInASmallTable() {
  ownership_scenario scenario;
  scenario.keys = {{false, 0}, {false, 0}};
  scenario.requests = {0, 0, 1};
  scenario.max_table_entries = 1;
  scenario.max_copied_handovers = 0;
  scenario.max_depth = 9;
  return scenario;
}

ownership_scenario ForeignKey() {
  ownership_scenario scenario;
  scenario.keys = {{true, 0}};
  scenario.requests = {0, 0};
  return scenario;
}

// Guards against a key that runs twice and against false statements while a
// host stops, crashes and restarts.
TEST(OwnershipExplorationTest, TwoHosts) {
  ExpectNoViolation("two hosts", TwoHosts());
}

// Guards against two successors of one owner.
TEST(OwnershipExplorationTest, ThreeHosts) {
  ExpectNoViolation("three hosts", ThreeHosts());
}

// Guards against keys that get lost or fresh when they move twice.
TEST(OwnershipExplorationTest, HandoverChain) {
  ExpectNoViolation("hand-over chain", HandoverChain());
}

// Guards against keys that move away from a paused owner.
TEST(OwnershipExplorationTest, PausedOwner) {
  ExpectNoViolation("paused owner", PausedOwner());
}

// Guards against a retry that overtakes the request that it waits for.
TEST(OwnershipExplorationTest, ThreeRequests) {
  ExpectNoViolation("three requests", ThreeRequests());
}

// Guards against a full table that forgets a key.
TEST(OwnershipExplorationTest, TwoKeysInASmallTable) {
  ExpectNoViolation("two keys, room for one", TwoKeysInASmallTable());
}

// Guards against a foreign key that is bound to two incarnations.
TEST(OwnershipExplorationTest, ForeignKey) {
  ExpectNoViolation("foreign key", ForeignKey());
}

// Guards against an exploration that finds nothing because it looks at nothing.
TEST(OwnershipExplorationTest, FindsKeysOfAnOlderIncarnationTakenAsFresh) {
  ExpectViolation("older incarnation taken as fresh", TwoHosts(),
                  left_out_mechanism::kIncarnationOwnership);
}

TEST(OwnershipExplorationTest, FindsRunningKeysMissingFromTheHandover) {
  ExpectViolation("running keys missing from the hand-over", TwoHosts(),
                  left_out_mechanism::kRunningKeysInHandover);
}

TEST(OwnershipExplorationTest, FindsAnOwnerThatIsNotSealed) {
  ExpectViolation("owner not sealed", TwoHosts(),
                  left_out_mechanism::kSealBeforeExport);
}

TEST(OwnershipExplorationTest, FindsATableTakenByALaterProcess) {
  ExpectViolation("table taken by a later process", TwoHosts(),
                  left_out_mechanism::kSuccessorIncarnation);
}

TEST(OwnershipExplorationTest, FindsClaimsThatOverwriteEachOther) {
  ExpectViolation("claims overwrite each other", ForeignKey(),
                  left_out_mechanism::kConditionalCreate);
}

}  // namespace
}  // namespace bulrushshore
