#include "libraries/idempotency/idempotency_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bulrushshore {

idempotency_table::idempotency_table(idempotency_limits limits,
                                     std::string incarnation,
                                     time_point start)
    : limits_(limits), own_incarnation_(std::move(incarnation)) {
  incarnations_[own_incarnation_].start = start;
}

claim idempotency_table::Claim(const idempotency_key& key,
                               std::uint64_t fingerprint,
                               time_point now) {
  DropExpired(now);
  const auto owned = incarnations_.find(key.incarnation);
  if (owned == incarnations_.end()) {
    return {claim_decision::kNotOwner, nullptr};
  }
  incarnation_entries& incarnation = owned->second;
  const std::uint64_t current = GenerationOf(incarnation, now);
  if (key.generation > current ||
      key.generation > incarnation.last_issued_generation) {
    return {claim_decision::kNotIssued, nullptr};
  }
  if (!IsRetained(key.generation, current)) {
    return {claim_decision::kExpired, nullptr};
  }
  entries_by_caller_part& entries = incarnation.generations[key.generation];
  const auto found = entries.find(key.caller_part);
  if (found != entries.end()) {
    return ClaimExisting(found->second, fingerprint);
  }
  if (is_sealed_) {
    return {claim_decision::kSealed, nullptr};
  }
  if (entry_count_ >= limits_.max_entries) {
    return {claim_decision::kTableFull, nullptr};
  }
  entries.emplace(key.caller_part,
                  entry{key_state::kRunning, fingerprint, nullptr});
  ++entry_count_;
  return {claim_decision::kRun, nullptr};
}

claim idempotency_table::ClaimExisting(const entry& found,
                                       std::uint64_t fingerprint) const {
  if (found.fingerprint != fingerprint) {
    return {claim_decision::kDifferentRequest, nullptr};
  }
  switch (found.state) {
    case key_state::kRunning:
      return {claim_decision::kWait, nullptr};
    case key_state::kAnswered:
      return {claim_decision::kStoredResponse, found.response};
    case key_state::kResponseNotKept:
      return {claim_decision::kResponseNotKept, nullptr};
    case key_state::kUnknown:
      break;
  }
  return {claim_decision::kOutcomeUnknown, nullptr};
}

void idempotency_table::Complete(
    const idempotency_key& key,
    std::shared_ptr<const stored_response> response) {
  assert(response != nullptr);
  entry* const running = FindRunning(key);
  if (running != nullptr) {
    StoreResponse(*running, std::move(response));
  }
}

void idempotency_table::CompleteUnknown(const idempotency_key& key) {
  entry* const running = FindRunning(key);
  if (running != nullptr) {
    running->state = key_state::kUnknown;
  }
}

void idempotency_table::Abandon(const idempotency_key& key) {
  if (is_sealed_) {
    CompleteUnknown(key);
    return;
  }
  if (FindRunning(key) == nullptr) {
    return;
  }
  incarnations_.find(key.incarnation)
      ->second.generations[key.generation]
      .erase(key.caller_part);
  --entry_count_;
}

void idempotency_table::Seal() {
  is_sealed_ = true;
}

handover idempotency_table::Export(time_point now) {
  assert(is_sealed_);
  DropExpired(now);
  handover exported;
  for (const std::pair<const std::string, incarnation_entries>& owned :
       incarnations_) {
    incarnation_export& part = exported.incarnations.emplace_back();
    part.incarnation = owned.first;
    part.generation = GenerationOf(owned.second, now);
    part.last_issued_generation =
        std::min(part.generation, owned.second.last_issued_generation);
    for (const std::pair<const std::uint64_t, entries_by_caller_part>&
             generation : owned.second.generations) {
      for (const entries_by_caller_part::value_type& stored :
           generation.second) {
        const entry& value = stored.second;
        const key_state state = value.state == key_state::kRunning
                                    ? key_state::kUnknown
                                    : value.state;
        part.entries.push_back({generation.first, stored.first, state,
                                value.fingerprint, value.response});
      }
    }
  }
  return exported;
}

