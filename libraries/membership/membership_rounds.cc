#include "libraries/membership/membership_rounds.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

// Number of hosts of a fleet that use a rejoin round, on average.
constexpr std::uint64_t kRejoiningHosts = 8;

// Moves `count` random elements to the front and drops the others.
void KeepRandom(std::vector<const host_record*>& hosts,
                std::size_t count,
                random_source& random) {
  const std::size_t kept = std::min(count, hosts.size());
  for (std::size_t index = 0; index < kept; ++index) {
    const std::size_t other = index + random.Uniform(hosts.size() - index);
    std::swap(hosts[index], hosts[other]);
  }
  hosts.resize(kept);
}

bool IsCheckable(const host_record* record) {
  return record != nullptr && (record->state == host_state::kLive ||
                               record->state == host_state::kLeaving);
}

}  // namespace

membership_rounds::membership_rounds(membership_options options,
                                     host_record self,
                                     random_source& random)
    : options_(std::move(options)), random_(random), view_(std::move(self)) {}

std::vector<peer_call> membership_rounds::StartRound(time_point now) {
  ++rounds_;
  checks_.Expire(now);
  view_.Expire(now, options_.suspicion_time, options_.lost_retention);
  const std::optional<peer_call> exchange = ChooseExchange();
  if (!exchange.has_value()) {
    return {};
  }
  return {*exchange};
}

digest_reply_message membership_rounds::OnDigest(const std::string& from,
                                                 const digest_message& digest,
                                                 time_point now) {
  MergeAll(digest.records, digest.counters, now);
  digest_reply_message reply;
  reply.records = view_.TakeRecentRecords(options_.max_records_per_exchange);
  reply.counters = view_.TakeRecentCounters(options_.max_counters_per_exchange);
  if (digest.has_summaries) {
    view_difference difference = view_.Compare(digest.summaries);
    reply.wanted_ids = std::move(difference.newer_there);
    reply.records = std::move(difference.newer_here);
  }
  if (reply.records.size() > kMaxRecordsPerMessage - 2) {
    reply.records.resize(kMaxRecordsPerMessage - 2);
  }
  // The sender learns at once what others say about it, so that it can refute.
  const host_record* sender = view_.Find(from);
  if (sender != nullptr) {
    reply.records.push_back(*sender);
  }
  reply.records.push_back(view_.self());
  reply.view_hash = view_.hash();
  reply.catalog_version = view_.self().catalog_version;
  return reply;
}

std::vector<peer_call> membership_rounds::OnReply(const peer_call& call,
                                                  const peer_body& reply,
                                                  time_point now) {
  if (const digest_reply_message* digest =
          std::get_if<digest_reply_message>(&reply)) {
    return OnDigestReply(call, *digest, now);
  }
  if (const suspect_check_reply_message* check =
          std::get_if<suspect_check_reply_message>(&reply)) {
    OnSuspectCheckReply(call, *check, now);
  }
  return {};
}

std::vector<peer_call> membership_rounds::OnFailure(const peer_call& call,
                                                    time_point now) {
  const host_record* silent = view_.Find(call.peer_id);
  if (!std::holds_alternative<digest_message>(call.body) ||
      !IsCheckable(silent)) {
    return {};
  }
  std::vector<const host_record*> helpers = view_.Others(true);
  std::erase(helpers, silent);
  if (helpers.empty()) {
    view_.Suspect(call.peer_id, now);
    return {};
  }
  KeepRandom(helpers, kHelpersPerCheck, random_);
  if (!checks_.Begin(call.peer_id, helpers.size(), now)) {
    return {};
  }
  std::vector<peer_call> calls;
  calls.reserve(helpers.size());
  for (const host_record* helper : helpers) {
    calls.push_back({helper->peer_address, helper->id,
                     suspect_check_message{silent->id, silent->peer_address}});
  }
  return calls;
}

