#include "libraries/catalog/organisation_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "libraries/catalog/name_hash.h"

namespace bulrushshore {
namespace {

bool HasLowerName(const organisation& value, std::string_view name) {
  return value.name < name;
}

bool HasName(std::vector<organisation>::const_iterator position,
             const std::vector<organisation>& group,
             std::string_view name) {
  return position != group.end() && position->name == name;
}

}  // namespace

std::size_t organisation_table::GroupOf(std::string_view name) {
  return NameBucket(name, kGroupCount);
}

const organisation* organisation_table::Find(std::string_view name) const {
  const std::vector<organisation>& group = Group(GroupOf(name));
  const auto position =
      std::lower_bound(group.begin(), group.end(), name, HasLowerName);
  return HasName(position, group, name) ? &*position : nullptr;
}

void organisation_table::Set(organisation value) {
  std::vector<organisation>& group = UnsharedGroup(GroupOf(value.name));
  const auto position =
      std::lower_bound(group.begin(), group.end(), value.name, HasLowerName);
  if (HasName(position, group, value.name)) {
    position->weight = value.weight;
  } else {
    group.insert(position, std::move(value));
  }
}

void organisation_table::Erase(std::string_view name) {
  if (Find(name) == nullptr) {
    return;
  }
  std::vector<organisation>& group = UnsharedGroup(GroupOf(name));
  group.erase(std::lower_bound(group.begin(), group.end(), name, HasLowerName));
}

void organisation_table::ReplaceGroup(std::size_t index,
                                      std::vector<organisation> group) {
  assert(index < kGroupCount);
  if (group.empty()) {
    groups_.at(index) = nullptr;
    return;
  }
  group.shrink_to_fit();
  groups_.at(index) =
      std::make_shared<std::vector<organisation>>(std::move(group));
}

std::vector<organisation>& organisation_table::UnsharedGroup(
    std::size_t index) {
  std::shared_ptr<std::vector<organisation>>& group = groups_.at(index);
  if (group == nullptr) {
    group = std::make_shared<std::vector<organisation>>();
  } else if (group.use_count() > 1) {
    group = std::make_shared<std::vector<organisation>>(*group);
  }
  return *group;
}

const std::vector<organisation>& organisation_table::Group(
    std::size_t index) const {
  static const std::vector<organisation> no_organisations;
  assert(index < kGroupCount);
  const std::shared_ptr<std::vector<organisation>>& group = groups_.at(index);
  return group == nullptr ? no_organisations : *group;
}

std::vector<organisation> organisation_table::Sorted() const {
  std::vector<organisation> sorted;
  sorted.reserve(size());
  for (std::size_t index = 0; index < kGroupCount; ++index) {
    const std::vector<organisation>& group = Group(index);
    sorted.insert(sorted.end(), group.begin(), group.end());
  }
  std::sort(sorted.begin(), sorted.end(),
            [](const organisation& left, const organisation& right) {
              return left.name < right.name;
            });
  return sorted;
}

std::size_t organisation_table::size() const {
  std::size_t count = 0;
  for (std::size_t index = 0; index < kGroupCount; ++index) {
    count += Group(index).size();
  }
  return count;
}

bool organisation_table::operator==(const organisation_table& other) const {
  for (std::size_t index = 0; index < kGroupCount; ++index) {
    if (groups_.at(index) != other.groups_.at(index) &&
        Group(index) != other.Group(index)) {
      return false;
    }
  }
  return true;
}

}  // namespace bulrushshore
