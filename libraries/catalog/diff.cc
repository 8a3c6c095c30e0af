#include "libraries/catalog/diff.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bulrushshore {
namespace {

// The values of an object in the words of the release note format.
using field_list = std::vector<std::pair<std::string, std::string>>;

std::string BooleanText(bool value) {
  return value ? "true" : "false";
}

field_list FieldsOf(const service& value) {
  return {{"floor_percent", std::to_string(value.floor_percent)},
          {"timeout_ms", std::to_string(value.timeout.count())},
          {"queue_limit", std::to_string(value.queue_limit)},
          {"patience_ms", std::to_string(value.patience.count())},
          {"max_body_bytes", std::to_string(value.max_body_bytes)}};
}

field_list FieldsOf(const target& value) {
  const bool is_draining = value.state == target_state::kDraining;
  return {{"address", FormatEndpoint(value.address)},
          {"zone", value.zone},
          {"slots", std::to_string(value.slots)},
          {"max_connections", std::to_string(value.max_connections)},
          {"state", is_draining ? "draining" : "active"}};
}

field_list FieldsOf(const route& value) {
  return {{"service", value.service},
          {"path_prefix", value.path_prefix},
          {"host_name", value.host_name},
          {"kind", value.kind},
          {"idempotent", BooleanText(value.is_idempotent)},
          {"key_required", BooleanText(value.is_key_required)}};
}

field_list FieldsOf(const organisation& value) {
  return {{"weight", std::to_string(value.weight)}};
}

std::string TypeName(const service&) {
  return "service";
}

std::string TypeName(const target&) {
  return "target";
}

std::string TypeName(const route&) {
  return "route";
}

std::string TypeName(const organisation&) {
  return "organisation";
}

template <typename Object>
void AddChanges(const std::map<std::string, Object>& before,
                const std::map<std::string, Object>& after,
                std::vector<catalog_change>& changes) {
  auto old_entry = before.begin();
  auto new_entry = after.begin();
  while (old_entry != before.end() || new_entry != after.end()) {
    const bool is_gone =
        new_entry == after.end() ||
        (old_entry != before.end() && old_entry->first < new_entry->first);
    const bool is_new =
        old_entry == before.end() ||
        (new_entry != after.end() && new_entry->first < old_entry->first);
    if (is_gone) {
      changes.emplace_back(object_change<Object>{
          old_entry->first, old_entry->second, std::nullopt});
      ++old_entry;
      continue;
    }
    if (is_new) {
      changes.emplace_back(object_change<Object>{new_entry->first, std::nullopt,
                                                 new_entry->second});
      ++new_entry;
      continue;
    }
    if (old_entry->second != new_entry->second) {
      changes.emplace_back(object_change<Object>{
          old_entry->first, old_entry->second, new_entry->second});
    }
    ++old_entry;
    ++new_entry;
  }
}

template <typename Object>
std::string VerbOf(const object_change<Object>& change) {
  if (!change.before.has_value()) {
    return "add";
  }
  return change.after.has_value() ? "change" : "withdraw";
}

template <typename Object>
change_description Describe(const object_change<Object>& change) {
  change_description description;
  description.key = change.key;
  description.verb = VerbOf(change);
  description.object_type =
      TypeName(change.after.has_value() ? *change.after : *change.before);
  const field_list before =
      change.before.has_value() ? FieldsOf(*change.before) : field_list{};
  const field_list after =
      change.after.has_value() ? FieldsOf(*change.after) : field_list{};
  const std::size_t count = std::max(before.size(), after.size());
  for (std::size_t index = 0; index < count; ++index) {
    field_change field;
    field.name = before.empty() ? after[index].first : before[index].first;
    field.before = before.empty() ? "" : before[index].second;
    field.after = after.empty() ? "" : after[index].second;
    if (field.before != field.after) {
      description.fields.push_back(std::move(field));
    }
  }
  return description;
}

std::map<std::string, organisation> ByName(const organisation_table& table) {
  std::map<std::string, organisation> by_name;
  for (organisation& value : table.Sorted()) {
    by_name.emplace_hint(by_name.end(), value.name, std::move(value));
  }
  return by_name;
}

struct change_describer {
  template <typename Object>
  change_description operator()(const object_change<Object>& change) const {
    return Describe(change);
  }
};

}  // namespace

std::vector<catalog_change> DiffCatalogs(const catalog_contents& before,
                                         const catalog_contents& after) {
  std::vector<catalog_change> changes;
  AddChanges(before.services, after.services, changes);
  AddChanges(before.targets, after.targets, changes);
  AddChanges(before.routes, after.routes, changes);
  AddChanges(ByName(before.organisations), ByName(after.organisations),
             changes);
  return changes;
}

change_description DescribeChange(const catalog_change& change) {
  return std::visit(change_describer(), change);
}

}  // namespace bulrushshore
