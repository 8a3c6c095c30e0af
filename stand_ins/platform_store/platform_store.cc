#include "stand_ins/platform_store/platform_store.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <optional>
#include <utility>
#include <variant>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "libraries/event_loop/socket_options.h"
#include "libraries/http/message_writer.h"
#include "libraries/http/request_reader.h"

namespace bulrushshore {
namespace {

namespace asio = boost::asio;
using json = nlohmann::json;

// Interval at which a watch that accepts stale data looks for changes that have
// become old enough.
constexpr std::chrono::milliseconds kStaleWatchPollInterval{20};

proxy_response MakeResponse(int status, const json& body) {
  proxy_response response{status, {}, body.dump()};
  response.headers.Add("Content-Type", "application/json");
  return response;
}

// Decodes the escapes of a query value.
std::string Unescape(std::string_view text) {
  constexpr std::size_t kEscapeDigits = 2;
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] != '%' || index + kEscapeDigits >= text.size()) {
      decoded += text[index];
      continue;
    }
    const std::string digits(text.substr(index + 1, kEscapeDigits));
    decoded += static_cast<char>(std::strtol(digits.c_str(), nullptr, 16));
    index += kEscapeDigits;
  }
  return decoded;
}

// The parts of "/objects/KIND/NAME?a=b".
struct call_target {
  std::string kind;
  std::string name;
  std::map<std::string, std::string> query;
};

call_target ParseTarget(std::string_view target) {
  call_target parsed;
  const std::size_t query_start = target.find('?');
  std::string_view path = target.substr(0, query_start);
  constexpr std::string_view kPrefix = "/objects/";
  path.remove_prefix(std::min(path.size(), kPrefix.size()));
  const std::size_t slash = path.find('/');
  parsed.kind = path.substr(0, slash);
  parsed.name = slash == std::string_view::npos ? "" : path.substr(slash + 1);
  std::string_view rest = query_start == std::string_view::npos
                              ? ""
                              : target.substr(query_start + 1);
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    parsed.query[std::string(pair.substr(0, equals))] =
        equals == std::string_view::npos ? ""
                                         : Unescape(pair.substr(equals + 1));
  }
  return parsed;
}

}  // namespace

struct platform_store_stand_in::connection {
  explicit connection(asio::ip::tcp::socket accepted)
      : socket(std::move(accepted)), timer(socket.get_executor()), reader({}) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  request_reader reader;
  std::string outgoing;
  std::array<char, 8192> buffer{};
  // The kind of the waiting watch, if any.
  std::optional<std::string> watched_kind;
  std::int64_t watched_revision = 0;
  bool accepts_stale = false;
};

platform_store_stand_in::platform_store_stand_in(asio::io_context& loop)
    : loop_(loop), acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0}) {
  Accept();
}

platform_store_stand_in::~platform_store_stand_in() {
  for (const std::shared_ptr<connection>& peer : connections_) {
    peer->timer.cancel();
    peer->socket.close();
  }
}

endpoint platform_store_stand_in::address() const {
  return {"127.0.0.1", acceptor_.local_endpoint().port()};
}

void platform_store_stand_in::Put(std::string_view kind,
                                  std::string_view name,
                                  json spec) {
  json& object = objects_[std::string(kind)][std::string(name)];
  ++revision_;
  object = {{"metadata", {{"name", name}, {"revision", revision_}}},
            {"spec", std::move(spec)}};
  Record(std::string(kind), object, false);
}

void platform_store_stand_in::Remove(std::string_view kind,
                                     std::string_view name) {
  std::map<std::string, json>& objects = objects_[std::string(kind)];
  const auto found = objects.find(std::string(name));
  if (found == objects.end()) {
    return;
  }
  const json object = found->second;
  objects.erase(found);
  ++revision_;
  Record(std::string(kind), object, true);
}

bool platform_store_stand_in::Has(std::string_view kind,
                                  std::string_view name) const {
  const auto objects = objects_.find(std::string(kind));
  return objects != objects_.end() &&
         objects->second.contains(std::string(name));
}

int platform_store_stand_in::calls(const std::string& type) const {
  const auto found = calls_.find(type);
  return found == calls_.end() ? 0 : found->second;
}

void platform_store_stand_in::FreezeStaleReads() {
  stale_ = stale_state{objects_, revision_};
}

