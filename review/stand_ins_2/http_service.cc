#include "review/stand_ins_2/http_service.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>

namespace review {

http_service::http_service(address at, handler handle)
    : at_(std::move(at)), handle_(std::move(handle)) {
  Open();
  acceptor_ = std::thread([this] { Run(); });
}

http_service::~http_service() {
  is_stopping_ = true;
  acceptor_.join();
  Cut();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void http_service::Cut() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (listener_ >= 0) {
    close(listener_);
    listener_ = -1;
  }
  for (const std::shared_ptr<stream>& peer : peers_) {
    peer->Shutdown();
  }
  peers_.clear();
}

void http_service::Open() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (listener_ >= 0) {
    return;
  }
  listener_ = ListenOn(at_);
  if (listener_ < 0) {
    constexpr int kCannotRun = 2;
    std::fprintf(stderr, "cannot listen on %s\n", at_.Text().c_str());
    std::_Exit(kCannotRun);
  }
}

void http_service::SilenceOpen() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const std::shared_ptr<stream>& peer : peers_) {
    peer->Silence();
  }
}

void http_service::Run() {
  while (!is_stopping_) {
    int listener = -1;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      listener = listener_;
    }
    if (listener < 0) {
      std::this_thread::sleep_for(milliseconds(5));
      continue;
    }
    const int accepted = AcceptFrom(listener);
    if (accepted < 0) {
      continue;
    }
    const std::shared_ptr<stream> peer = std::make_shared<stream>(accepted);
    const std::lock_guard<std::mutex> lock(mutex_);
    if (listener_ != listener) {
      continue;
    }
    peers_.push_back(peer);
    threads_.emplace_back([this, peer] { Serve(peer); });
  }
}

void http_service::Serve(const std::shared_ptr<stream>& peer) {
  while (!is_stopping_) {
    http_text request;
    const read_result got =
        peer->Read(request, steady::now() + milliseconds(100));
    if (got == read_result::kTimeout) {
      continue;
    }
    if (got == read_result::kClosed || !handle_(*peer, request)) {
      break;
    }
  }
  peer->Shutdown();
  const std::lock_guard<std::mutex> lock(mutex_);
  std::erase(peers_, peer);
}

std::string ResponseText(int status,
                         const std::string& headers,
                         const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