status idempotency_table::Import(const handover& received, time_point now) {
  if (is_sealed_) {
    return error{error_code::kUnavailable, "the key table is sealed"};
  }
  DropExpired(now);
  std::size_t added = 0;
  for (const incarnation_export& part : received.incarnations) {
    if (incarnations_.contains(part.incarnation)) {
      return error{error_code::kConflict,
                   "already answers for incarnation " + part.incarnation};
    }
    added += part.entries.size();
  }
  if (entry_count_ + added > limits_.max_entries) {
    return error{error_code::kResourceExhausted,
                 "the key table has no room for the hand-over"};
  }
  for (const incarnation_export& part : received.incarnations) {
    ImportIncarnation(part, now);
  }
  return OkStatus();
}

void idempotency_table::ImportIncarnation(const incarnation_export& received,
                                          time_point now) {
  incarnation_entries& incarnation = incarnations_[received.incarnation];
  incarnation.start = now - static_cast<std::int64_t>(received.generation) *
                                limits_.generation_length;
  incarnation.last_issued_generation = received.last_issued_generation;
  for (const exported_key& key : received.entries) {
    entries_by_caller_part& entries = incarnation.generations[key.generation];
    const std::pair<entries_by_caller_part::iterator, bool> added =
        entries.emplace(key.caller_part,
                        entry{key.state, key.fingerprint, nullptr});
    if (!added.second) {
      continue;
    }
    ++entry_count_;
    if (key.state == key_state::kAnswered) {
      StoreResponse(added.first->second, key.response);
    }
  }
}

std::uint64_t idempotency_table::Generation(time_point now) const {
  return GenerationOf(incarnations_.find(own_incarnation_)->second, now);
}

std::vector<std::string> idempotency_table::Incarnations() const {
  std::vector<std::string> names;
  for (const std::pair<const std::string, incarnation_entries>& owned :
       incarnations_) {
    names.push_back(owned.first);
  }
  return names;
}

std::uint64_t idempotency_table::GenerationOf(
    const incarnation_entries& incarnation,
    time_point now) const {
  const duration age = now - incarnation.start;
  return static_cast<std::uint64_t>(age / limits_.generation_length);
}

bool idempotency_table::IsRetained(std::uint64_t generation,
                                   std::uint64_t current) const {
  return current - generation < limits_.retained_generations;
}

void idempotency_table::DropExpired(time_point now) {
  for (std::pair<const std::string, incarnation_entries>& owned :
       incarnations_) {
    const std::uint64_t current = GenerationOf(owned.second, now);
    std::map<std::uint64_t, entries_by_caller_part>& generations =
        owned.second.generations;
    while (!generations.empty() &&
           !IsRetained(generations.begin()->first, current)) {
      for (const entries_by_caller_part::value_type& dropped :
           generations.begin()->second) {
        if (dropped.second.response != nullptr) {
          response_bytes_ -= dropped.second.response->Bytes();
        }
        --entry_count_;
      }
      generations.erase(generations.begin());
    }
  }
}

idempotency_table::entry* idempotency_table::FindRunning(
    const idempotency_key& key) {
  const auto owned = incarnations_.find(key.incarnation);
  if (owned == incarnations_.end()) {
    return nullptr;
  }
  const auto generation = owned->second.generations.find(key.generation);
  if (generation == owned->second.generations.end()) {
    return nullptr;
  }
  const auto found = generation->second.find(key.caller_part);
  if (found == generation->second.end() ||
      found->second.state != key_state::kRunning) {
    return nullptr;
  }
  return &found->second;
}

void idempotency_table::StoreResponse(
    entry& ended,
    std::shared_ptr<const stored_response> response) {
  const std::size_t bytes = response->Bytes();
  if (bytes > limits_.max_single_response_bytes ||
      response_bytes_ + bytes > limits_.max_response_bytes) {
    ended.state = key_state::kResponseNotKept;
    return;
  }
  response_bytes_ += bytes;
  ended.state = key_state::kAnswered;
  ended.response = std::move(response);
}

}  // namespace bulrushshore
