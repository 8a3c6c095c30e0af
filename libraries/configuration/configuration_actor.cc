#include "libraries/configuration/configuration_actor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <caf/send.hpp>

#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

constexpr std::chrono::seconds kSliceTimeout(2);
constexpr std::chrono::seconds kVersionQueryTimeout(2);
// Bounds what a cold start of many hosts at once asks of the others, and stays
// below the number of connections that a host opens to its peers.
constexpr std::size_t kMaxOpenQuestions = 32;

}  // namespace

configuration_actor::configuration_actor(caf::actor_config& config,
                                         arguments arguments)
    : caf::event_based_actor(config),
      arguments_(std::move(arguments)),
      random_(arguments_.random_seed),
      watch_(arguments_.options, random_),
      last_peer_report_(clock().now()),
      version_gauge_(arguments_.metrics->GetGauge(
          "configuration_version",
          "Version of the configuration in force.")),
      accepted_(arguments_.metrics->GetCounter(
          "configuration_accepted_total",
          "Configurations that came into force.")),
      refused_(arguments_.metrics->GetCounter(
          "configuration_refused_total",
          "Configurations that failed their checks.")),
      stale_(arguments_.metrics->GetCounter(
          "configuration_stale_total",
          "Configurations offered whose version was not higher.")) {}

caf::behavior configuration_actor::make_behavior() {
  return {
      [this](const configuration_tick&) { Tick(); },
      [this](const configuration_peer_version& message) {
        last_peer_report_ = clock().now();
        HandlePeerVersion(message.peer, message.version);
      },
      [this](const configuration_request& message) {
        AnswerRequest(message.request);
      },
      [this](const configuration_slice& message) { HandleSlice(message); },
      [this](const configuration_version_answer& message) {
        HandleVersionAnswer(message);
      },
      [this](const configuration_store_answer& message) {
        HandleStoreAnswer(message.reading);
      },
  };
}

void configuration_actor::Tick() {
  delayed_send(this, arguments_.options.tick_interval, configuration_tick());
  WatchStoreIfDue();
  ContinueColdStart();
}

void configuration_actor::WatchStoreIfDue() {
  const time_point now = clock().now();
  if (!watch_.IsDue(now)) {
    return;
  }
  const std::shared_ptr<const membership_snapshot> membership =
      arguments_.membership->Get();
  const bool is_cut_off =
      now - last_peer_report_ >= arguments_.options.peer_silence_limit;
  // A host without a configuration reads the store itself, whoever watches it.
  if (keeper_.version() != 0 && !is_cut_off &&
      !IsStoreWatcher(membership->self.id, membership->hosts,
                      arguments_.options)) {
    return;
  }
  const caf::actor self = caf::actor_cast<caf::actor>(this);
  arguments_.executor->Submit(
      [self, store = arguments_.store, after = watch_.Begin(),
       version = keeper_.version(), known = keeper_.bundle(),
       timeout = arguments_.options.watch_time] {
        caf::anon_send(self, configuration_store_answer{ReadStore(
                                 *store, after, version, known, timeout)});
      });
}

void configuration_actor::HandleStoreAnswer(const store_reading& reading) {
  watch_.End(reading, clock().now());
  if (IsOk(reading.catalog)) {
    Offer(ValueOf(reading.catalog), "store");
  } else if (ErrorOf(reading.catalog).code == error_code::kConflict) {
    stale_.Increment();
  } else if (ErrorOf(reading.catalog).code == error_code::kDataLoss) {
    refused_.Increment();
    LogEvent(
        log_level::kWarning, "configuration_unreadable",
        {{"source", "store"}, {"reason", ErrorOf(reading.catalog).message}});
  }
  WatchStoreIfDue();
}

void configuration_actor::ContinueColdStart() {
  if (keeper_.version() != 0 || pull_.has_value()) {
    return;
  }
  AskPeersAtColdStart();
  if (open_questions_ > 0) {
    return;
  }
  // All were asked once; those that did not answer, or had nothing, are asked
  // again at a later tick.
  asked_peers_.clear();
  if (best_answer_.has_value()) {
    const configuration_peer_version best = *best_answer_;
    best_answer_.reset();
    StartPull(best.peer, best.version);
  }
}

void configuration_actor::AskPeersAtColdStart() {
  const std::shared_ptr<const membership_snapshot> membership =
      arguments_.membership->Get();
  const caf::actor self = caf::actor_cast<caf::actor>(this);
  for (const host_record& host : membership->hosts) {
    if (open_questions_ >= kMaxOpenQuestions) {
      return;
    }
    const bool is_asked = host.id == membership->self.id ||
                          host.state == host_state::kLost ||
                          !asked_peers_.insert(host.id).second;
    if (is_asked) {
      continue;
    }
    ++open_questions_;
    arguments_.messenger->Request(
        host.peer_address, parts_request_message{"", 0, true},
        kVersionQueryTimeout,
        [self, peer = host.peer_address](result<peer_body> reply) {
          caf::anon_send(self,
                         configuration_version_answer{peer, std::move(reply)});
        });
  }
}

