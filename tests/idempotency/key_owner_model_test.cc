#include "tests/idempotency/key_owner_model.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <gtest/gtest.h>
#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kPatience(2);
constexpr std::string_view kIncarnation = "00000000000000aa";

struct model_test_config : caf::actor_system_config {
  model_test_config() { set("scheduler.policy", caf::atom("testing")); }
};

enum class owner_event {
  kClaimFirstKey,
  kClaimSecondKey,
  kAnswer,
  kLoseAnswer,
  kEndNotStarted,
  kReachDeadline,
  kSeal,
};

constexpr std::array<owner_event, 7> kOwnerEvents = {
    owner_event::kClaimFirstKey, owner_event::kClaimSecondKey,
    owner_event::kAnswer,        owner_event::kLoseAnswer,
    owner_event::kEndNotStarted, owner_event::kReachDeadline,
    owner_event::kSeal};

std::string Describe(const key_claim_answer& answer) {
  return std::to_string(static_cast<int>(answer.answer)) + ":" +
         (answer.response == nullptr ? "" : answer.response->body) + " ";
}

// Sends the same messages to the real key_owner and to the model.
class owner_pair {
 public:
  owner_pair(caf::actor_system& system,
             caf::scheduler::test_coordinator& scheduler)
      : system_(system),
        scheduler_(scheduler),
        caller_(system),
        owner_(system, Limits(), std::string(kIncarnation)),
        model_(Limits(), std::string(kIncarnation), system.clock().now()) {}

  ~owner_pair() {
    caf::anon_send_exit(owner_.actor(), caf::exit_reason::user_shutdown);
    scheduler_.run();
  }

  owner_pair(const owner_pair&) = delete;
  owner_pair& operator=(const owner_pair&) = delete;

  void Apply(owner_event event) {
    switch (event) {
      case owner_event::kClaimFirstKey:
        return Claim("a");
      case owner_event::kClaimSecondKey:
        return Claim("b");
      case owner_event::kAnswer:
        return End(attempt_end::kAnswered);
      case owner_event::kLoseAnswer:
        return End(attempt_end::kUnknown);
      case owner_event::kEndNotStarted:
        return End(attempt_end::kNotStarted);
      case owner_event::kReachDeadline:
        scheduler_.advance_time(kPatience);
        scheduler_.run();
        return Record(model_.ReachDeadline());
      case owner_event::kSeal:
        caf::anon_send(owner_.actor(), seal_message{});
        scheduler_.run();
        (void)model_.SealAndExport(system_.clock().now());
        return;
    }
  }

  // Returns all answers of the real owner, in their order.
  std::string TakeRealAnswers() {
    std::string answers;
    while (caller_->has_next_message()) {
      caller_->receive(
          [&](const key_claim_answer& answer) { answers += Describe(answer); });
    }
    return answers;
  }

  const std::string& model_answers() const { return model_answers_; }

 private:
  // Room for one key only, so that the second one meets a full table.
  static idempotency_limits Limits() {
    idempotency_limits limits;
    limits.max_entries = 1;
    return limits;
  }

  static idempotency_key Key(const std::string& caller_part) {
    return {"host-1", std::string(kIncarnation), 0, caller_part};
  }

  void Claim(const std::string& caller_part) {
    const time_point now = system_.clock().now();
    caller_->send(owner_.actor(),
                  claim_message{Key(caller_part), key_owner_model::kFingerprint,
                                now + kPatience});
    scheduler_.run();
    const std::optional<key_claim_answer> answer =
        model_.Claim(Key(caller_part), 0, now);
    if (answer.has_value()) {
      model_answers_ += Describe(*answer);
    }
  }

  void End(attempt_end end) {
    end_message message{Key("a"), end, nullptr};
    if (end == attempt_end::kAnswered) {
      message.response = std::make_shared<const stored_response>(
          stored_response{201, {}, "paper"});
    }
    caf::anon_send(owner_.actor(), message);
    scheduler_.run();
    Record(model_.End(message));
  }

  void Record(const std::vector<late_answer>& answers) {
    for (const late_answer& late : answers) {
      model_answers_ += Describe(late.answer);
    }
  }

  caf::actor_system& system_;
  caf::scheduler::test_coordinator& scheduler_;
  caf::scoped_actor caller_;
  key_owner owner_;
  key_owner_model model_;
  std::string model_answers_;
};

// Guards against an exploration of something other than what key_owner does:
// both give the same answers to all orders of five messages.
TEST(KeyOwnerModelTest, AnswersAsTheRealOwnerToAllOrdersOfMessages) {
  constexpr std::size_t kDepth = 5;
  model_test_config config;
  caf::actor_system system(config);
  caf::scheduler::test_coordinator& scheduler =
      dynamic_cast<caf::scheduler::test_coordinator&>(system.scheduler());
  std::size_t orders = 1;
  for (std::size_t step = 0; step < kDepth; ++step) {
    orders *= kOwnerEvents.size();
  }
  for (std::size_t order = 0; order < orders; ++order) {
    owner_pair owners(system, scheduler);
    std::string events;
    for (std::size_t rest = order, step = 0; step < kDepth; ++step) {
      const std::size_t event = rest % kOwnerEvents.size();
      rest /= kOwnerEvents.size();
      events += std::to_string(event) + " ";
      owners.Apply(kOwnerEvents.at(event));
    }
    ASSERT_EQ(owners.TakeRealAnswers(), owners.model_answers())
        << "events " << events;
  }
  std::printf("%zu orders of %zu messages\n", orders, kDepth);
}

}  // namespace
}  // namespace bulrushshore
