#include "libraries/catalog/limits.h"

#include <algorithm>
#include <utility>

namespace bulrushshore {
namespace {

bool IsLowerOrDigit(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9');
}

bool IsPrintable(char character) {
  return character >= ' ' && character <= '~';
}

class reference_checker {
 public:
  explicit reference_checker(const catalog_contents& contents)
      : contents_(contents) {}

  std::vector<object_error> Check() {
    CheckCounts();
    for (const std::pair<const std::string, target>& entry :
         contents_.targets) {
      CheckTarget(entry.first, entry.second);
    }
    for (const std::pair<const std::string, route>& entry : contents_.routes) {
      CheckRoute(entry.first, entry.second);
    }
    return std::move(errors_);
  }

 private:
  void CheckCounts() {
    CheckCount("service", contents_.services.size(), kMaxServices);
    CheckCount("target", contents_.targets.size(), kMaxTargets);
    CheckCount("route", contents_.routes.size(), kMaxRoutes);
    CheckCount("organisation", contents_.organisations.size(),
               kMaxOrganisations);
  }

  void CheckCount(const std::string& type,
                  std::size_t count,
                  std::size_t limit) {
    if (count > limit) {
      errors_.push_back({type, "",
                         "the catalog would have " + std::to_string(count) +
                             " objects of type " + type + "; the limit is " +
                             std::to_string(limit),
                         ""});
    }
  }

  // Objects of a faulty note may lack values; the lack is reported elsewhere.
  void CheckTarget(const std::string& key, const target& value) {
    if (!contents_.services.contains(value.service)) {
      errors_.push_back({"target", key,
                         "service \"" + value.service + "\" does not exist",
                         ""});
    }
    if (value.address.ip.empty()) {
      return;
    }
    const std::string address =
        value.service + " " + FormatEndpoint(value.address);
    const std::pair<std::map<std::string, std::string>::iterator, bool> added =
        target_addresses_.try_emplace(address, key);
    if (!added.second) {
      errors_.push_back(
          {"target", key,
           "has the same address as target \"" + added.first->second + "\"",
           added.first->second});
    }
  }

  void CheckRoute(const std::string& key, const route& value) {
    if (!value.service.empty() && !contents_.services.contains(value.service)) {
      errors_.push_back({"route", key,
                         "service \"" + value.service + "\" does not exist",
                         ""});
    }
    if (value.path_prefix.empty()) {
      return;
    }
    const std::string match = value.host_name + " " + value.path_prefix;
    const std::pair<std::map<std::string, std::string>::iterator, bool> added =
        route_matches_.try_emplace(match, key);
    if (!added.second) {
      errors_.push_back({"route", key,
                         "has the same path_prefix and host_name as route \"" +
                             added.first->second + "\"",
                         added.first->second});
    }
  }

  const catalog_contents& contents_;
  std::map<std::string, std::string> target_addresses_;
  std::map<std::string, std::string> route_matches_;
  std::vector<object_error> errors_;
};

}  // namespace

bool IsValidName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return IsLowerOrDigit(character) || character == '-';
         });
}

bool IsValidPathPrefix(std::string_view text) {
  return !text.empty() && text.size() <= kMaxPathPrefixLength &&
         text.front() == '/' &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return character > ' ' && character <= '~' && character != '?' &&
                  character != '#';
         });
}

bool IsValidHostName(std::string_view text) {
  return text.size() <= kMaxHostNameLength &&
         std::all_of(text.begin(), text.end(), [](char character) {
           return IsLowerOrDigit(character) || character == '-' ||
                  character == '.';
         });
}

bool IsValidText(std::string_view text) {
  return !text.empty() && text.size() <= kMaxTextLength &&
         std::all_of(text.begin(), text.end(), IsPrintable);
}

std::string TargetKey(std::string_view service_name, std::string_view name) {
  return std::string(service_name) + "/" + std::string(name);
}

std::vector<object_error> CheckReferences(const catalog_contents& contents) {
  return reference_checker(contents).Check();
}

std::map<std::string, service_capacity> ComputeCapacities(
    const catalog_contents& contents) {
  std::map<std::string, service_capacity> capacities;
  for (const std::pair<const std::string, target>& entry : contents.targets) {
    const target& value = entry.second;
    service_capacity& capacity = capacities[value.service];
    capacity.registered_slots += value.slots;
    if (value.state == target_state::kActive) {
      capacity.active_slots += value.slots;
    }
  }
  for (std::pair<const std::string, service_capacity>& entry : capacities) {
    const auto owner = contents.services.find(entry.first);
    if (owner == contents.services.end()) {
      continue;
    }
    constexpr std::uint64_t kWhole = 100;
    entry.second.floor_slots =
        (entry.second.registered_slots * owner->second.floor_percent + kWhole -
         1) /
        kWhole;
  }
  return capacities;
}

}  // namespace bulrushshore
