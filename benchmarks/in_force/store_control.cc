#include "benchmarks/in_force/store_control.h"

#include <httplib.h>

#include <cstdlib>
#include <iostream>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

constexpr int kOk = 200;

[[noreturn]] void Abandon(const std::string& path) {
  std::cerr << "in_force: the stand-in store does not answer " << path << "\n";
  std::exit(EXIT_FAILURE);
}

}  // namespace

store_control::store_control(endpoint address) : address_(std::move(address)) {}

void store_control::SetOutage(bool is_out) const {
  Post(std::string("/control/outage?on=") + (is_out ? "true" : "false"));
}

void store_control::SetDelay(std::chrono::milliseconds delay) const {
  Post("/control/delay?ms=" + std::to_string(delay.count()));
}

std::map<std::string, std::uint64_t> store_control::Calls() const {
  httplib::Client client(address_.ip, address_.port);
  const httplib::Result response = client.Get("/control/calls");
  if (!response || response->status != kOk) {
    Abandon("/control/calls");
  }
  return nlohmann::json::parse(response->body)
      .get<std::map<std::string, std::uint64_t>>();
}

void store_control::Post(const std::string& path) const {
  httplib::Client client(address_.ip, address_.port);
  const httplib::Result response = client.Post(path);
  if (!response || response->status != kOk) {
    Abandon(path);
  }
}

}  // namespace bulrushshore