void membership_rounds::AddSeed(const endpoint& seed) {
  if (std::find(options_.seeds.begin(), options_.seeds.end(), seed) ==
      options_.seeds.end()) {
    options_.seeds.push_back(seed);
  }
}

std::optional<peer_call> membership_rounds::ChooseExchange() {
  std::vector<const host_record*> peers = view_.Others(true);
  // All hosts together contact seeds and absent hosts at a rate that does not
  // grow with the fleet.
  const bool is_rejoin_round =
      rounds_ % options_.rejoin_rounds == 0 &&
      (peers.empty() || random_.Uniform(peers.size()) < kRejoiningHosts);
  if (is_rejoin_round || peers.empty()) {
    std::vector<const host_record*> absent = view_.Others(false);
    const std::optional<endpoint> seed = ChooseSeed();
    const bool takes_seed =
        seed.has_value() && (absent.empty() || random_.Uniform(2) == 0);
    if (takes_seed) {
      return peer_call{*seed, "", MakeDigest()};
    }
    if (!absent.empty()) {
      peers = std::move(absent);
    }
  }
  if (peers.empty()) {
    return std::nullopt;
  }
  KeepRandom(peers, 1, random_);
  return peer_call{peers[0]->peer_address, peers[0]->id, MakeDigest()};
}

std::optional<endpoint> membership_rounds::ChooseSeed() {
  std::vector<endpoint> others;
  for (const endpoint& seed : options_.seeds) {
    if (seed != view_.self().peer_address) {
      others.push_back(seed);
    }
  }
  if (others.empty()) {
    return std::nullopt;
  }
  return others[random_.Uniform(others.size())];
}

digest_message membership_rounds::MakeDigest() {
  digest_message digest;
  digest.records = view_.TakeRecentRecords(options_.max_records_per_exchange);
  digest.records.push_back(view_.self());
  digest.counters =
      view_.TakeRecentCounters(options_.max_counters_per_exchange);
  digest.view_hash = view_.hash();
  digest.catalog_version = view_.self().catalog_version;
  return digest;
}

std::vector<peer_call> membership_rounds::OnDigestReply(
    const peer_call& call,
    const digest_reply_message& reply,
    time_point now) {
  MergeAll(reply.records, reply.counters, now);
  if (!reply.wanted_ids.empty()) {
    digest_message digest = MakeDigest();
    for (const std::string& id : reply.wanted_ids) {
      const host_record* record = view_.Find(id);
      if (record != nullptr && digest.records.size() < kMaxRecordsPerMessage) {
        digest.records.push_back(*record);
      }
    }
    return {{call.peer, call.peer_id, std::move(digest)}};
  }
  const bool is_due =
      !last_full_comparison_.has_value() ||
      now - *last_full_comparison_ >= options_.full_comparison_interval;
  if (reply.view_hash == view_.hash() || !is_due) {
    return {};
  }
  last_full_comparison_ = now;
  ++full_comparisons_;
  digest_message digest = MakeDigest();
  digest.has_summaries = true;
  digest.summaries = view_.Summaries();
  return {{call.peer, call.peer_id, std::move(digest)}};
}

void membership_rounds::OnSuspectCheckReply(
    const peer_call& call,
    const suspect_check_reply_message& reply,
    time_point now) {
  const suspect_check_message* request =
      std::get_if<suspect_check_message>(&call.body);
  if (request == nullptr || request->id != reply.id) {
    return;
  }
  if (checks_.OnAnswer(reply.id, reply.is_reachable)) {
    view_.Suspect(reply.id, now);
  }
}

void membership_rounds::MergeAll(const std::vector<host_record>& records,
                                 const std::vector<host_counters>& counters,
                                 time_point now) {
  for (const host_record& record : records) {
    view_.Merge(record, now);
  }
  for (const host_counters& item : counters) {
    view_.MergeCounters(item);
  }
}

}  // namespace bulrushshore
