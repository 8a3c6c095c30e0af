#ifndef TESTS_PLATFORM_SOAK_SOAK_TARGET_H_
#define TESTS_PLATFORM_SOAK_SOAK_TARGET_H_

#include <memory>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "libraries/base/random_source.h"
#include "stand_ins/link/link_relay.h"
#include "stand_ins/platform_store/platform_store.h"
#include "tests/gateway/scripted_target.h"
#include "tests/platform/soak/soak_ledger.h"

namespace bulrushshore {

enum class target_fault {
  kNone,
  // Fails most requests while it looks well.
  kGrey,
  // Ends connections with a reset after it has started the request.
  kReset,
  // Answers only in part.
  kTruncating,
  kSlow,
  // Never answers.
  kHanging,
  // Refuses all requests as not run.
  kFull,
  // Refuses all requests as not run and asks for a rest.
  kResting,
  // Announces in its responses that it is leaving, and goes on serving.
  kLeaving,
  // States another length than some of its responses have.
  kSpoiledLength,
};

// A target of the soak behind a relay, with its entry in the store. It records
// each run. Runs on the loop's thread. Not thread safe.
class soak_target {
 public:
  struct environment {
    boost::asio::io_context& loop;
    platform_store_stand_in& store;
    soak_ledger& ledger;
    random_source& random;
    const clock& time;
  };

  // Registers the target. Precondition: the references outlive this object.
  soak_target(const environment& around,
              std::string id,
              std::string service,
              std::string zone);

  // Sets how the target behaves. A target that stops to announce its departure
  // continues as a new incarnation.
  void SetFault(target_fault fault);
  void SetLink(link_mode mode) { relay_.SetMode(mode); }

  // Says in the store that it leaves.
  void Drain();
  // Removes its entry.
  void Leave();

  // Adds that nothing but this target was disturbed for a while, from which on
  // a request that comes too late after Drain() counts.
  void SetCalm(bool is_calm) { is_calm_ = is_calm; }

  const std::string& service() const { return service_; }

 private:
  void Register(std::string_view state);
  scripted_reply Reply(const proxy_request& request);
  // Repeats the digits of the stated length, so that it exceeds all limits.
  static std::string SpoilLength(const std::string& bytes);
  void CheckRequest(const std::string& id, const proxy_request& request);

  environment around_;
  std::string id_;
  std::string service_;
  std::string zone_;
  target_fault fault_ = target_fault::kNone;
  bool is_calm_ = false;
  std::optional<time_point> drained_at_;
  std::int64_t sequence_ = 0;
  std::int64_t born_ms_;
  scripted_target server_;
  link_relay relay_;
  endpoint address_;
};

}  // namespace bulrushshore

#endif  // TESTS_PLATFORM_SOAK_SOAK_TARGET_H_
