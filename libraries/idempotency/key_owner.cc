#include "libraries/idempotency/key_owner.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/response_promise.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>
#include <caf/stateful_actor.hpp>

#include "libraries/idempotency/key_answers.h"
#include "libraries/idempotency/key_owner_messages.h"

namespace bulrushshore {
namespace {

struct waiting_claim {
  std::uint64_t id = 0;
  caf::response_promise promise;
};

class key_owner_actor : public caf::event_based_actor {
 public:
  key_owner_actor(caf::actor_config& config,
                  idempotency_limits limits,
                  std::string incarnation)
      : caf::event_based_actor(config),
        table_(limits, std::move(incarnation), Now()) {}

  caf::behavior make_behavior() override {
    return {
        [this](const claim_message& message) { return Claim(message); },
        [this](const claim_deadline_message& message) {
          Deliver(message.key, {key_answer::kWaitTimeout, nullptr},
                  message.waiting_id);
        },
        [this](const end_message& message) { EndAttempt(message); },
        [this](generation_message) { return table_.Generation(Now()); },
        [this](incarnations_message) {
          return incarnations_reply{table_.Incarnations()};
        },
        [this](seal_message) {
          table_.Seal();
          return import_message{table_.Export(Now())};
        },
        [this](const import_message& message) {
          return import_reply{table_.Import(message.value, Now())};
        },
    };
  }

  // A promise refers to this actor, so that waiting claims would keep it, and
  // their senders waiting, for good. Without a promise the senders get an
  // error.
  void on_exit() override { waiting_.clear(); }

 private:
  time_point Now() { return system().clock().now(); }

  caf::result<key_claim_answer> Claim(const claim_message& message) {
    caf::response_promise promise = make_response_promise();
    claim decided = table_.Claim(message.key, message.fingerprint, Now());
    if (decided.decision == claim_decision::kWait) {
      Wait(message, promise);
      return caf::delegated<key_claim_answer>{};
    }
    promise.deliver(key_claim_answer{ToFinalAnswer(decided.decision),
                                     std::move(decided.response)});
    return caf::delegated<key_claim_answer>{};
  }

  void Wait(const claim_message& message, caf::response_promise promise) {
    const std::uint64_t id = ++last_waiting_id_;
    waiting_[FormatIdempotencyKey(message.key)].push_back(
        {id, std::move(promise)});
    const duration remaining =
        std::max(duration::zero(), message.deadline - Now());
    delayed_send(this, remaining, claim_deadline_message{message.key, id});
  }

  void EndAttempt(const end_message& message) {
    switch (message.result) {
      case attempt_end::kAnswered:
        table_.Complete(message.key, message.response);
        break;
      case attempt_end::kUnknown:
        table_.CompleteUnknown(message.key);
        break;
      case attempt_end::kNotStarted:
        table_.Abandon(message.key);
        break;
    }
    Deliver(message.key, AnswerForWaiting(message), std::nullopt);
  }

  // Answers the waiting claim with `only_id`, or all claims of `key`.
  void Deliver(const idempotency_key& key,
               const key_claim_answer& answer,
               std::optional<std::uint64_t> only_id) {
    const auto found = waiting_.find(FormatIdempotencyKey(key));
    if (found == waiting_.end()) {
      return;
    }
    std::erase_if(found->second, [&](waiting_claim& waiting) {
      if (only_id.has_value() && waiting.id != *only_id) {
        return false;
      }
      waiting.promise.deliver(answer);
      return true;
    });
    if (found->second.empty()) {
      waiting_.erase(found);
    }
  }

  idempotency_table table_;
  // By the text of the key.
  std::map<std::string, std::vector<waiting_claim>> waiting_;
  std::uint64_t last_waiting_id_ = 0;
};

// Sends `message` and blocks until the reply; `fallback` if the actor is gone.
template <typename Reply, typename Message>
Reply Ask(caf::actor_system& system,
          const caf::actor& actor,
          Message message,
          Reply fallback) {
  caf::scoped_actor self(system);
  Reply reply = std::move(fallback);
  self->request(actor, caf::infinite, std::move(message))
      .receive([&](Reply& received) { reply = std::move(received); },
               [](const caf::error&) {});
  return reply;
}

}  // namespace

key_owner::key_owner(caf::actor_system& system,
                     idempotency_limits limits,
                     std::string incarnation)
    : system_(system),
      actor_(system.spawn<key_owner_actor>(limits, std::move(incarnation))) {}

key_owner::~key_owner() {
  caf::anon_send_exit(actor_, caf::exit_reason::user_shutdown);
}

key_claim_answer key_owner::Claim(const claim_message& message) {
  return Ask(system_, actor_, message,
             key_claim_answer{key_answer::kOutcomeUnknown, nullptr});
}

void key_owner::Complete(const idempotency_key& key, stored_response response) {
  caf::anon_send(actor_, end_message{key, attempt_end::kAnswered,
                                     std::make_shared<const stored_response>(
                                         std::move(response))});
}

void key_owner::CompleteUnknown(const idempotency_key& key) {
  caf::anon_send(actor_, end_message{key, attempt_end::kUnknown, nullptr});
}

void key_owner::Abandon(const idempotency_key& key) {
  caf::anon_send(actor_, end_message{key, attempt_end::kNotStarted, nullptr});
}

std::uint64_t key_owner::Generation() {
  return Ask(system_, actor_, generation_message{}, std::uint64_t{0});
}

std::vector<std::string> key_owner::Incarnations() {
  return Ask(system_, actor_, incarnations_message{}, incarnations_reply{})
      .names;
}

handover key_owner::SealAndExport() {
  return Ask(system_, actor_, seal_message{}, import_message{}).value;
}

status key_owner::Import(handover received) {
  const import_reply gone = {
      error{error_code::kInternal, "the key owner has stopped"}};
  return Ask(system_, actor_, import_message{std::move(received)}, gone)
      .outcome;
}

}  // namespace bulrushshore
