#include "utilities/operator_tool/commands.h"

#include <httplib.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <memory>
#include <sstream>
#include <thread>

#include <gtest/gtest.h>

#include "libraries/store/in_memory_object_store.h"
#include "libraries/store/object_key.h"
#include "tests/catalog/catalog_fixtures.h"

namespace bulrushshore {
namespace {

// Advances by itself, because a poll ends by time.
class ticking_clock : public clock {
 public:
  time_point Now() const override {
    return time_point(std::chrono::milliseconds(10 * ++ticks_));
  }

 private:
  mutable std::atomic<std::int64_t> ticks_{0};
};

// Answers `GET /version` as a host does.
class status_server {
 public:
  explicit status_server(std::uint64_t version) : version_(version) {
    server_.Get("/version", [this](const httplib::Request&,
                                   httplib::Response& response) {
      ++requests_;
      response.set_content(
          "{\"catalog_version\":" + std::to_string(version_.load()) + "}",
          "application/json");
    });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ = std::thread([this] { server_.listen_after_bind(); });
    while (!server_.is_running()) {
      std::this_thread::yield();
    }
  }

  ~status_server() {
    server_.stop();
    thread_.join();
  }

  endpoint address() const {
    return {"127.0.0.1", static_cast<std::uint16_t>(port_)};
  }
  void SetVersion(std::uint64_t version) { version_ = version; }
  int requests() const { return requests_; }

 private:
  httplib::Server server_;
  std::atomic<std::uint64_t> version_;
  std::atomic<int> requests_{0};
  int port_ = 0;
  std::thread thread_;
};

class CommandsTest : public testing::Test {
 protected:
  CommandsTest() {
    const std::string text = NoteText("first", 0, ServiceSections("archive"));
    std::ofstream(file_) << text;
  }
  ~CommandsTest() override { std::remove(file_.c_str()); }

  command_context Context(report_format format) {
    return {&store_, clock_, {output_, format, false}, errors_};
  }

  const std::string file_ = testing::TempDir() + "/operator_note.ini";
  in_memory_object_store store_;
  ticking_clock clock_;
  std::ostringstream output_;
  std::ostringstream errors_;
};

// Guards against a publication that is called complete while hosts lack the
// version, and against one that does not wait for a slow host.
TEST_F(CommandsTest, PublishWaitsAndListsTheHostsBehind) {
  status_server current(1);
  status_server behind(0);
  const host_options hosts{{current.address(), behind.address()},
                           std::chrono::milliseconds(500)};
  EXPECT_EQ(PublishNote(Context(report_format::kJson), file_, true, hosts),
            kExitHostsBehind);
  const nlohmann::json report = nlohmann::json::parse(output_.str());
  EXPECT_EQ(report["result"], "accepted");
  ASSERT_EQ(report["hosts_behind"].size(), 1U);
  EXPECT_EQ(report["hosts_behind"][0]["admin_address"],
            FormatEndpoint(behind.address()));
  EXPECT_GT(behind.requests(), 1);
  EXPECT_EQ(current.requests(), 1);
  behind.SetVersion(2);
  EXPECT_EQ(PublishNote(Context(report_format::kTable), file_, true, hosts),
            kExitSuccess);
}

// Guards against exit codes that do not tell the results apart.
TEST_F(CommandsTest, ExitCodesTellTheResultsApart) {
  const command_context context = Context(report_format::kTable);
  store_.FailWrites(kCatalogHeadKey, write_fault::kLostRequest, 100);
  EXPECT_EQ(PublishNote(context, file_, false, {}), kExitNotKnownYet);
  EXPECT_NE(output_.str().find("bulrushctl publish"), std::string::npos);
  store_.FailWrites("", write_fault::kLostReply, 0);
  store_.SetOutage(true);
  EXPECT_EQ(PublishNote(context, file_, false, {}), kExitUnavailable);
  EXPECT_EQ(ValidateNote(context, file_), kExitUnavailable);
  store_.SetOutage(false);
  EXPECT_EQ(DiffNote(context, file_), kExitSuccess);
  EXPECT_EQ(PublishNote(context, file_, false, {}), kExitSuccess);
  EXPECT_EQ(ValidateNote(context, file_), kExitRejected);
}

// Guards against a note that writes control codes to the operator's terminal.
TEST_F(CommandsTest, ReplacesControlCodes) {
  std::ofstream(file_) << NoteText("first", 0, "[add service \x1b[31m]\n");
  EXPECT_EQ(ValidateNote(Context(report_format::kTable), file_), kExitRejected);
  EXPECT_EQ(output_.str().find('\x1b'), std::string::npos) << output_.str();
}

}  // namespace
}  // namespace bulrushshore