void platform_store_stand_in::SilenceWatches() {
  for (const std::shared_ptr<connection>& peer : connections_) {
    if (peer->watched_kind) {
      peer->watched_kind.reset();
      peer->timer.cancel();
    }
  }
}

void platform_store_stand_in::DropHistory() {
  history_.clear();
  ++revision_;
  oldest_revision_ = revision_;
}

void platform_store_stand_in::Record(const std::string& kind,
                                     const json& object,
                                     bool is_deleted) {
  history_.push_back({revision_,
                      kind,
                      {{"object", object}, {"deleted", is_deleted}},
                      time_.Now()});
  for (const std::shared_ptr<connection>& peer : connections_) {
    const bool is_delayed =
        peer->accepts_stale && staleness_ > duration::zero();
    if (peer->watched_kind == kind && !is_delayed) {
      peer->watched_kind.reset();
      peer->timer.cancel();
      SendResponse(peer, ChangesSince(kind, peer->watched_revision, revision_));
    }
  }
}

void platform_store_stand_in::Accept() {
  acceptor_.async_accept(
      [this](const socket_error& error, asio::ip::tcp::socket socket) {
        if (error) {
          return;
        }
        const std::shared_ptr<connection> peer =
            std::make_shared<connection>(std::move(socket));
        connections_.push_back(peer);
        Receive(peer);
        Accept();
      });
}

void platform_store_stand_in::Receive(const std::shared_ptr<connection>& peer) {
  peer->socket.async_read_some(
      asio::buffer(peer->buffer),
      [this, peer](const socket_error& error, std::size_t size) {
        if (error) {
          peer->watched_kind.reset();
          peer->timer.cancel();
          return;
        }
        peer->reader.Append({peer->buffer.data(), size});
        request_read_result next = peer->reader.Next();
        if (const received_request* received =
                std::get_if<received_request>(&next)) {
          Handle(peer, received->request);
        }
        Receive(peer);
      });
}

void platform_store_stand_in::Handle(const std::shared_ptr<connection>& peer,
                                     const proxy_request& request) {
  const call_target target = ParseTarget(request.target);
  const bool is_watch = target.query.contains("watch");
  ++calls_[request.method != "GET" ? "write" : is_watch ? "watch" : "list"];
  if (request.method == "GET" && !target.query.contains("serializable")) {
    ++calls_["current"];
  }
  if (is_unavailable_) {
    SendResponse(peer, MakeResponse(503, json::object()));
    return;
  }
  if (request.method != "GET") {
    SendResponse(peer, Write(request, target.kind, target.name));
    return;
  }
  if (!is_watch) {
    const auto after = target.query.find("after");
    const std::string after_name =
        after == target.query.end() ? "" : after->second;
    SendResponse(
        peer,
        stale_ && target.query.contains("serializable")
            ? List(stale_->objects, stale_->revision, target.kind, after_name)
            : List(objects_, revision_, target.kind, after_name));
    return;
  }
  HandleWatch(
      peer, target.kind, std::atoll(target.query.at("watch").c_str()),
      std::chrono::milliseconds(std::atoll(target.query.at("wait-ms").c_str())),
      target.query.contains("serializable"));
}

void platform_store_stand_in::HandleWatch(
    const std::shared_ptr<connection>& peer,
    const std::string& kind,
    std::int64_t revision,
    std::chrono::milliseconds wait,
    bool accepts_stale) {
  if (revision < oldest_revision_) {
    SendResponse(peer, MakeResponse(410, json::object()));
    return;
  }
  const std::int64_t visible = VisibleRevision(accepts_stale);
  if (HasChange(kind, revision, visible)) {
    SendResponse(peer, ChangesSince(kind, revision, visible));
    return;
  }
  peer->watched_kind = kind;
  peer->watched_revision = revision;
  peer->accepts_stale = accepts_stale;
  if (accepts_stale && staleness_ > duration::zero()) {
    PollStaleWatch(peer, time_.Now() + wait);
    return;
  }
  peer->timer.expires_after(wait);
  peer->timer.async_wait([this, peer, kind](const socket_error& error) {
    if (!error && peer->watched_kind) {
      peer->watched_kind.reset();
      SendResponse(peer, ChangesSince(kind, peer->watched_revision, revision_));
    }
  });
}

