#include "libraries/peer_protocol/websocket_peer_transport.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "libraries/peer_protocol/messages.h"

namespace bulrushshore {
namespace {

const endpoint kAnyPort{"127.0.0.1", 0};
// Only a failing test waits this long.
constexpr std::chrono::seconds kPatience(60);

// Answers each frame with the same frame, and keeps what it received.
class echo_listener : public peer_frame_listener {
 public:
  void OnFrame(connection_id connection,
               std::string_view peer_id,
               std::string_view frame) override {
    if (replies_through_ != nullptr) {
      static_cast<void>(
          replies_through_->Reply(connection, std::string(frame)));
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    frames_.emplace_back(std::string(peer_id) + ":" + std::string(frame));
    changed_.notify_all();
  }

  bool WaitFor(std::size_t count) {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, kPatience,
                             [&] { return frames_.size() >= count; });
  }

  std::vector<std::string> frames() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return frames_;
  }

  peer_transport* replies_through_ = nullptr;

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<std::string> frames_;
};

// Holds up the thread that reads frames in the first frame until Release() is
// called or the listener is destroyed.
class stalled_listener : public peer_frame_listener {
 public:
  ~stalled_listener() override { Release(); }

  void OnFrame(connection_id, std::string_view, std::string_view) override {
    std::unique_lock<std::mutex> lock(mutex_);
    released_.wait(lock, [this] { return is_released_; });
  }

  void Release() {
    const std::lock_guard<std::mutex> lock(mutex_);
    is_released_ = true;
    released_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable released_;
  bool is_released_ = false;
};

class WebsocketPeerTransportTest : public testing::Test {
 protected:
  std::unique_ptr<websocket_peer_transport> Make(const std::string& id,
                                                 const std::string& key) {
    websocket_transport_options options;
    options.self_id = id;
    options.listen_address = kAnyPort;
    options.keys = {key, {}};
    return std::make_unique<websocket_peer_transport>(options, clock_,
                                                      metrics_);
  }

  // Waits until a condition on a counter holds.
  bool WaitUntil(const std::function<bool()>& condition) {
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock<std::mutex> lock(mutex);
    for (int attempt = 0; attempt < 6'000 && !condition(); ++attempt) {
      never.wait_for(lock, std::chrono::milliseconds(10));
    }
    return condition();
  }

  std::uint64_t RefusedHandshakes() {
    return metrics_.GetCounter("peer_handshakes_refused_total", "").value();
  }

