#include <algorithm>
#include <map>
#include <memory>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <rapidcheck/state.h>

#include "libraries/idempotency/idempotency_table.h"

namespace bulrushshore {
namespace {

constexpr std::uint64_t kRetained = 2;
constexpr std::size_t kMaxEntries = 3;
constexpr std::chrono::seconds kGeneration{60};
constexpr std::string_view kOwn = "00000000000000aa";
const std::shared_ptr<const stored_response> kResponse =
    std::make_shared<const stored_response>(stored_response{200, {}, "r"});

using key_id = std::pair<std::uint64_t, int>;

idempotency_key KeyOf(const key_id& id) {
  return {"h", std::string(kOwn), id.first, std::to_string(id.second)};
}

// What the table must know, written down in the simplest way: each key that
// was started, with the end of its attempt.
struct table_model {
  std::map<key_id, key_state> started;
  std::uint64_t generation = 0;
  // A successor issues no keys of the incarnation that it inherited.
  std::uint64_t last_issued = UINT64_MAX;
  bool is_sealed = false;

  bool IsRetained(std::uint64_t of_key) const {
    return of_key + kRetained > generation;
  }

  std::size_t RetainedEntries() const {
    std::size_t count = 0;
    for (const std::pair<const key_id, key_state>& entry : started) {
      count += IsRetained(entry.first.first) ? 1 : 0;
    }
    return count;
  }

  claim_decision Decide(const key_id& id) const {
    if (id.first > generation || id.first > last_issued) {
      return claim_decision::kNotIssued;
    }
    if (!IsRetained(id.first)) {
      return claim_decision::kExpired;
    }
    const auto found = started.find(id);
    if (found != started.end()) {
      return found->second == key_state::kRunning ? claim_decision::kWait
             : found->second == key_state::kAnswered
                 ? claim_decision::kStoredResponse
                 : claim_decision::kOutcomeUnknown;
    }
    if (is_sealed) {
      return claim_decision::kSealed;
    }
    return RetainedEntries() >= kMaxEntries ? claim_decision::kTableFull
                                            : claim_decision::kRun;
  }
};

struct real_table {
  manual_clock time;
  std::unique_ptr<idempotency_table> table =
      std::make_unique<idempotency_table>(
          idempotency_limits{kMaxEntries, 1000, 1000, kRetained, kGeneration},
          std::string(kOwn),
          time.Now());
  // Keys that were told to run and whose attempt was not given up.
  std::set<key_id> ran;
  int successors = 0;
};

using table_command = rc::state::Command<table_model, real_table>;

key_id AnyKey() {
  return {*rc::gen::inRange<std::uint64_t>(0, 6), *rc::gen::inRange(0, 4)};
}

struct claim_command : table_command {
  key_id id = AnyKey();

  void apply(table_model& model) const override {
    if (model.Decide(id) == claim_decision::kRun) {
      model.started[id] = key_state::kRunning;
    }
  }

  void run(const table_model& model, real_table& real) const override {
    const claim decided = real.table->Claim(KeyOf(id), 1, real.time.Now());
    RC_ASSERT(static_cast<int>(decided.decision) ==
              static_cast<int>(model.Decide(id)));
    if (decided.decision == claim_decision::kRun) {
      RC_ASSERT(real.ran.insert(id).second);
    }
  }
};

template <int kEnd>
struct end_command : table_command {
  key_id id = AnyKey();

  void checkPreconditions(const table_model& model) const override {
    const auto found = model.started.find(id);
    RC_PRE(found != model.started.end() &&
           found->second == key_state::kRunning && model.IsRetained(id.first));
  }

  void apply(table_model& model) const override {
    if (kEnd == 0) {
      model.started[id] = key_state::kAnswered;
    } else if (kEnd == 1 || model.is_sealed) {
      model.started[id] = key_state::kUnknown;
    } else {
      model.started.erase(id);
    }
  }

  void run(const table_model& model, real_table& real) const override {
    if (kEnd == 0) {
      real.table->Complete(KeyOf(id), kResponse);
    } else if (kEnd == 1) {
      real.table->CompleteUnknown(KeyOf(id));
    } else {
      real.table->Abandon(KeyOf(id));
      if (!model.is_sealed) {
        real.ran.erase(id);
      }
    }
  }
};

struct advance_command : table_command {
  void apply(table_model& model) const override { ++model.generation; }
  void run(const table_model&, real_table& real) const override {
    real.time.Advance(kGeneration);
  }
};

struct seal_command : table_command {
  void apply(table_model& model) const override { model.is_sealed = true; }
  void run(const table_model&, real_table& real) const override {
    real.table->Seal();
  }
};

// Seals the table and goes on with a successor that imported its hand-over.
struct hand_over_command : table_command {
  void apply(table_model& model) const override {
    model.is_sealed = false;
    model.last_issued = std::min(model.generation, model.last_issued);
    for (std::pair<const key_id, key_state>& entry : model.started) {
      if (entry.second == key_state::kRunning) {
        entry.second = key_state::kUnknown;
      }
    }
  }

  void run(const table_model& model, real_table& real) const override {
    real.table->Seal();
    const std::vector<std::string> parts =
        EncodeHandover(real.table->Export(real.time.Now()), 1024);
    const result<handover> decoded = DecodeHandover(parts);
    RC_ASSERT(IsOk(decoded));
    std::unique_ptr<idempotency_table> successor =
        std::make_unique<idempotency_table>(
            idempotency_limits{kMaxEntries, 1000, 1000, kRetained, kGeneration},
            "successor-" + std::to_string(++real.successors), real.time.Now());
    RC_ASSERT(IsOk(successor->Import(ValueOf(decoded), real.time.Now())));
    RC_ASSERT(successor->entry_count() == model.RetainedEntries());
    real.table = std::move(successor);
  }
};

// Guards against any sequence of calls in which a key starts twice, or in which
// the table forgets an attempt of a retained generation.
RC_GTEST_PROP(IdempotencyTableProperty, AgreesWithItsModel, ()) {
  real_table real;
  rc::state::check(table_model{}, real,
                   rc::state::gen::execOneOfWithArgs<
                       claim_command, claim_command, claim_command,
                       end_command<0>, end_command<1>, end_command<2>,
                       advance_command, seal_command, hand_over_command>());
}

}  // namespace
}  // namespace bulrushshore
