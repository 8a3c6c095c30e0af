#include "libraries/history/work_answer.h"

#include <xxhash.h>

#include <nlohmann/json.hpp>

#include "libraries/base/random_source.h"

namespace bulrushshore {
namespace {

std::string Dump(const nlohmann::json& value) {
  constexpr int kNoIndent = -1;
  return value.dump(kNoIndent, ' ', false,
                    nlohmann::json::error_handler_t::replace);
}

std::string ChecksumOf(const work_answer& answer) {
  // An array of strings keeps the boundaries between the fields.
  const std::string text = Dump({answer.request_id, answer.key, answer.target,
                                 answer.run, answer.filler});
  return FormatHex(XXH3_64bits(text.data(), text.size()));
}

bool ReadField(const nlohmann::json& object,
               const char* name,
               std::string* value) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) {
    return false;
  }
  *value = found->get<std::string>();
  return true;
}

}  // namespace

std::string FormatWorkAnswer(const work_answer& answer) {
  const nlohmann::json object = {
      {"request_id", answer.request_id}, {"key", answer.key},
      {"target", answer.target},         {"run", answer.run},
      {"filler", answer.filler},         {"checksum", ChecksumOf(answer)}};
  return Dump(object);
}

result<work_answer> ParseWorkAnswer(std::string_view body) {
  const nlohmann::json object = nlohmann::json::parse(body, nullptr, false);
  if (!object.is_object()) {
    return error{error_code::kDataLoss, "the response is no JSON object"};
  }
  work_answer answer;
  std::string checksum;
  const bool is_complete =
      ReadField(object, "request_id", &answer.request_id) &&
      ReadField(object, "key", &answer.key) &&
      ReadField(object, "target", &answer.target) &&
      ReadField(object, "run", &answer.run) &&
      ReadField(object, "filler", &answer.filler) &&
      ReadField(object, "checksum", &checksum);
  if (!is_complete) {
    return error{error_code::kDataLoss, "the response lacks a field"};
  }
  if (checksum != ChecksumOf(answer)) {
    return error{error_code::kDataLoss, "the checksum does not match"};
  }
  return answer;
}

}  // namespace bulrushshore
