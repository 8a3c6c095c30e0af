#include "libraries/membership/membership_actor.h"

#include <algorithm>
#include <utility>

#include <caf/send.hpp>

#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kExchangeTimeout(1);
constexpr std::chrono::seconds kProbeTimeout(1);
// Leaves the helper its own time-out, rounded up to the next round.
constexpr std::chrono::milliseconds kSuspectCheckTimeout(2500);
constexpr std::chrono::seconds kKeyGenerationLength(60);
// The table of keys counts generations from a start of its own and refuses
// those that it has not reached yet; older ones it still takes.
constexpr std::chrono::seconds kKeyGenerationDelay(5);

duration TimeoutOf(const peer_body& body) {
  if (std::holds_alternative<suspect_check_message>(body)) {
    return kSuspectCheckTimeout;
  }
  return kExchangeTimeout;
}

}  // namespace

membership_actor::membership_actor(caf::actor_config& config,
                                   arguments arguments)
    : caf::event_based_actor(config),
      arguments_(std::move(arguments)),
      random_(arguments_.random_seed),
      rounds_(arguments_.options, arguments_.self, random_),
      started_(clock().now()),
      live_hosts_(arguments_.metrics->GetGauge(
          "membership_live_hosts",
          "Hosts that this host believes to be live, itself included.")),
      refutations_(arguments_.metrics->GetCounter(
          "membership_refutations_total",
          "Records about this host that it contradicted.")),
      full_comparisons_(arguments_.metrics->GetCounter(
          "membership_full_comparisons_total",
          "Comparisons of full host lists that this host started.")) {}

caf::behavior membership_actor::make_behavior() {
  return {
      [this](const membership_start&) { StartRounds(); },
      [this](const membership_round_due&) { RunRound(); },
      [this](const membership_request& message) {
        HandleRequest(message.request);
      },
      [this](const membership_call_finished& message) {
        HandleCallFinished(message);
      },
      [this](const membership_probe_finished& message) {
        const suspect_check_message* check =
            std::get_if<suspect_check_message>(&message.request.body);
        arguments_.messenger->Reply(
            message.request,
            suspect_check_reply_message{check->id, message.is_reachable});
      },
      [this](const membership_leave&) {
        rounds_.view().SetLeaving();
        Publish();
      },
      [this](const membership_self_suspect& message) {
        rounds_.view().SetSelfSuspect(message.is_self_suspect);
        Publish();
      },
      [this](const membership_catalog_version& message) {
        rounds_.view().RaiseSelfCounters(0, message.version);
        Publish();
      },
      [this](const membership_inherit& message) {
        rounds_.view().Inherit(message.incarnations);
        Publish();
        message.done();
      },
      [this](const membership_seed& message) {
        rounds_.AddSeed(message.address);
      },
  };
}

void membership_actor::StartRounds() {
  // Hosts that start together spread over the round.
  const duration round = arguments_.options.round_interval;
  const duration delay =
      duration(random_.Uniform(static_cast<std::uint64_t>(round.count())));
  delayed_send(this, delay, membership_round_due());
}

void membership_actor::RunRound() {
  const time_point now = clock().now();
  delayed_send(this, arguments_.options.round_interval, membership_round_due());
  arguments_.messenger->ExpireRequests();
  const duration age =
      std::max<duration>(now - started_ - kKeyGenerationDelay, duration(0));
  rounds_.view().RaiseSelfCounters(
      static_cast<std::uint64_t>(age / kKeyGenerationLength), 0);
  SendCalls(rounds_.StartRound(now));
  Publish();
}

void membership_actor::HandleRequest(const peer_request& request) {
  if (const digest_message* digest =
          std::get_if<digest_message>(&request.body)) {
    AnswerDigest(request, *digest);
    return;
  }
  if (const suspect_check_message* check =
          std::get_if<suspect_check_message>(&request.body)) {
    ProbeFor(request, *check);
    return;
  }
  arguments_.messenger->Reply(request, ping_reply_message());
}

void membership_actor::AnswerDigest(const peer_request& request,
                                    const digest_message& digest) {
  arguments_.messenger->Reply(
      request, rounds_.OnDigest(request.from, digest, clock().now()));
  const host_record* sender = rounds_.view().Find(request.from);
  if (sender != nullptr) {
    ReportVersion(sender->peer_address, digest.catalog_version);
  }
}

void membership_actor::ProbeFor(const peer_request& request,
                                const suspect_check_message& check) {
  const caf::actor self = caf::actor_cast<caf::actor>(this);
  arguments_.messenger->Request(
      check.peer_address, ping_message(), kProbeTimeout,
      [self, request](const result<peer_body>& reply) {
        caf::anon_send(self, membership_probe_finished{request, IsOk(reply)});
      });
}

void membership_actor::HandleCallFinished(
    const membership_call_finished& finished) {
  const time_point now = clock().now();
  if (!IsOk(finished.reply)) {
    SendCalls(rounds_.OnFailure(finished.call, now));
    return;
  }
  const peer_body& reply = ValueOf(finished.reply);
  SendCalls(rounds_.OnReply(finished.call, reply, now));
  if (const digest_reply_message* digest =
          std::get_if<digest_reply_message>(&reply)) {
    ReportVersion(finished.call.peer, digest->catalog_version);
  }
}

void membership_actor::SendCalls(std::vector<peer_call> calls) {
  const caf::actor self = caf::actor_cast<caf::actor>(this);
  for (const peer_call& call : calls) {
    arguments_.messenger->Request(
        call.peer, call.body, TimeoutOf(call.body),
        [self, call](result<peer_body> reply) {
          caf::anon_send(self,
                         membership_call_finished{call, std::move(reply)});
        });
  }
}

void membership_actor::ReportVersion(const endpoint& peer,
                                     std::uint64_t version) {
  if (arguments_.listeners.on_version != nullptr) {
    arguments_.listeners.on_version(peer, version);
  }
}

void membership_actor::Publish() {
  const membership_view& view = rounds_.view();
  if (view.record_changes() == published_records_ &&
      view.counter_changes() == published_counters_) {
    return;
  }
  published_records_ = view.record_changes();
  published_counters_ = view.counter_changes();
  const std::shared_ptr<const membership_snapshot> before =
      arguments_.output->Get();
  const std::shared_ptr<const membership_snapshot> after =
      std::make_shared<const membership_snapshot>(
          membership_snapshot{view.self(), view.Records()});
  arguments_.output->Set(after);
  RecordStateChanges(*before, *after);
  if (before->self != after->self &&
      arguments_.listeners.on_self_change != nullptr) {
    arguments_.listeners.on_self_change(after->self);
  }
}

void membership_actor::RecordStateChanges(const membership_snapshot& before,
                                          const membership_snapshot& after) {
  const membership_view& view = rounds_.view();
  live_hosts_.Set(static_cast<std::int64_t>(view.Others(true).size()) + 1);
  refutations_.Increment(view.refutations() - refutations_.value());
  full_comparisons_.Increment(rounds_.full_comparisons() -
                              full_comparisons_.value());
  for (const host_record& host : before.hosts) {
    const host_record* now = view.Find(host.id);
    if (now == nullptr || now->state == host.state) {
      continue;
    }
    const std::string name(HostStateName(now->state));
    LogEvent(log_level::kInfo, "host_state_changed",
             {{"host", host.id}, {"state", name}});
    arguments_.audit->Append({CurrentUnixTimeMs(), after.self.id,
                              "host_" + name, host.id, now->incarnation,
                              after.self.catalog_version});
  }
}

}  // namespace bulrushshore