void configuration_actor::HandleVersionAnswer(
    const configuration_version_answer& answer) {
  --open_questions_;
  if (IsOk(answer.reply)) {
    const parts_reply_message* reply =
        std::get_if<parts_reply_message>(&ValueOf(answer.reply));
    if (reply != nullptr &&
        (!best_answer_.has_value() || reply->version > best_answer_->version)) {
      best_answer_ = configuration_peer_version{answer.peer, reply->version};
    }
  }
  // Hosts beyond the bound of open questions are asked next.
  ContinueColdStart();
}

void configuration_actor::HandlePeerVersion(const endpoint& peer,
                                            std::uint64_t version) {
  // At a cold start the highest version of all peers is taken instead of the
  // first one that is heard of.
  if (keeper_.version() != 0) {
    StartPull(peer, version);
  }
}

void configuration_actor::StartPull(const endpoint& peer,
                                    std::uint64_t version) {
  const bool is_allowed =
      refused_sources_.IsAllowed(FormatEndpoint(peer), version, clock().now());
  if (version <= keeper_.version() || pull_.has_value() || !is_allowed) {
    return;
  }
  pull_ = peer_pull{next_pull_number_++, peer, version,
                    catalog_pull(keeper_.bundle())};
  SendPullRequests();
}

void configuration_actor::SendPullRequests() {
  const caf::actor self = caf::actor_cast<caf::actor>(this);
  for (const parts_request_message& request : pull_->pull.TakeRequests()) {
    arguments_.messenger->Request(
        pull_->peer, request, kSliceTimeout,
        [self, request, number = pull_->number](result<peer_body> reply) {
          caf::anon_send(
              self, configuration_slice{number, request, std::move(reply)});
        });
  }
}

void configuration_actor::HandleSlice(const configuration_slice& slice) {
  if (!pull_.has_value() || pull_->number != slice.pull_number) {
    return;
  }
  const parts_reply_message* reply =
      IsOk(slice.reply)
          ? std::get_if<parts_reply_message>(&ValueOf(slice.reply))
          : nullptr;
  if (reply == nullptr) {
    pull_.reset();
    return;
  }
  const status taken = pull_->pull.OnReply(slice.request, *reply);
  const std::string source = FormatEndpoint(pull_->peer);
  const std::uint64_t version = pull_->version;
  if (!IsOk(taken)) {
    pull_.reset();
    if (ErrorOf(taken).code != error_code::kNotFound) {
      refused_sources_.Add(source, version, clock().now());
      ReportRefusal(source, ErrorOf(taken));
    }
    return;
  }
  if (pull_->pull.is_complete()) {
    catalog_bundle catalog = pull_->pull.TakeCatalog();
    pull_.reset();
    if (!Offer(std::move(catalog), source)) {
      refused_sources_.Add(source, version, clock().now());
    }
    return;
  }
  SendPullRequests();
}

void configuration_actor::AnswerRequest(const peer_request& request) {
  const parts_request_message* parts =
      std::get_if<parts_request_message>(&request.body);
  if (parts != nullptr) {
    arguments_.messenger->Reply(request, MakeReply(*parts));
  }
}

parts_reply_message configuration_actor::MakeReply(
    const parts_request_message& request) const {
  parts_reply_message reply;
  reply.digest = request.digest;
  reply.version = keeper_.version();
  const std::string* value = &keeper_.bundle().head;
  if (!request.digest.empty()) {
    const auto position = keeper_.bundle().parts.find(request.digest);
    value = position == keeper_.bundle().parts.end() ? nullptr
                                                     : position->second.get();
  }
  if (request.is_version_query || value == nullptr || value->empty() ||
      request.offset >= value->size()) {
    return reply;
  }
  reply.is_found = true;
  reply.total_bytes = value->size();
  reply.offset = request.offset;
  reply.bytes = value->substr(request.offset, kMaxSliceBytes);
  return reply;
}

bool configuration_actor::Offer(catalog_bundle bundle,
                                const std::string& source) {
  switch (keeper_.Offer(std::move(bundle))) {
    case snapshot_keeper::verdict::kAccepted:
      Publish(source);
      return true;
    case snapshot_keeper::verdict::kNotNewer:
      stale_.Increment();
      return true;
    case snapshot_keeper::verdict::kRefused:
      ReportRefusal(source, *keeper_.last_refusal());
      return false;
  }
  return false;
}

void configuration_actor::Publish(const std::string& source) {
  const std::shared_ptr<const catalog_snapshot>& snapshot = keeper_.snapshot();
  accepted_.Increment();
  version_gauge_.Set(static_cast<std::int64_t>(snapshot->version));
  arguments_.output->Set(snapshot);
  LogEvent(log_level::kInfo, "configuration_in_force",
           {{"version", snapshot->version},
            {"note", snapshot->note_id},
            {"source", source}});
  arguments_.audit->Append(
      {CurrentUnixTimeMs(), arguments_.membership->Get()->self.id,
       "note_applied", snapshot->note_id, source, snapshot->version});
  if (arguments_.listener != nullptr) {
    arguments_.listener(snapshot);
  }
}

void configuration_actor::ReportRefusal(const std::string& source,
                                        const error& fault) {
  refused_.Increment();
  LogEvent(log_level::kWarning, "configuration_refused",
           {{"source", source}, {"reason", fault.message}});
  arguments_.audit->Append(
      {CurrentUnixTimeMs(), arguments_.membership->Get()->self.id,
       "configuration_refused", source, fault.message, keeper_.version()});
}

}  // namespace bulrushshore
