#ifndef LIBRARIES_CONFIGURATION_CONFIGURATION_ACTOR_H_
#define LIBRARIES_CONFIGURATION_CONFIGURATION_ACTOR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <caf/allowed_unsafe_message_type.hpp>
#include <caf/event_based_actor.hpp>

#include "libraries/base/random_source.h"
#include "libraries/configuration/catalog_pull.h"
#include "libraries/configuration/configuration_agent.h"
#include "libraries/configuration/refused_sources.h"
#include "libraries/configuration/snapshot_keeper.h"
#include "libraries/configuration/store_watch.h"

namespace bulrushshore {

// The messages of the configuration actor.
struct configuration_tick {};

struct configuration_peer_version {
  endpoint peer;
  std::uint64_t version = 0;
};

struct configuration_request {
  peer_request request;
};

struct configuration_slice {
  std::uint64_t pull_number = 0;
  parts_request_message request;
  result<peer_body> reply;
};

struct configuration_version_answer {
  endpoint peer;
  result<peer_body> reply;
};

struct configuration_store_answer {
  store_reading reading;
};

// Owns the configuration of this host.
class configuration_actor : public caf::event_based_actor {
 public:
  struct arguments {
    std::shared_ptr<peer_messenger> messenger;
    std::shared_ptr<const published<membership_snapshot>> membership;
    object_store* store = nullptr;
    std::shared_ptr<blocking_executor> executor;
    metric_registry* metrics = nullptr;
    audit_log* audit = nullptr;
    configuration_options options;
    std::uint64_t random_seed = 0;
    configuration_agent::snapshot_listener listener;
    std::shared_ptr<published<catalog_snapshot>> output;
  };

  configuration_actor(caf::actor_config& config, arguments arguments);

  caf::behavior make_behavior() override;

 private:
  // A pull of a whole catalog from one peer.
  struct peer_pull {
    std::uint64_t number = 0;
    endpoint peer;
    std::uint64_t version = 0;
    catalog_pull pull;
  };

  void Tick();
  void WatchStoreIfDue();
  void HandleStoreAnswer(const store_reading& reading);
  // Without a configuration: asks the peers that were not asked yet, and takes
  // the highest version once all have answered.
  void ContinueColdStart();
  void AskPeersAtColdStart();
  void HandleVersionAnswer(const configuration_version_answer& answer);
  void HandlePeerVersion(const endpoint& peer, std::uint64_t version);
  void StartPull(const endpoint& peer, std::uint64_t version);
  void SendPullRequests();
  void HandleSlice(const configuration_slice& slice);
  void AnswerRequest(const peer_request& request);
  parts_reply_message MakeReply(const parts_request_message& request) const;
  // Returns true unless the catalog failed its checks.
  bool Offer(catalog_bundle bundle, const std::string& source);
  void Publish(const std::string& source);
  void ReportRefusal(const std::string& source, const error& fault);

  arguments arguments_;
  seeded_random random_;
  snapshot_keeper keeper_;
  store_watch watch_;
  std::optional<peer_pull> pull_;
  std::uint64_t next_pull_number_ = 1;
  refused_sources refused_sources_;
  time_point last_peer_report_;
  // Peers that were asked for their version while there is no configuration.
  std::set<std::string> asked_peers_;
  std::size_t open_questions_ = 0;
  std::optional<configuration_peer_version> best_answer_;
  gauge& version_gauge_;
  counter& accepted_;
  counter& refused_;
  counter& stale_;
};

}  // namespace bulrushshore

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::configuration_tick)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::configuration_peer_version)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::configuration_request)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::configuration_slice)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::configuration_version_answer)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(bulrushshore::configuration_store_answer)

#endif  // LIBRARIES_CONFIGURATION_CONFIGURATION_ACTOR_H_
