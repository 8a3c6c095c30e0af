#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <httplib.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "tests/system/child_process.h"

namespace bulrushshore {
namespace {

using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

constexpr int kCallerPort = 8641;
constexpr int kReadinessPort = 8640;
constexpr int kNotReady = 503;

// Runs the program with settings for an address of its own, without a store.
class EdgeProcessTest : public testing::Test {
 protected:
  EdgeProcessTest()
      : folder_(std::filesystem::temp_directory_path() /
                ("edge_process_test_" + std::to_string(getpid()))),
        ip_("127." + std::to_string(1 + getpid() / 256 % 254) + "." +
            std::to_string(getpid() % 256) + ".201") {
    std::filesystem::create_directories(folder_);
    std::ofstream(folder_ / "settings")
        << "node=host\nzone=a\nregion=r\n"
        << "listen.front=" << ip_ << ":" << kCallerPort << "\n"
        << "listen.ready=" << ip_ << ":" << kReadinessPort << "\n"
        << "listen.directory=" << ip_ << ":8644\n"
        << "internal-port-range=7620,7635\n"
        << "platform.address=127.0.0.1:9\n"
        << "bounds=grace-s=6,ttl_max_s=5\n";
  }

  ~EdgeProcessTest() override { std::filesystem::remove_all(folder_); }

  std::unique_ptr<child_process> Start(const std::string& output) {
    return std::make_unique<child_process>(
        std::vector<std::string>{
            PROGRAM_FOLDER "/bulrush_edge",
            "--settings=" + (folder_ / "settings").string()},
        (folder_ / output).string());
  }

  // Returns true once the readiness endpoint answers.
  bool WaitUntilItAnswers(milliseconds limit) {
    const std::chrono::steady_clock::time_point end =
        std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
      httplib::Client client(ip_, kReadinessPort);
      client.set_read_timeout(milliseconds(500));
      const httplib::Result answer = client.Get("/ready");
      if (answer && answer->status == kNotReady) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  // Sends a request that is no HTTP, which the program logs.
  void SendMalformedRequest() {
    boost::asio::io_context loop;
    tcp::socket socket(loop);
    boost::system::error_code failure;
    socket.connect({boost::asio::ip::make_address(ip_), kCallerPort}, failure);
    boost::asio::write(socket, boost::asio::buffer("BAD\r\n\r\n", 7), failure);
    char byte = 0;
    socket.read_some(boost::asio::buffer(&byte, 1), failure);
  }

  std::filesystem::path folder_;
  std::string ip_;
};

// Guards against a host that stops serving while nobody reads its log: it
// answered nothing once the pipe of its standard output was full.
TEST_F(EdgeProcessTest, ServesWhileNobodyReadsItsLog) {
  constexpr int kRequests = 150;
  const std::string pipe_path = (folder_ / "pipe").string();
  ASSERT_EQ(mkfifo(pipe_path.c_str(), S_IRUSR | S_IWUSR), 0);
  const int reader = open(pipe_path.c_str(), O_RDWR | O_NONBLOCK);
  ASSERT_GE(reader, 0);
  ASSERT_GE(fcntl(reader, F_SETPIPE_SZ, 4096), 4096);
  const std::unique_ptr<child_process> host = Start("pipe");
  ASSERT_TRUE(WaitUntilItAnswers(milliseconds(5000)));
  std::thread requests([this] {
    for (int request = 0; request < kRequests; ++request) {
      SendMalformedRequest();
    }
  });
  std::this_thread::sleep_for(milliseconds(1000));
  EXPECT_TRUE(WaitUntilItAnswers(milliseconds(2000)));
  host->Signal(SIGKILL);
  requests.join();
  close(reader);
}

// Guards against a host that ends at its start because the process before it
// has not given up its addresses yet.
TEST_F(EdgeProcessTest, WaitsForTheAddressesOfTheProcessBefore) {
  const std::unique_ptr<child_process> first = Start("first");
  ASSERT_TRUE(WaitUntilItAnswers(milliseconds(5000)));
  const std::unique_ptr<child_process> second = Start("second");
  std::this_thread::sleep_for(milliseconds(700));
  EXPECT_FALSE(second->HasEnded());
  first->Signal(SIGKILL);
  ASSERT_TRUE(first->WaitForEnd(milliseconds(2000)));
  EXPECT_TRUE(WaitUntilItAnswers(milliseconds(2000)));
  EXPECT_FALSE(second->HasEnded());
}

TEST_F(EdgeProcessTest, EndsOnASignalWhileItWaitsForAddresses) {
  const std::unique_ptr<child_process> first = Start("first");
  ASSERT_TRUE(WaitUntilItAnswers(milliseconds(5000)));
  const std::unique_ptr<child_process> second = Start("second");
  std::this_thread::sleep_for(milliseconds(700));
  second->Signal(SIGTERM);
  EXPECT_TRUE(second->WaitForEnd(milliseconds(2000)));
  EXPECT_EQ(second->exit_code(), 0);
}

}  // namespace
}  // namespace bulrushshore
