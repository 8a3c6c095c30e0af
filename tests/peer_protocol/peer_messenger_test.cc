#include "libraries/peer_protocol/peer_messenger.h"

#include <optional>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "libraries/peer_protocol/message_codec.h"
#include "stand_ins/peer_network/fake_peer_transport.h"

namespace bulrushshore {
namespace {

const endpoint kFirst{"127.0.0.1", 1};
const endpoint kSecond{"127.0.0.1", 2};
constexpr std::chrono::seconds kTimeout(1);

class frame_recorder : public peer_frame_listener {
 public:
  void OnFrame(connection_id connection,
               std::string_view,
               std::string_view frame) override {
    connection_ = connection;
    frames_.emplace_back(frame);
  }

  connection_id connection_ = 0;
  std::vector<std::string> frames_;
};

class PeerMessengerTest : public testing::Test {
 protected:
  void SetUp() override {
    ASSERT_TRUE(IsOk(messenger_.Start()));
    ASSERT_TRUE(IsOk(peer_->Start(peer_frames_)));
  }

  std::uint64_t DroppedFrames(const char* reason) {
    return metrics_
        .GetCounter("peer_frames_dropped_total", "", {{"reason", reason}})
        .value();
  }

  void SendPing() {
    messenger_.Request(kSecond, ping_message{}, kTimeout,
                       [this](result<peer_body> reply) {
                         replies_.push_back(std::move(reply));
                       });
    network_.DeliverWaiting();
  }

  void Answer(std::uint64_t id, peer_body body, std::string from = "second") {
    ASSERT_TRUE(IsOk(
        peer_->Reply(peer_frames_.connection_,
                     EncodeMessage({id, std::move(from), std::move(body)}))));
    network_.DeliverWaiting();
  }

  manual_clock clock_;
  metric_registry metrics_;
  fake_peer_network network_;
  std::unique_ptr<fake_peer_transport> transport_ =
      network_.Attach("first", kFirst);
  std::unique_ptr<fake_peer_transport> peer_ =
      network_.Attach("second", kSecond);
  frame_recorder peer_frames_;
  peer_messenger messenger_{"first", *transport_, clock_, metrics_};
  std::vector<result<peer_body>> replies_;
};

// Guards against replies that reach no request or the wrong one.
TEST_F(PeerMessengerTest, ReplyReachesItsRequestOnce) {
  SendPing();
  ASSERT_EQ(peer_frames_.frames_.size(), 1U);
  const std::uint64_t id = ValueOf(DecodeMessage(peer_frames_.frames_[0])).id;
  Answer(id, ping_reply_message{});
  ASSERT_EQ(replies_.size(), 1U);
  EXPECT_TRUE(IsOk(replies_[0]));
  Answer(id, ping_reply_message{});
  EXPECT_EQ(replies_.size(), 1U);
  EXPECT_EQ(DroppedFrames("late_reply"), 1U);
}

// Guards against requests that wait forever for a silent peer, and against a
// late reply that is taken for that of a newer request.
TEST_F(PeerMessengerTest, SilentPeerTimesOutAndItsLateReplyIsDropped) {
  SendPing();
  messenger_.ExpireRequests();
  EXPECT_TRUE(replies_.empty());
  clock_.Advance(kTimeout);
  messenger_.ExpireRequests();
  ASSERT_EQ(replies_.size(), 1U);
  EXPECT_EQ(ErrorOf(replies_[0]).code, error_code::kDeadlineExceeded);
  SendPing();
  Answer(ValueOf(DecodeMessage(peer_frames_.frames_[0])).id,
         ping_reply_message{});
  EXPECT_EQ(replies_.size(), 1U);
  EXPECT_EQ(messenger_.pending_requests(), 1U);
}

// Guards against a reply of another type, and against a peer that speaks for
// another host.
TEST_F(PeerMessengerTest, MismatchedRepliesAreDropped) {
  SendPing();
  const std::uint64_t id = ValueOf(DecodeMessage(peer_frames_.frames_[0])).id;
  Answer(id, suspect_check_reply_message{"x", true});
  Answer(id, ping_reply_message{}, "third");
  EXPECT_TRUE(replies_.empty());
  EXPECT_EQ(DroppedFrames("late_reply"), 1U);
  EXPECT_EQ(DroppedFrames("impersonation"), 1U);
}

// Guards against callers that wait for a reply after the messenger stopped.
TEST_F(PeerMessengerTest, StopFailsWaitingRequests) {
  SendPing();
  messenger_.Stop();
  ASSERT_EQ(replies_.size(), 1U);
  EXPECT_EQ(ErrorOf(replies_[0]).code, error_code::kUnavailable);
}

// Guards against frames that stop the process or a handler.
TEST_F(PeerMessengerTest, MalformedFramesAreCounted) {
  ASSERT_TRUE(IsOk(peer_->Send(kFirst, "no CBOR")));
  ASSERT_TRUE(IsOk(peer_->Send(
      kFirst, EncodeMessage({1, "second", parts_request_message{}}))));
  network_.DeliverWaiting();
  EXPECT_EQ(DroppedFrames("malformed"), 1U);
  EXPECT_EQ(DroppedFrames("unknown_type"), 1U);
}

}  // namespace
}  // namespace bulrushshore
