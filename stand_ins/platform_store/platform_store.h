#ifndef STAND_INS_PLATFORM_STORE_PLATFORM_STORE_H_
#define STAND_INS_PLATFORM_STORE_PLATFORM_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "libraries/base/clock.h"
#include "libraries/base/endpoint.h"
#include "libraries/event_loop/loop_clock.h"
#include "libraries/http/http_message.h"

namespace bulrushshore {

// A stand-in for the platform's store: objects by kind and name, one revision
// counter, paged lists, watches, conditional writes, and the failure modes of
// the real store. Runs on the event loop passed in. Not thread safe.
class platform_store_stand_in {
 public:
  // Listens on a free port of the loopback interface.
  explicit platform_store_stand_in(boost::asio::io_context& loop);
  ~platform_store_stand_in();
  platform_store_stand_in(const platform_store_stand_in&) = delete;
  platform_store_stand_in& operator=(const platform_store_stand_in&) = delete;

  endpoint address() const;

  // Creates or replaces an object, as an operator or a target would.
  void Put(std::string_view kind, std::string_view name, nlohmann::json spec);
  void Remove(std::string_view kind, std::string_view name);

  // Replaces the JSON string `placeholder` by `text` in all responses, so that
  // an object can hold bytes that are no valid JSON.
  void SetRawText(const std::string& placeholder, std::string text) {
    raw_texts_["\"" + placeholder + "\""] = std::move(text);
  }

  bool Has(std::string_view kind, std::string_view name) const;

  // Responds to every call with status 503 while `is_unavailable` is set.
  void SetOutage(bool is_unavailable) { is_unavailable_ = is_unavailable; }

  // From now on, lists that may be stale show the present objects, without
  // later changes.
  void FreezeStaleReads();

  // From now on, watches that accept stale data report a change only this long
  // after it was made.
  void SetWatchStaleness(duration staleness) { staleness_ = staleness; }

  // Never responds to the watches that are waiting now.
  void SilenceWatches();

  // Drops the history: watches from earlier revisions get status 410.
  void DropHistory();

  // Returns the number of calls received of a type: "list", "watch" or "write".
  // "current" counts the reads that accept no stale data, which cost ten times
  // as much.
  int calls(const std::string& type) const;

  // Sets the maximum number of objects in a page of a list.
  void SetPageSize(std::size_t size) { page_size_ = size; }

 private:
  struct connection;
  struct change {
    std::int64_t revision = 0;
    std::string kind;
    nlohmann::json event;
    time_point time;
  };

  void Accept();
  void Receive(const std::shared_ptr<connection>& peer);
  void Handle(const std::shared_ptr<connection>& peer,
              const proxy_request& request);
  void HandleWatch(const std::shared_ptr<connection>& peer,
                   const std::string& kind,
                   std::int64_t revision,
                   std::chrono::milliseconds wait,
                   bool accepts_stale);
  // Responds to a waiting watch that accepts stale data as soon as it may
  // report a change, or at `end`.
  void PollStaleWatch(const std::shared_ptr<connection>& peer, time_point end);
  // Returns the revision whose changes a watch may report now.
  std::int64_t VisibleRevision(bool accepts_stale) const;
  // Objects by kind and name.
  using object_map =
      std::map<std::string, std::map<std::string, nlohmann::json>>;
  // What possibly stale lists are read from.
  struct stale_state {
    object_map objects;
    std::int64_t revision = 0;
  };

  proxy_response List(const object_map& all,
                      std::int64_t revision,
                      const std::string& kind,
                      const std::string& after) const;
  proxy_response Write(const proxy_request& request,
                       const std::string& kind,
                       const std::string& name);
  // Return the changes after `revision`, up to `last`.
  proxy_response ChangesSince(const std::string& kind,
                              std::int64_t revision,
                              std::int64_t last) const;
  bool HasChange(const std::string& kind,
                 std::int64_t revision,
                 std::int64_t last) const;
  void Record(const std::string& kind,
              const nlohmann::json& object,
              bool is_deleted);
  void SendResponse(const std::shared_ptr<connection>& peer,
                    proxy_response response);

  boost::asio::io_context& loop_;
  loop_clock time_;
  duration staleness_ = duration::zero();
  boost::asio::ip::tcp::acceptor acceptor_;
  object_map objects_;
  std::map<std::string, std::string> raw_texts_;
  std::optional<stale_state> stale_;
  std::deque<change> history_;
  std::vector<std::shared_ptr<connection>> connections_;
  std::map<std::string, int> calls_;
  std::int64_t revision_ = 1;
  std::int64_t oldest_revision_ = 0;
  std::size_t page_size_ = 500;
  bool is_unavailable_ = false;
};

}  // namespace bulrushshore

#endif  // STAND_INS_PLATFORM_STORE_PLATFORM_STORE_H_
