#include "libraries/catalog/apply.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "libraries/catalog/limits.h"

namespace bulrushshore {
namespace {

template <typename Value>
void Assign(const std::optional<Value>& stated, Value& value) {
  if (stated.has_value()) {
    value = *stated;
  }
}

// Access to the objects of one type that a catalog keeps in a map.
template <typename Object,
          std::map<std::string, Object> catalog_contents::*kMap>
struct map_kind {
  using object = Object;

  static std::optional<Object> Find(const catalog_contents& contents,
                                    const std::string& key) {
    const auto found = (contents.*kMap).find(key);
    return found == (contents.*kMap).end() ? std::nullopt
                                           : std::optional(found->second);
  }

  static void Set(const std::string& key,
                  Object value,
                  catalog_contents& contents) {
    (contents.*kMap)[key] = std::move(value);
  }

  static void Erase(const std::string& key, catalog_contents& contents) {
    (contents.*kMap).erase(key);
  }
};

// Maps the fields of a section to the objects that they set.
struct service_kind : map_kind<service, &catalog_contents::services> {
  using fields = service_fields;
  static constexpr std::string_view kType = "service";

  static void SetKey(const std::string& key, service& value) {
    value.name = key;
  }

  static void SetFields(const service_fields& stated, service& value) {
    Assign(stated.floor_percent, value.floor_percent);
    Assign(stated.timeout, value.timeout);
    Assign(stated.queue_limit, value.queue_limit);
    Assign(stated.patience, value.patience);
    Assign(stated.max_body_bytes, value.max_body_bytes);
  }
};

struct target_kind : map_kind<target, &catalog_contents::targets> {
  using fields = target_fields;
  static constexpr std::string_view kType = "target";

  static void SetKey(const std::string& key, target& value) {
    const std::size_t slash = std::min(key.find('/'), key.size());
    value.service = key.substr(0, slash);
    value.name = key.substr(std::min(slash + 1, key.size()));
  }

  static void SetFields(const target_fields& stated, target& value) {
    Assign(stated.address, value.address);
    Assign(stated.zone, value.zone);
    Assign(stated.slots, value.slots);
    Assign(stated.max_connections, value.max_connections);
    Assign(stated.state, value.state);
  }
};

struct route_kind : map_kind<route, &catalog_contents::routes> {
  using fields = route_fields;
  static constexpr std::string_view kType = "route";

  static void SetKey(const std::string& key, route& value) { value.name = key; }

  static void SetFields(const route_fields& stated, route& value) {
    Assign(stated.service, value.service);
    Assign(stated.path_prefix, value.path_prefix);
    Assign(stated.host_name, value.host_name);
    Assign(stated.kind, value.kind);
    Assign(stated.is_idempotent, value.is_idempotent);
    Assign(stated.is_key_required, value.is_key_required);
  }
};

struct organisation_kind {
  using object = organisation;
  using fields = organisation_fields;
  static constexpr std::string_view kType = "organisation";

  static std::optional<organisation> Find(const catalog_contents& contents,
                                          const std::string& key) {
    const organisation* const found = contents.organisations.Find(key);
    return found == nullptr ? std::nullopt : std::optional(*found);
  }

  static void Set(const std::string& /*key*/,
                  organisation value,
                  catalog_contents& contents) {
    contents.organisations.Set(std::move(value));
  }

  static void Erase(const std::string& key, catalog_contents& contents) {
    contents.organisations.Erase(key);
  }

  static void SetKey(const std::string& key, organisation& value) {
    value.name = key;
  }

  static void SetFields(const organisation_fields& stated,
                        organisation& value) {
    Assign(stated.weight, value.weight);
  }
};

class note_applier {
 public:
  note_applier(const catalog_contents& contents, const release_note& note)
      : contents_(contents), note_(note) {}

  void Apply() {
    for (const note_section& section : note_.sections) {
      ApplySection(section);
    }
    for (const object_error& found : CheckReferences(contents_)) {
      AddReferenceError(found);
    }
    AddFloorWarnings();
    SortByLine(errors_);
    SortByLine(warnings_);
  }

  static void SortByLine(line_errors& errors) {
    std::stable_sort(errors.begin(), errors.end(),
                     [](const line_error& left, const line_error& right) {
                       return left.line < right.line;
                     });
  }

  catalog_contents contents() && { return std::move(contents_); }
  const line_errors& errors() const { return errors_; }
  const line_errors& warnings() const { return warnings_; }

