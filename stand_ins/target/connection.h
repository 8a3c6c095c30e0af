#ifndef STAND_INS_TARGET_CONNECTION_H_
#define STAND_INS_TARGET_CONNECTION_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <httplib.h>

namespace bulrushshore {

// An accepted connection, read and written by the thread that serves it.
// cpp-httplib's own stream does not give handlers access to the socket, which
// the stand-in needs to see cancellation and to cut responses. Not thread safe.
class connection : public httplib::Stream {
 public:
  // Takes over `socket` and closes it at the end. `epoch` counts how often the
  // service froze connections before this one was accepted.
  connection(socket_t socket, std::uint64_t epoch);
  ~connection() override;
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Returns the connection that the calling thread serves, or null.
  static connection* Current();

  // Waits up to `timeout`; returns early, and true, once the peer has closed.
  bool WaitClosedByPeer(std::chrono::microseconds timeout) const;

  // Waits up to `timeout_ms` for bytes; returns whether some can be read.
  bool WaitReadable(int timeout_ms) const;

  // Writes only the first `bytes` bytes that follow and then closes the
  // connection.
  void CutAfter(std::size_t bytes);

  std::uint64_t epoch() const { return epoch_; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* data, std::size_t size) override;
  ssize_t write(const char* data, std::size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return socket_; }

 private:
  const socket_t socket_;
  const std::uint64_t epoch_;
  std::array<char, 4096> buffer_{};
  std::size_t buffer_begin_ = 0;
  std::size_t buffer_end_ = 0;
  std::optional<std::size_t> bytes_before_cut_;
};

}  // namespace bulrushshore

#endif  // STAND_INS_TARGET_CONNECTION_H_
