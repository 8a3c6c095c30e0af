#ifndef LIBRARIES_MEMBERSHIP_MEMBERSHIP_ROUNDS_H_
#define LIBRARIES_MEMBERSHIP_MEMBERSHIP_ROUNDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/membership/failure_checks.h"
#include "libraries/membership/membership_view.h"
#include "libraries/peer_protocol/messages.h"

namespace bulrushshore {

struct membership_options {
  // Each round starts one gossip exchange.
  duration round_interval = std::chrono::milliseconds(500);
  // Time that a suspected host has to refute the suspicion.
  duration suspicion_time = std::chrono::seconds(5);
  // How long a lost host is remembered, so that old records of it are known
  // to be old.
  duration lost_retention = std::chrono::minutes(10);
  // Shortest time between two comparisons of full lists that a host starts.
  duration full_comparison_interval = std::chrono::seconds(5);
  // Every so many rounds some hosts contact one that is not live, or a seed,
  // which joins the parts of a fleet after a partition.
  std::uint32_t rejoin_rounds = 10;
  std::size_t max_records_per_exchange = 16;
  std::size_t max_counters_per_exchange = 16;
  // Peer addresses that are asked while no other host is known.
  std::vector<endpoint> seeds;
};

// A request that the owner of membership_rounds sends to a peer.
struct peer_call {
  endpoint peer;
  // Empty if the peer is known by its address only.
  std::string peer_id;
  peer_body body;
};

// Decides what this host says to whom: gossip, comparison of views and failure
// detection. Does no input or output. Not thread safe.
class membership_rounds {
 public:
  // Precondition: `random` outlives this object; `self` as for membership_view.
  membership_rounds(membership_options options,
                    host_record self,
                    random_source& random);

  // Starts the next round. Called once per round interval.
  std::vector<peer_call> StartRound(time_point now);

  // Answers the exchange that the host `from` started.
  digest_reply_message OnDigest(const std::string& from,
                                const digest_message& digest,
                                time_point now);

  // Takes the reply to `call` and returns what is to be sent next.
  std::vector<peer_call> OnReply(const peer_call& call,
                                 const peer_body& reply,
                                 time_point now);

  // Notes that `call` was not answered and returns what is to be sent next.
  std::vector<peer_call> OnFailure(const peer_call& call, time_point now);

  // Adds a peer address to the seeds.
  void AddSeed(const endpoint& seed);

  membership_view& view() { return view_; }
  const membership_view& view() const { return view_; }

  // Number of comparisons of full lists that this host started.
  std::uint64_t full_comparisons() const { return full_comparisons_; }

 private:
  std::optional<peer_call> ChooseExchange();
  std::optional<endpoint> ChooseSeed();
  digest_message MakeDigest();
  std::vector<peer_call> OnDigestReply(const peer_call& call,
                                       const digest_reply_message& reply,
                                       time_point now);
  void OnSuspectCheckReply(const peer_call& call,
                           const suspect_check_reply_message& reply,
                           time_point now);
  void MergeAll(const std::vector<host_record>& records,
                const std::vector<host_counters>& counters,
                time_point now);

  membership_options options_;
  random_source& random_;
  membership_view view_;
  failure_checks checks_;
  std::uint64_t rounds_ = 0;
  std::uint64_t full_comparisons_ = 0;
  std::optional<time_point> last_full_comparison_;
};

}  // namespace bulrushshore

#endif  // LIBRARIES_MEMBERSHIP_MEMBERSHIP_ROUNDS_H_