  manual_clock clock_;
  metric_registry metrics_;
  echo_listener first_frames_;
  echo_listener second_frames_;
};

// Guards against frames that are lost while the connection is set up, and
// against replies that do not find back.
TEST_F(WebsocketPeerTransportTest, FramesAndRepliesArriveInOrder) {
  const std::unique_ptr<websocket_peer_transport> first = Make("one", "key");
  const std::unique_ptr<websocket_peer_transport> second = Make("two", "key");
  second_frames_.replies_through_ = second.get();
  ASSERT_TRUE(IsOk(first->Start(first_frames_)));
  ASSERT_TRUE(IsOk(second->Start(second_frames_)));
  const std::string large(kMaxFrameBytes - 1, 'x');
  for (const std::string& frame : {std::string("a"), std::string("b"), large}) {
    ASSERT_TRUE(IsOk(first->Send(second->local_address(), frame)));
  }
  ASSERT_TRUE(second_frames_.WaitFor(3));
  ASSERT_TRUE(first_frames_.WaitFor(3));
  EXPECT_EQ(second_frames_.frames()[0], "one:a");
  EXPECT_EQ(second_frames_.frames()[2], "one:" + large);
  EXPECT_EQ(first_frames_.frames()[1], "two:b");
  first->Stop();
  second->Stop();
}

// Guards against frames of hosts that do not have the key.
TEST_F(WebsocketPeerTransportTest, StrangersAreRefusedAndCounted) {
  const std::unique_ptr<websocket_peer_transport> first = Make("one", "other");
  const std::unique_ptr<websocket_peer_transport> second = Make("two", "key");
  ASSERT_TRUE(IsOk(first->Start(first_frames_)));
  ASSERT_TRUE(IsOk(second->Start(second_frames_)));
  ASSERT_TRUE(IsOk(first->Send(second->local_address(), "a")));
  EXPECT_TRUE(WaitUntil([this] { return RefusedHandshakes() == 1; }));
  // The next attempt waits for the backoff, which the paused clock withholds.
  EXPECT_TRUE(WaitUntil(
      [&] { return !IsOk(first->Send(second->local_address(), "b")); }));
  clock_.Advance(std::chrono::seconds(10));
  EXPECT_TRUE(IsOk(first->Send(second->local_address(), "c")));
  EXPECT_TRUE(WaitUntil([this] { return RefusedHandshakes() == 2; }));
  first->Stop();
  second->Stop();
  EXPECT_TRUE(second_frames_.frames().empty());
}

// Guards against a queue that grows without bound for a peer that stops
// reading.
TEST_F(WebsocketPeerTransportTest, QueuesAndFramesAreBounded) {
  const std::unique_ptr<websocket_peer_transport> first = Make("one", "key");
  stalled_listener stalled;
  const std::unique_ptr<websocket_peer_transport> stopped = Make("two", "key");
  ASSERT_TRUE(IsOk(first->Start(first_frames_)));
  ASSERT_TRUE(IsOk(stopped->Start(stalled)));
  const endpoint address = stopped->local_address();
  EXPECT_EQ(
      ErrorOf(first->Send(address, std::string(kMaxFrameBytes + 1, 'x'))).code,
      error_code::kResourceExhausted);
  const std::string frame(kMaxFrameBytes, 'x');
  bool was_refused = false;
  for (int count = 0; count < 1'000 && !was_refused; ++count) {
    was_refused = !IsOk(first->Send(address, frame));
  }
  EXPECT_TRUE(was_refused);
  stalled.Release();
  first->Stop();
  stopped->Stop();
}

// Guards against a peer that is not reached again after its restart.
TEST_F(WebsocketPeerTransportTest, RestartedPeerIsConnectedAgain) {
  const std::unique_ptr<websocket_peer_transport> first = Make("one", "key");
  std::unique_ptr<websocket_peer_transport> second = Make("two", "key");
  ASSERT_TRUE(IsOk(first->Start(first_frames_)));
  ASSERT_TRUE(IsOk(second->Start(second_frames_)));
  const endpoint address = second->local_address();
  ASSERT_TRUE(IsOk(first->Send(address, "a")));
  ASSERT_TRUE(second_frames_.WaitFor(1));
  second = nullptr;
  echo_listener restarted_frames;
  websocket_transport_options options;
  options.self_id = "two";
  options.listen_address = address;
  options.keys = {"key", {}};
  websocket_peer_transport restarted(options, clock_, metrics_);
  ASSERT_TRUE(IsOk(restarted.Start(restarted_frames)));
  EXPECT_TRUE(WaitUntil([&] {
    clock_.Advance(std::chrono::seconds(1));
    static_cast<void>(first->Send(address, "b"));
    return !restarted_frames.frames().empty();
  }));
  first->Stop();
  restarted.Stop();
}

// Guards against a start that goes on without its port.
TEST_F(WebsocketPeerTransportTest, AddressInUseIsReported) {
  const std::unique_ptr<websocket_peer_transport> first = Make("one", "key");
  ASSERT_TRUE(IsOk(first->Start(first_frames_)));
  websocket_transport_options options;
  options.self_id = "two";
  options.listen_address = first->local_address();
  options.keys = {"key", {}};
  websocket_peer_transport second(options, clock_, metrics_);
  EXPECT_EQ(ErrorOf(second.Start(second_frames_)).code,
            error_code::kUnavailable);
  first->Stop();
}

}  // namespace
}  // namespace bulrushshore