void platform_store_stand_in::PollStaleWatch(
    const std::shared_ptr<connection>& peer,
    time_point end) {
  peer->timer.expires_after(kStaleWatchPollInterval);
  peer->timer.async_wait([this, peer, end](const socket_error& error) {
    if (error || !peer->watched_kind) {
      return;
    }
    const std::int64_t visible =
        std::max(peer->watched_revision, VisibleRevision(true));
    if (time_.Now() < end &&
        !HasChange(*peer->watched_kind, peer->watched_revision, visible)) {
      PollStaleWatch(peer, end);
      return;
    }
    const std::string kind = *peer->watched_kind;
    peer->watched_kind.reset();
    SendResponse(peer, ChangesSince(kind, peer->watched_revision, visible));
  });
}

std::int64_t platform_store_stand_in::VisibleRevision(
    bool accepts_stale) const {
  if (!accepts_stale || staleness_ == duration::zero()) {
    return revision_;
  }
  std::int64_t visible = 0;
  for (const change& entry : history_) {
    if (time_.Now() - entry.time >= staleness_) {
      visible = entry.revision;
    }
  }
  return visible;
}

proxy_response platform_store_stand_in::List(const object_map& all,
                                             std::int64_t revision,
                                             const std::string& kind,
                                             const std::string& after) const {
  json items = json::array();
  bool has_more = false;
  const auto objects = all.find(kind);
  if (objects != all.end()) {
    for (auto entry = objects->second.upper_bound(after);
         entry != objects->second.end(); ++entry) {
      if (items.size() == page_size_) {
        has_more = true;
        break;
      }
      items.push_back(entry->second);
    }
  }
  return MakeResponse(
      200, {{"items", items}, {"has-more", has_more}, {"as-of", revision}});
}

proxy_response platform_store_stand_in::Write(const proxy_request& request,
                                              const std::string& kind,
                                              const std::string& name) {
  std::map<std::string, json>& objects = objects_[kind];
  if (request.method == "DELETE") {
    if (!objects.contains(name)) {
      return MakeResponse(404, json::object());
    }
    Remove(kind, name);
    return MakeResponse(200, json::object());
  }
  const json body = json::parse(request.body, nullptr, false);
  if (body.is_discarded()) {
    return MakeResponse(400, json::object());
  }
  if (request.method == "POST") {
    const std::string created = body["metadata"]["name"];
    if (objects.contains(created)) {
      return MakeResponse(409, objects[created]);
    }
    Put(kind, created, body["spec"]);
    return MakeResponse(200, objects[created]);
  }
  if (!objects.contains(name)) {
    return MakeResponse(404, json::object());
  }
  if (body["metadata"].contains("revision") &&
      body["metadata"]["revision"] != objects[name]["metadata"]["revision"]) {
    return MakeResponse(409, objects[name]);
  }
  Put(kind, name, body["spec"]);
  return MakeResponse(200, objects[name]);
}

bool platform_store_stand_in::HasChange(const std::string& kind,
                                        std::int64_t revision,
                                        std::int64_t last) const {
  return std::any_of(history_.begin(), history_.end(),
                     [&kind, revision, last](const change& entry) {
                       return entry.kind == kind && entry.revision > revision &&
                              entry.revision <= last;
                     });
}

proxy_response platform_store_stand_in::ChangesSince(const std::string& kind,
                                                     std::int64_t revision,
                                                     std::int64_t last) const {
  json events = json::array();
  for (const change& entry : history_) {
    if (entry.kind == kind && entry.revision > revision &&
        entry.revision <= last) {
      events.push_back(entry.event);
    }
  }
  return MakeResponse(
      200, {{"events", events}, {"as-of", std::max(revision, last)}});
}

void platform_store_stand_in::SendResponse(
    const std::shared_ptr<connection>& peer,
    proxy_response response) {
  for (const std::map<std::string, std::string>::value_type& raw : raw_texts_) {
    for (std::size_t found = response.body.find(raw.first);
         found != std::string::npos;
         found = response.body.find(raw.first, found + raw.second.size())) {
      response.body.replace(found, raw.first.size(), raw.second);
    }
  }
  peer->outgoing = SerializeResponse(response, "GET", false);
  asio::async_write(peer->socket, asio::buffer(peer->outgoing),
                    [peer](const socket_error&, std::size_t) {});
}

}  // namespace bulrushshore
