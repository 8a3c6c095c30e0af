#include "libraries/history/history_event.h"

#include <array>
#include <utility>

namespace bulrushshore {
namespace {

template <typename Enum, std::size_t Count>
using enum_names = std::array<std::pair<Enum, std::string_view>, Count>;

constexpr enum_names<recorded_outcome, 4> kOutcomeNames = {{
    {recorded_outcome::kAnswered, "answered"},
    {recorded_outcome::kNotRun, "not_run"},
    {recorded_outcome::kUnknown, "unknown"},
    {recorded_outcome::kRefused, "refused"},
}};

constexpr enum_names<recorded_repeat, 3> kRepeatNames = {{
    {recorded_repeat::kIdempotent, "idempotent"},
    {recorded_repeat::kKeyed, "keyed"},
    {recorded_repeat::kOnce, "once"},
}};

constexpr enum_names<work_outcome, 4> kWorkOutcomeNames = {{
    {work_outcome::kCompleted, "completed"},
    {work_outcome::kFailed, "failed"},
    {work_outcome::kCancelled, "cancelled"},
    {work_outcome::kTimedOut, "timed_out"},
}};

template <typename Enum, std::size_t Count>
std::string_view NameOf(const enum_names<Enum, Count>& names, Enum value) {
  return names.at(static_cast<std::size_t>(value)).second;
}

// Throws like the other conversions of nlohmann-json, which ParseHistoryEvent()
// turns into an error value.
template <typename Enum, std::size_t Count>
Enum ReadEnum(const enum_names<Enum, Count>& names,
              const nlohmann::json& value) {
  for (const std::pair<Enum, std::string_view>& entry : names) {
    if (value == entry.second) {
      return entry.first;
    }
  }
  throw nlohmann::json::other_error::create(0, "unknown name", &value);
}

}  // namespace

void to_json(nlohmann::json& json, recorded_outcome value) {
  json = NameOf(kOutcomeNames, value);
}
void from_json(const nlohmann::json& json, recorded_outcome& value) {
  value = ReadEnum(kOutcomeNames, json);
}
void to_json(nlohmann::json& json, recorded_repeat value) {
  json = NameOf(kRepeatNames, value);
}
void from_json(const nlohmann::json& json, recorded_repeat& value) {
  value = ReadEnum(kRepeatNames, json);
}
void to_json(nlohmann::json& json, work_outcome value) {
  json = NameOf(kWorkOutcomeNames, value);
}
void from_json(const nlohmann::json& json, work_outcome& value) {
  value = ReadEnum(kWorkOutcomeNames, json);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(invocation_event,
                                   operation,
                                   service,
                                   repeat,
                                   unix_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_start_event,
                                   operation,
                                   request_id,
                                   host,
                                   key,
                                   unix_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_end_event,
                                   request_id,
                                   outcome,
                                   status,
                                   reason,
                                   unix_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(recorded_answer,
                                   intact,
                                   request_id,
                                   key,
                                   run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(work_start_event,
                                   run,
                                   target,
                                   incarnation,
                                   request_id,
                                   key,
                                   kind,
                                   unix_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(work_end_event, run, outcome, unix_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(target_exit_event,
                                   target,
                                   incarnation,
                                   unix_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(host_stop_event, host, begin_ms, end_ms)

void to_json(nlohmann::json& json, const completion_event& event) {
  json = {{"operation", event.operation},
          {"outcome", event.outcome},
          {"key", event.key},
          {"host", event.host},
          {"reason", event.reason},
          {"status", event.status},
          {"unix_ms", event.unix_ms}};
  if (event.answer) {
    json["answer"] = *event.answer;
  }
}

void from_json(const nlohmann::json& json, completion_event& event) {
  json.at("operation").get_to(event.operation);
  json.at("outcome").get_to(event.outcome);
  json.at("key").get_to(event.key);
  json.at("host").get_to(event.host);
  json.at("reason").get_to(event.reason);
  json.at("status").get_to(event.status);
  json.at("unix_ms").get_to(event.unix_ms);
  if (json.contains("answer")) {
    event.answer = json.at("answer").get<recorded_answer>();
  }
}

namespace {

// The names of the alternatives of history_event, in their order.
constexpr std::array<std::string_view, std::variant_size_v<history_event>>
    kEventNames = {"invoke",     "attempt_start", "attempt_end", "complete",
                   "work_start", "work_end",      "target_exit", "host_stop"};

struct fields_of_event {
  template <typename Event>
  nlohmann::json operator()(const Event& event) const {
    return event;
  }
};

template <std::size_t Index = 0>
history_event ReadEvent(const nlohmann::json& object) {
  if constexpr (Index < kEventNames.size()) {
    if (object.at("event") == kEventNames.at(Index)) {
      return object.get<std::variant_alternative_t<Index, history_event>>();
    }
    return ReadEvent<Index + 1>(object);
  }
  throw nlohmann::json::other_error::create(0, "unknown event", &object);
}

}  // namespace

std::string_view RecordedOutcomeName(recorded_outcome outcome) {
  return NameOf(kOutcomeNames, outcome);
}

std::string_view RecordedRepeatName(recorded_repeat repeat) {
  return NameOf(kRepeatNames, repeat);
}

std::string_view WorkOutcomeName(work_outcome outcome) {
  return NameOf(kWorkOutcomeNames, outcome);
}

nlohmann::json ToJson(const history_event& event) {
  nlohmann::json object = std::visit(fields_of_event(), event);
  object["event"] = kEventNames.at(event.index());
  return object;
}

result<history_event> ParseHistoryEvent(std::string_view line) {
  const nlohmann::json object = nlohmann::json::parse(line, nullptr, false);
  if (!object.is_object()) {
    return error{error_code::kDataLoss, "no JSON object"};
  }
  try {
    return ReadEvent(object);
  } catch (const nlohmann::json::exception& failure) {
    return error{error_code::kInvalidArgument, failure.what()};
  }
}

}  // namespace bulrushshore
