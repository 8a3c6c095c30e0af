#include "review/stand_ins_2/store.h"

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

using nlohmann::json;

constexpr milliseconds kAnswerTime{4};
constexpr milliseconds kPollTime{5};

std::string JsonResponse(int status, const json& body) {
  return ResponseText(status, "Content-Type: application/json\r\n",
                      body.dump());
}

}  // namespace

struct store::query {
  explicit query(const std::string& path) {
    const std::size_t question = path.find('?');
    std::string rest = path.substr(0, question);
    constexpr std::string_view kPrefix = "/objects/";
    rest.erase(0, std::min(rest.size(), kPrefix.size()));
    const std::size_t slash = rest.find('/');
    kind = rest.substr(0, slash);
    name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    const std::string values =
        question == std::string::npos ? "" : "&" + path.substr(question + 1);
    may_be_stale = values.find("&serializable=1") != std::string::npos;
    is_watch = values.find("&watch=") != std::string::npos;
    revision = NumberAfter(values, "&watch=");
    wait = milliseconds(NumberAfter(values, "&wait-ms="));
  }

  static std::int64_t NumberAfter(const std::string& text,
                                  std::string_view key) {
    const std::size_t start = text.find(key);
    return start == std::string::npos
               ? 0
               : std::atoll(text.c_str() + start + key.size());
  }

  std::string kind;
  std::string name;
  bool may_be_stale = false;
  bool is_watch = false;
  std::int64_t revision = 0;
  milliseconds wait{0};
};

store::link& store::AddLink(const std::string& ip) {
  links_.push_back(std::make_unique<link>());
  link& added = *links_.back();
  added.service = std::make_unique<http_service>(
      address{ip, 0}, [this, &added](stream& peer, const http_text& request) {
        return Handle(added, peer, request);
      });
  return added;
}

steady::time_point store::Put(const std::string& kind,
                              const std::string& name,
                              const json& spec) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Record(kind, name, spec, false);
  return steady::now();
}

void store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(mutex_);
  Record(kind, name, nullptr, true);
}

void store::Record(const std::string& kind,
                   const std::string& name,
                   const json& spec,
                   bool is_deleted) {
  ++revision_;
  const json object = {{"metadata",
                        {{"name", name},
                         {"revision", revision_},
                         {"create-rev", revision_},
                         {"finalizers", json::array()},
                         {"deleting", false}}},
                       {"spec", spec},
                       {"status", nullptr}};
  history_.push_back(
      {revision_, steady::now(), kind, name, object, is_deleted});
}

std::int64_t store::VisibleRevision(bool may_be_stale) const {
  const steady::time_point latest =
      steady::now() - (may_be_stale ? staleness_.load() : milliseconds(0));
  std::int64_t visible = 1;
  for (const change& entry : history_) {
    if (entry.time <= latest) {
      visible = entry.revision;
    }
  }
  return visible;
}

std::map<std::string, json> store::Objects(const std::string& kind,
                                           std::int64_t revision) const {
  std::map<std::string, json> objects;
  for (const change& entry : history_) {
    if (entry.kind != kind || entry.revision > revision) {
      continue;
    }
    if (entry.is_deleted) {
      objects.erase(entry.name);
    } else {
      objects[entry.name] = entry.object;
    }
  }
  return objects;
}

bool store::Handle(link& way, stream& peer, const http_text& request) {
  const query asked(request.second);
  std::this_thread::sleep_for(kAnswerTime);
  if (is_down_) {
    return peer.Write(JsonResponse(503, json::object()));
  }
  if (request.first != "GET") {
    return peer.Write(Write(request, asked));
  }
  return peer.Write(asked.is_watch ? Watch(way, asked) : Read(asked));
}

std::string store::Read(const query& asked) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::int64_t visible = VisibleRevision(asked.may_be_stale);
  json items = json::array();
  for (const std::map<std::string, json>::value_type& entry :
       Objects(asked.kind, visible)) {
    items.push_back(entry.second);
  }
  return JsonResponse(
      200, {{"items", items}, {"has-more", false}, {"as-of", visible}});
}

std::string store::Watch(link& way, const query& asked) {
  if (!asked.may_be_stale) {
    ++way.current_watches;
  }
  const steady::time_point until = steady::now() + asked.wait;
  while (true) {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::int64_t visible =
          std::max(asked.revision, VisibleRevision(asked.may_be_stale));
      json events = json::array();
      for (const change& entry : history_) {
        if (entry.kind == asked.kind && entry.revision > asked.revision &&
            entry.revision <= visible) {
          events.push_back(
              {{"object", entry.object}, {"deleted", entry.is_deleted}});
        }
      }
      if (!events.empty() || steady::now() >= until || is_ending_ || is_down_) {
        return JsonResponse(200, {{"events", events}, {"as-of", visible}});
      }
    }
    std::this_thread::sleep_for(kPollTime);
  }
}

std::string store::Write(const http_text& request, const query& asked) {
  const json body = json::parse(request.body, nullptr, false);
  const std::lock_guard<std::mutex> lock(mutex_);
  const std::map<std::string, json> present = Objects(asked.kind, revision_);
  const std::string name = request.first == "POST"
                               ? body["metadata"]["name"].get<std::string>()
                               : asked.name;
  const std::map<std::string, json>::const_iterator found = present.find(name);
  if (request.first == "POST" && found != present.end()) {
    return JsonResponse(409, found->second);
  }
  if (request.first != "POST" && found == present.end()) {
    return JsonResponse(404, json::object());
  }
  Record(asked.kind, name, request.first == "DELETE" ? json() : body["spec"],
         request.first == "DELETE");
  return JsonResponse(200, history_.back().object);
}

}  // namespace review
