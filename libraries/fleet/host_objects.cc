#include "libraries/fleet/host_objects.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/base/random_source.h"
#include "libraries/peer_protocol/record_codec.h"
#include "libraries/telemetry/log.h"

namespace bulrushshore {
namespace {

constexpr std::string_view kHostPrefix = "hosts/";
constexpr std::size_t kMaxListedHosts = 2'000;
// Enough that one of them is live although some objects are those of hosts
// that crashed.
constexpr std::size_t kSeedsToRead = 8;
constexpr int kWriteAttempts = 3;

}  // namespace

host_objects::host_objects(object_store& store,
                           std::shared_ptr<blocking_executor> executor,
                           host_record self)
    : store_(store),
      executor_(std::move(executor)),
      self_id_(std::move(self.id)) {}

void host_objects::Write(const host_record& self) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (self.sequence <= written_sequence_) {
      return;
    }
    written_sequence_ = self.sequence;
  }
  executor_->Submit([weak = weak_from_this(), self] {
    const std::shared_ptr<host_objects> locked = weak.lock();
    if (locked != nullptr) {
      locked->WriteNow(self);
    }
  });
}

void host_objects::ReadSeeds(std::function<void(const endpoint&)> found) {
  executor_->Submit([weak = weak_from_this(), found = std::move(found)] {
    const std::shared_ptr<host_objects> locked = weak.lock();
    if (locked != nullptr) {
      locked->ReadSeedsNow(found);
    }
  });
}

void host_objects::WriteNow(const host_record& self) {
  const std::string key = std::string(kHostPrefix) + self_id_;
  // A lost reply or another writer is resolved by reading the version again.
  for (int attempt = 0; attempt < kWriteAttempts; ++attempt) {
    const result<stored_object> held = store_.Get(key);
    const bool is_missing =
        !IsOk(held) && ErrorOf(held).code == error_code::kNotFound;
    if (!IsOk(held) && !is_missing) {
      break;
    }
    const std::uint64_t version =
        is_missing ? kNoVersion : ValueOf(held).version;
    if (IsOk(store_.Put(key, EncodeRecordBytes(self), version))) {
      return;
    }
  }
  // FIXME: Write again when the store is back; gossip carries the record.
  LogEvent(log_level::kInfo, "host_object_not_written", {{"host", self_id_}});
}

void host_objects::ReadSeedsNow(
    const std::function<void(const endpoint&)>& found) {
  result<std::vector<std::string>> listed =
      store_.List(kHostPrefix, kMaxListedHosts);
  if (!IsOk(listed)) {
    return;
  }
  std::vector<std::string>& keys = ValueOf(listed);
  std::erase(keys, std::string(kHostPrefix) + self_id_);
  seeded_random random = seeded_random::FromSystemEntropy();
  for (std::size_t read = 0; read < kSeedsToRead && !keys.empty(); ++read) {
    std::swap(keys[random.Uniform(keys.size())], keys.back());
    const result<stored_object> object = store_.Get(keys.back());
    keys.pop_back();
    if (!IsOk(object)) {
      continue;
    }
    const result<host_record> record = DecodeRecordBytes(ValueOf(object).value);
    if (IsOk(record)) {
      found(ValueOf(record).peer_address);
    }
  }
}

}  // namespace bulrushshore
