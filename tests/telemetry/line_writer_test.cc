#include "libraries/telemetry/line_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

class LineWriterTest : public testing::Test {
 protected:
  LineWriterTest() {
    EXPECT_EQ(pipe(ends_.data()), 0);
    EXPECT_GE(fcntl(ends_[1], F_SETPIPE_SZ, 4096), 4096);
    EXPECT_EQ(fcntl(ends_[0], F_SETFL, O_NONBLOCK), 0);
  }

  ~LineWriterTest() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  std::string ReadAll() {
    std::string text;
    std::array<char, 8192> buffer{};
    for (ssize_t size = 0;
         (size = read(ends_[0], buffer.data(), buffer.size())) > 0;) {
      text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return text;
  }

  std::array<int, 2> ends_{};
};

// Guards against a process that stops serving while nobody reads its log.
TEST_F(LineWriterTest, DropsLinesThatAFullPipeDoesNotTake) {
  line_writer writer(ends_[1]);
  const std::string line = std::string(99, 'x') + "\n";
  for (int number = 0; number < 200; ++number) {
    writer.Write(line);
  }
  EXPECT_GT(writer.dropped(), 0U);
  const std::string taken = ReadAll();
  EXPECT_EQ(taken.substr(0, line.size()), line);
  writer.Write("last\n");
  EXPECT_TRUE(ReadAll().ends_with("last\n"));
}

TEST_F(LineWriterTest, ALineAfterACutOneStartsOnItsOwn) {
  line_writer writer(ends_[1]);
  writer.Write(std::string(10'000, 'x') + "\n");
  EXPECT_EQ(writer.dropped(), 1U);
  ReadAll();
  writer.Write("next\n");
  EXPECT_EQ(ReadAll(), "\nnext\n");
}

}  // namespace
}  // namespace bulrushshore
