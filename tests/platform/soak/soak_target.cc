#include "tests/platform/soak/soak_target.h"

#include <cassert>
#include <utility>

#include "libraries/http/message_writer.h"
#include "platform/names.h"

namespace bulrushshore {
namespace {

// Work and its spread, short so that a soak plays many requests.
constexpr std::uint64_t kWorkMs = 20;
constexpr std::uint64_t kWorkSpreadMs = 60;
constexpr std::chrono::milliseconds kSlowWork{900};
constexpr std::chrono::hours kNever{1};
constexpr std::uint64_t kBodyBytes = 3000;
constexpr double kGreyFailures = 0.7;
constexpr double kSpoiledResponses = 0.1;
constexpr int kLengthRepetitions = 5;
constexpr int kSlots = 6;
// Seconds of the rest that a resting target asks for.
constexpr char kRest[] = "0.8";

// Requests must not arrive later than this after the store has accepted that
// the target leaves; the platform allows 2 s, the rest is this machine's.
constexpr std::chrono::milliseconds kDrainBound{2300};

std::int64_t UnixMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

constexpr int kOk = 200;
constexpr int kMisdirected = 421;
constexpr int kInternalError = 500;
constexpr int kServiceUnavailable = 503;

}  // namespace

soak_target::soak_target(const environment& around,
                         std::string id,
                         std::string service,
                         std::string zone)
    : around_(around),
      id_(std::move(id)),
      service_(std::move(service)),
      zone_(std::move(zone)),
      born_ms_(UnixMilliseconds()),
      server_(around.loop,
              [this](const proxy_request& request) { return Reply(request); }),
      relay_(server_.address()) {
  const result<std::uint16_t> port = relay_.Start(0);
  assert(IsOk(port));
  address_ = {"127.0.0.1", ValueOf(port)};
  Register("ready");
}

void soak_target::SetFault(target_fault fault) {
  const target_fault ended = std::exchange(fault_, fault);
  if (ended == target_fault::kLeaving && !drained_at_) {
    born_ms_ = UnixMilliseconds();
    sequence_ = 0;
    Register("ready");
  }
}

void soak_target::Drain() {
  Register("draining");
  drained_at_ = around_.time.Now();
}

void soak_target::Leave() {
  around_.store.Remove(platform_names::kTargetKind, id_);
  if (!drained_at_) {
    drained_at_ = around_.time.Now();
  }
}

void soak_target::Register(std::string_view state) {
  around_.store.Put(platform_names::kTargetKind, id_,
                    {{"service", service_},
                     {"address", FormatEndpoint(address_)},
                     {"zone", zone_},
                     {"version", "1"},
                     {"slots", kSlots},
                     {"state", state},
                     {"warmup-left-ms", 0},
                     {"seq", ++sequence_},
                     {"born", born_ms_}});
}

scripted_reply soak_target::Reply(const proxy_request& request) {
  const std::string id =
      request.headers.Find(platform_names::kAttemptIdHeader).value_or("");
  proxy_response response{kOk, {}, ""};
  response.headers.Add(platform_names::kAttemptIdHeader, id);
  if (request.target.ends_with(kCrashingName)) {
    around_.ledger.OnCrash(id, id_, around_.time.Now());
    return {.bytes = "", .closes_after = true, .resets = true};
  }
  around_.ledger.OnArrival(service_, id, around_.time.Now());
  const bool is_meant =
      request.headers.Find(platform_names::kExpectedTargetHeader) == id_;
  if (is_meant && fault_ == target_fault::kResting) {
    response.headers.Add("Retry-After", kRest);
  }
  if (is_meant && fault_ == target_fault::kLeaving) {
    response.headers.Add(platform_names::kLeavingHeader, "1");
  }
  const bool is_refused =
      fault_ == target_fault::kFull || fault_ == target_fault::kResting;
  if (!is_meant || is_refused) {
    response.status = is_meant ? kServiceUnavailable : kMisdirected;
    response.headers.Add(platform_names::kNotExecutedHeader, "1");
    return {.bytes = SerializeResponse(response, request.method, false)};
  }
  CheckRequest(id, request);
  response.headers.Add(platform_names::kSignatureHeader, id_);
  response.body = id + " by " + id_ + " " +
                  std::string(around_.random.Uniform(kBodyBytes), 'x');
  around_.ledger.OnRun(id, id_, response.body, around_.time.Now());
  if (fault_ == target_fault::kGrey &&
      around_.random.UniformReal() < kGreyFailures) {
    response.status = kInternalError;
  }
  scripted_reply reply{.bytes =
                           SerializeResponse(response, request.method, false)};
  reply.delay = std::chrono::milliseconds(
      kWorkMs + around_.random.Uniform(kWorkSpreadMs));
  if (fault_ == target_fault::kSlow) {
    reply.delay = kSlowWork;
  } else if (fault_ == target_fault::kHanging) {
    reply.delay = kNever;
  } else if (fault_ == target_fault::kReset) {
    reply = {.bytes = "", .closes_after = true, .resets = true};
  } else if (fault_ == target_fault::kTruncating) {
    reply.bytes.resize(reply.bytes.size() - 1);
    reply.closes_after = true;
  } else if (fault_ == target_fault::kSpoiledLength &&
             around_.random.UniformReal() < kSpoiledResponses) {
    reply.bytes = SpoilLength(reply.bytes);
  }
  return reply;
}

std::string soak_target::SpoilLength(const std::string& bytes) {
  constexpr std::string_view kName = "Content-Length: ";
  const std::size_t start = bytes.find(kName) + kName.size();
  const std::size_t end = bytes.find('\r', start);
  std::string digits;
  for (int repetition = 0; repetition < kLengthRepetitions; ++repetition) {
    digits += bytes.substr(start, end - start);
  }
  return bytes.substr(0, start) + digits + bytes.substr(end);
}

void soak_target::CheckRequest(const std::string& id,
                               const proxy_request& request) {
  const bool is_late =
      drained_at_ && around_.time.Now() - *drained_at_ > kDrainBound;
  if (is_late && is_calm_) {
    around_.ledger.Violate("drain", id + " reached " + id_ + " too late");
  }
  const std::optional<std::string> deadline =
      request.headers.Find(platform_names::kDeadlineHeader);
  if (!deadline || !ParseDecimal(*deadline)) {
    around_.ledger.Violate("deadline", id + " came without a deadline");
  }
}

}  // namespace bulrushshore