 private:
  void ApplySection(const note_section& section) {
    switch (section.fields.index()) {
      case 0:
        return ApplyTo<service_kind>(section);
      case 1:
        return ApplyTo<target_kind>(section);
      case 2:
        return ApplyTo<route_kind>(section);
      default:
        return ApplyTo<organisation_kind>(section);
    }
  }

  template <typename Kind>
  void ApplyTo(const note_section& section) {
    const std::string object = std::string(Kind::kType) + " " + section.key;
    lines_[object] = section.line;
    std::optional<typename Kind::object> value =
        Kind::Find(contents_, section.key);
    if (section.verb == note_verb::kAdd && value.has_value()) {
      errors_.push_back({section.line, object + " already exists"});
      return;
    }
    if (section.verb != note_verb::kAdd && !value.has_value()) {
      errors_.push_back({section.line, object + " does not exist"});
      return;
    }
    if (section.verb == note_verb::kWithdraw) {
      Kind::Erase(section.key, contents_);
      return;
    }
    const typename Kind::fields& stated =
        std::get<typename Kind::fields>(section.fields);
    if (!value.has_value()) {
      value.emplace();
    }
    Kind::SetKey(section.key, *value);
    Kind::SetFields(stated, *value);
    Kind::Set(section.key, *std::move(value), contents_);
  }

  void AddReferenceError(const object_error& found) {
    const std::string object = found.object_type + " " + found.key;
    errors_.push_back({LineOf(found), found.key.empty()
                                          ? found.message
                                          : object + ": " + found.message});
  }

  // The error belongs to the section that names the object or the one that it
  // collides with; otherwise to the one that withdraws its service.
  int LineOf(const object_error& found) const {
    for (const std::string& object : {found.object_type + " " + found.key,
                                      found.object_type + " " + found.other_key,
                                      "service " + OwnerOf(found)}) {
      const auto named = lines_.find(object);
      if (named != lines_.end()) {
        return named->second;
      }
    }
    return 0;
  }

  std::string OwnerOf(const object_error& found) const {
    if (found.object_type == "target") {
      return found.key.substr(0, found.key.find('/'));
    }
    const auto owned = contents_.routes.find(found.key);
    return owned == contents_.routes.end() ? "" : owned->second.service;
  }

  void AddFloorWarnings() {
    const std::map<std::string, int> touched = TouchedServices();
    for (const std::pair<const std::string, service_capacity>& entry :
         ComputeCapacities(contents_)) {
      const service_capacity& capacity = entry.second;
      const auto line = touched.find(entry.first);
      if (line == touched.end() ||
          capacity.active_slots >= capacity.floor_slots) {
        continue;
      }
      warnings_.push_back(
          {line->second,
           "service " + entry.first + " is left with " +
               std::to_string(capacity.active_slots) + " active slots of " +
               std::to_string(capacity.registered_slots) +
               "; its floor asks for " + std::to_string(capacity.floor_slots)});
    }
  }

  // Services whose rules or targets the note changes, with the line of the
  // last section that does so.
  std::map<std::string, int> TouchedServices() const {
    std::map<std::string, int> touched;
    for (const note_section& section : note_.sections) {
      if (std::holds_alternative<service_fields>(section.fields) ||
          std::holds_alternative<target_fields>(section.fields)) {
        const std::string name = section.key.substr(0, section.key.find('/'));
        touched[name] = section.line;
      }
    }
    return touched;
  }

  catalog_contents contents_;
  const release_note& note_;
  std::map<std::string, int> lines_;
  line_errors errors_;
  line_errors warnings_;
};

}  // namespace

std::variant<applied_note, line_errors> ApplyNote(
    const catalog_contents& contents,
    release_note note) {
  note_applier applier(contents, note);
  applier.Apply();
  if (!applier.errors().empty()) {
    return applier.errors();
  }
  line_errors warnings = applier.warnings();
  return applied_note{std::move(note), std::move(applier).contents(),
                      std::move(warnings)};
}

std::variant<applied_note, line_errors> ParseAndApplyNote(
    const catalog_contents& contents,
    std::string_view text) {
  parsed_note parsed = ParseReleaseNote(text);
  if (parsed.errors.empty()) {
    return ApplyNote(contents, std::move(parsed.note));
  }
  note_applier applier(contents, parsed.note);
  applier.Apply();
  line_errors errors = std::move(parsed.errors);
  errors.insert(errors.end(), applier.errors().begin(), applier.errors().end());
  note_applier::SortByLine(errors);
  return errors;
}

}  // namespace bulrushshore
