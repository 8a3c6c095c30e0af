#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "services/edge_daemon/edge_daemon.h"

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;

// Records the calls of the daemon.
class recording_source : public view_source {
 public:
  void SetLeading(bool leads) override { is_leading = leads; }
  void ReadCurrent(const view_read& read) override {
    reads.push_back({read, time_.Now()});
  }

  std::size_t CountReads(view_part_name part) const {
    return static_cast<std::size_t>(std::count_if(
        reads.begin(), reads.end(),
        [part](const request& made) { return made.read.part == part; }));
  }

  struct request {
    view_read read;
    time_point time;
  };
  bool is_leading = false;
  std::vector<request> reads;

 private:
  loop_clock time_;
};

// Shorter than in use, so that the tests take less time.
constexpr view_age_options kViewAge{
    .max_age = milliseconds(400),
    .delay_per_place = milliseconds(20),
    .max_delay = milliseconds(100),
    .retry_interval = milliseconds(300),
    .start_allowance = milliseconds(0),
};

// By then a host has requested a read of a view that nothing confirms. The
// rest allows for a slow machine.
constexpr milliseconds kReadLimit{900};

// TCP and UDP ports are probed separately: a port that is free for UDP may
// still be held by a TCP connection that was just closed.
endpoint FreeCallerAddress(boost::asio::io_context& loop) {
  const boost::asio::ip::tcp::acceptor probe(
      loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", probe.local_endpoint().port()};
}

endpoint FreePeerAddress(boost::asio::io_context& loop) {
  const boost::asio::ip::udp::socket probe(
      loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", probe.local_endpoint().port()};
}

rule_set MakeRules(std::uint64_t version) {
  rule_set rules;
  rules.version = version;
  return rules;
}

// Two hosts of one zone; one of them is the zone's leader.
class ViewCheckTest : public testing::Test {
 protected:
  ViewCheckTest() {
    std::vector<host_entry> entries;
    for (const char* id : {"host-1", "host-2"}) {
      entries.push_back(
          {id, "a", FreeCallerAddress(loop_), FreePeerAddress(loop_)});
    }
    for (std::size_t index = 0; index < entries.size(); ++index) {
      edge_options options;
      options.self = entries[index];
      options.hosts.serving_hosts_per_zone = 1;
      options.view_age = kViewAge;
      daemons_.push_back(std::make_unique<edge_daemon>(loop_, options));
      sources_.push_back(std::make_unique<recording_source>());
      daemons_[index]->SetViewSource(*sources_[index]);
      EXPECT_TRUE(IsOk(daemons_[index]->Start()));
      daemons_[index]->ApplyRules(MakeRules(1));
      daemons_[index]->ReplaceTargets({});
      leads_before_others_are_known_ |= sources_[index]->is_leading;
    }
    for (const std::unique_ptr<edge_daemon>& daemon : daemons_) {
      daemon->AddHosts(entries);
    }
    RunUntil(
        [this] { return sources_[0]->is_leading != sources_[1]->is_leading; });
    leader_ = sources_[0]->is_leading ? 0 : 1;
  }

  // Runs the loop for `time` while the leader's reads of the store confirm its
  // view, as its watches do.
  void RunConfirmed(
      milliseconds time,
      const std::function<void()>& each_step = [] {}) {
    const time_point end = time_.Now() + time;
    while (time_.Now() < end) {
      Confirm(leader_);
      each_step();
      loop_.run_for(milliseconds(50));
    }
  }

  void Confirm(std::size_t index) {
    for (const view_part_name part :
         {view_part_name::kRules, view_part_name::kTargets}) {
      daemons_[index]->OnRead(part, time_.Now(), false);
    }
  }

  static target_entry MakeTarget(const std::string& id) {
    target_entry entry;
    entry.id = id;
    entry.service = "s";
    return entry;
  }

  void RunUntil(const std::function<bool()>& condition) {
    const time_point end = time_.Now() + std::chrono::seconds(5);
    while (!condition() && time_.Now() < end) {
      loop_.run_for(milliseconds(10));
    }
  }

  boost::asio::io_context loop_{1};
  loop_clock time_;
  std::vector<std::unique_ptr<recording_source>> sources_;
  std::vector<std::unique_ptr<edge_daemon>> daemons_;
  bool leads_before_others_are_known_ = false;
  std::size_t leader_ = 0;
};

// Guards against a starting fleet in which every host acts as the leader of its
// zone because it does not know the others yet.
TEST_F(ViewCheckTest, AHostLeadsOnlyAfterItKnowsTheOthers) {
  EXPECT_FALSE(leads_before_others_are_known_);
}

// Guards against hosts that keep an outdated view: in run hunt-4067-3 of
// etg-gateway, the watches of the store were silently cut off on all hosts, and
// each kept its old list of targets for 20 s.
TEST_F(ViewCheckTest, AHostThatMissedAChangeReadsForItself) {
  RunConfirmed(milliseconds(300));
  const std::size_t follower = 1 - leader_;
  sources_[follower]->reads.clear();
  daemons_[leader_]->ApplyRules(MakeRules(2));
  RunConfirmed(kReadLimit);
  ASSERT_FALSE(sources_[follower]->reads.empty());
  EXPECT_EQ(sources_[follower]->CountReads(view_part_name::kTargets), 0U);
  EXPECT_FALSE(sources_[follower]->reads[0].read.is_store_doubtful);
  EXPECT_TRUE(sources_[leader_]->reads.empty());
  EXPECT_FALSE(sources_[follower]->is_leading);
}

// Guards against a host whose view is older than the bound while changes follow
// one another: its checks were counted over all changes, and only the first two
// and each eighth one read the store. The store's possibly stale responses are
// older than the bound all the while.
TEST_F(ViewCheckTest, AHostReadsAgainAndAgainWhileChangesContinue) {
  constexpr int kRounds = 6;
  const std::size_t follower = 1 - leader_;
  std::vector<target_entry> entries;
  int round = 0;
  const time_point start = time_.Now();
  RunConfirmed(kRounds * kReadLimit, [&] {
    entries.push_back(MakeTarget("t" + std::to_string(++round)));
    daemons_[leader_]->ReplaceTargets(entries);
    std::vector<recording_source::request>& reads = sources_[follower]->reads;
    if (!reads.empty() && time_.Now() - reads.back().time < milliseconds(60)) {
      daemons_[follower]->ReplaceTargets(entries);
      daemons_[follower]->OnRead(view_part_name::kTargets, time_.Now(), false);
    }
  });
  time_point last = start;
  std::size_t reads = 0;
  for (const recording_source::request& made : sources_[follower]->reads) {
    EXPECT_LT(made.time - last, kReadLimit);
    last = made.time;
    reads += made.read.part == view_part_name::kTargets ? 1 : 0;
  }
  EXPECT_GE(reads, std::size_t{kRounds});
}

// Guards against hosts that take an old view for current because their leader
// has it: the leader had lost the store and went on publishing, and the others
// used old rules for 3 s.
TEST_F(ViewCheckTest, AnotherHostLeadsWhileTheLeaderCannotConfirmItsView) {
  RunConfirmed(milliseconds(300));
  const std::size_t follower = 1 - leader_;
  sources_[follower]->reads.clear();
  const time_point lost = time_.Now();
  RunUntil([&] { return sources_[follower]->reads.size() >= 2; });
  EXPECT_LT(time_.Now() - lost, kReadLimit);
  EXPECT_EQ(sources_[follower]->CountReads(view_part_name::kRules), 1U);
  EXPECT_EQ(sources_[follower]->CountReads(view_part_name::kTargets), 1U);
  EXPECT_TRUE(sources_[follower]->reads[0].read.is_store_doubtful);
  EXPECT_FALSE(sources_[follower]->is_leading);
  Confirm(follower);
  EXPECT_TRUE(sources_[follower]->is_leading);
  // The leader hears it and needs no store for a view that is the same.
  loop_.run_for(milliseconds(100));
  EXPECT_FALSE(daemons_[leader_]->IsReadDue(view_part_name::kRules));
  EXPECT_FALSE(daemons_[leader_]->IsReadDue(view_part_name::kTargets));
  RunConfirmed(milliseconds(200));
  EXPECT_FALSE(sources_[follower]->is_leading);
  EXPECT_TRUE(sources_[leader_]->is_leading);
}

// Guards against a flood of reads: a host whose view the leader's confirms does
// not read, and one that cannot read asks at the interval only.
TEST_F(ViewCheckTest, AConfirmedViewIsNotRead) {
  RunConfirmed(milliseconds(300));
  const std::size_t follower = 1 - leader_;
  sources_[follower]->reads.clear();
  int round = 0;
  RunConfirmed(milliseconds(2000), [&] {
    // Both hosts read the same changes, the follower a step later.
    if (++round % 5 != 1) {
      return;
    }
    const target_entry entry = MakeTarget("t" + std::to_string(round));
    daemons_[leader_]->ApplyTarget(entry);
    daemons_[leader_]->OnTargetChangesComplete();
    loop_.run_for(milliseconds(100));
    daemons_[follower]->ApplyTarget(entry);
    daemons_[follower]->OnTargetChangesComplete();
  });
  EXPECT_TRUE(sources_[follower]->reads.empty());
  loop_.run_for(milliseconds(2000));
  EXPECT_LE(sources_[follower]->CountReads(view_part_name::kTargets), 7U);
  EXPECT_GE(sources_[follower]->CountReads(view_part_name::kTargets), 3U);
}

// Adds a third host to the zone. The test itself sends and receives the
// datagrams of this host.
class SuspicionTest : public ViewCheckTest {
 protected:
  SuspicionTest()
      : socket_(loop_, {boost::asio::ip::make_address("127.0.0.1"), 0}) {
    socket_.non_blocking(true);
    const endpoint address{"127.0.0.1", socket_.local_endpoint().port()};
    const std::vector<host_entry> added{
        {"host-3", "a", {"127.0.0.1", 1}, address}};
    daemons_[leader_]->AddHosts(added);
  }

  void Send(const peer_body& body) {
    const std::string bytes = EncodePeerDatagram({"host-3", body});
    socket_.send_to(boost::asio::buffer(bytes),
                    {boost::asio::ip::make_address("127.0.0.1"),
                     daemons_[leader_]->self().peer_address.port});
  }

  void ReportFailureOf(const std::string& target) {
    Send(observation_report{target, 5, target_observation::kFailure});
  }

  // Returns the next datagram if there is one.
  std::optional<peer_datagram> ReceiveDatagram() {
    std::array<char, 65'536> buffer{};
    boost::system::error_code failure;
    datagram_bytes_ = socket_.receive(boost::asio::buffer(buffer), 0, failure);
    result<peer_datagram> message =
        DecodePeerDatagram({buffer.data(), failure ? 0 : datagram_bytes_});
    return IsOk(message) ? std::optional(TakeValue(std::move(message)))
                         : std::nullopt;
  }

  // Returns the next summary that the leader sends, or nothing on a timeout.
  std::optional<suspicion_summary> ReceiveSummary() {
    std::optional<suspicion_summary> summary;
    RunUntil([&] {
      const std::optional<peer_datagram> message = ReceiveDatagram();
      const suspicion_summary* received =
          message ? std::get_if<suspicion_summary>(&message->body) : nullptr;
      if (received) {
        summary = *received;
      }
      return summary.has_value();
    });
    return summary;
  }

  boost::asio::ip::udp::socket socket_;
  std::size_t datagram_bytes_ = 0;
};

// Guards against hosts outside the serving set that repeatedly send requests to
// failing targets because no report reaches them: in run hunt-3568-27 of
// lfmwl-gateway, 76 of 90 requests on added routes failed at such hosts.
TEST_F(SuspicionTest, ALeaderPublishesSuspectedTargetsToItsZone) {
  ReportFailureOf("t");
  const std::optional<suspicion_summary> summary = ReceiveSummary();
  ASSERT_TRUE(summary);
  ASSERT_EQ(summary->targets.size(), 1U);
  EXPECT_EQ(summary->targets[0].target_id, "t");
}

// Guards against a summary that receivers truncate and reject because it is too
// long: ids may have up to 256 characters.
TEST_F(SuspicionTest, ASummaryOfLongIdsFitsIntoOnePacket) {
  constexpr std::size_t kPacketBytes = 1500;
  constexpr int kTargets = 30;
  for (int target = 0; target < kTargets; ++target) {
    ReportFailureOf(std::to_string(target) + std::string(200, 'x'));
  }
  loop_.run_for(milliseconds(50));
  const std::optional<suspicion_summary> summary = ReceiveSummary();
  ASSERT_TRUE(summary);
  EXPECT_GE(summary->targets.size(), 2U);
  EXPECT_LT(datagram_bytes_, kPacketBytes);
}

// Guards against a restarted host that sends a request to more targets although
// the other hosts know that it crashes them. While hosts were restarted one
// after the other, such a request reached 16 targets.
TEST_F(SuspicionTest, AHostThatAnnouncesItselfLearnsWhatIsHeldBack) {
  constexpr std::uint64_t kFingerprint = 9;
  const endpoint own{"127.0.0.1", socket_.local_endpoint().port()};
  Send(target_loss_report{kFingerprint, "t1"});
  Send(target_loss_report{kFingerprint, "t2"});
  Send(hello_body{{"host-3", "a", {"127.0.0.1", 1}, own}});
  std::vector<std::string> lost;
  RunUntil([&] {
    const std::optional<peer_datagram> message = ReceiveDatagram();
    const target_loss_report* report =
        message ? std::get_if<target_loss_report>(&message->body) : nullptr;
    if (report && report->is_certain && report->fingerprint == kFingerprint) {
      lost.push_back(report->target_id);
    }
    return lost.size() == 2;
  });
  EXPECT_EQ(lost, (std::vector<std::string>{"t1", "t2"}));
}

}  // namespace
}  // namespace bulrushshore
