#ifndef LIBRARIES_MEMBERSHIP_MEMBERSHIP_ACTOR_H_
#define LIBRARIES_MEMBERSHIP_MEMBERSHIP_ACTOR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>

#include "libraries/base/random_source.h"
#include "libraries/membership/membership_agent.h"

namespace bulrushshore {

// The messages of the membership actor.
struct membership_round_due {};
struct membership_start {};
struct membership_leave {};

struct membership_self_suspect {
  bool is_self_suspect = false;
};

struct membership_catalog_version {
  std::uint64_t version = 0;
};

struct membership_inherit {
  std::vector<std::string> incarnations;
  std::function<void()> done;
};

struct membership_seed {
  endpoint address;
};

struct membership_request {
  peer_request request;
};

struct membership_call_finished {
  peer_call call;
  result<peer_body> reply;
};

// The ping that another host asked for has ended.
struct membership_probe_finished {
  peer_request request;
  bool is_reachable = false;
};

// Owns the membership view of this host and runs its rounds.
class membership_actor : public caf::event_based_actor {
 public:
  struct arguments {
    std::shared_ptr<peer_messenger> messenger;
    metric_registry* metrics = nullptr;
    audit_log* audit = nullptr;
    membership_options options;
    host_record self;
    std::uint64_t random_seed = 0;
    membership_agent::listeners listeners;
    std::shared_ptr<published<membership_snapshot>> output;
  };

  membership_actor(caf::actor_config& config, arguments arguments);

  caf::behavior make_behavior() override;

 private:
  void StartRounds();
  void RunRound();
  void HandleRequest(const peer_request& request);
  void AnswerDigest(const peer_request& request, const digest_message& digest);
  void ProbeFor(const peer_request& request,
                const suspect_check_message& check);
  void HandleCallFinished(const membership_call_finished& finished);
  void SendCalls(std::vector<peer_call> calls);
  void ReportVersion(const endpoint& peer, std::uint64_t version);
  // Publishes the view if it changed. Called once a round, since a copy costs
  // time in proportion to the fleet, and when this host's own record changed.
  void Publish();
  void RecordStateChanges(const membership_snapshot& before,
                          const membership_snapshot& after);

  arguments arguments_;
  seeded_random random_;
  membership_rounds rounds_;
  time_point started_;
  std::uint64_t published_records_ = 0;
  std::uint64_t published_counters_ = 0;
  gauge& live_hosts_;
  counter& refutations_;
  counter& full_comparisons_;
};

}  // namespace bulrushshore

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_round_due)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_start)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_leave)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_self_suspect)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_catalog_version)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_inherit)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_seed)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_call_finished)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::membership_probe_finished)

#endif  // LIBRARIES_MEMBERSHIP_MEMBERSHIP_ACTOR_H_
