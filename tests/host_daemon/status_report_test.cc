#include "services/host_daemon/status_report.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

class single_host_directory : public host_directory {
 public:
  host_record Self() const override {
    host_record self;
    self.id = "host-1";
    self.zone = "a";
    return self;
  }
  std::vector<host_record> Hosts() const override { return {Self()}; }
  std::optional<host_record> FindKeyOwner(std::string_view) const override {
    return std::nullopt;
  }
};

service_status MakeService(const std::string& name, std::size_t targets) {
  service_status service;
  service.service = name;
  for (std::size_t index = 0; index < targets; ++index) {
    target_status target;
    target.name = "target-" + std::to_string(index);
    service.targets.push_back(target);
  }
  return service;
}

// Guards against a body that is not JSON: it is put together from parts.
TEST(StatusReportTest, IsJsonForAnyNumberOfServices) {
  for (std::size_t count = 0; count < 4; ++count) {
    std::vector<service_status> services;
    for (std::size_t index = 0; index < count; ++index) {
      services.push_back(
          MakeService("service-" + std::to_string(index), index));
    }
    const std::string body =
        StatusReport(single_host_directory(), 17, services);
    const nlohmann::json report = nlohmann::json::parse(body, nullptr, false);
    ASSERT_TRUE(report.is_object()) << body;
    EXPECT_EQ(report["catalog_version"], 17);
    EXPECT_EQ(report["host"]["id"], "host-1");
    EXPECT_EQ(report["hosts"].size(), 1U);
    ASSERT_EQ(report["services"].size(), count);
    for (std::size_t index = 0; index < count; ++index) {
      EXPECT_EQ(report["services"][index]["targets"].size(), index);
    }
  }
}

}  // namespace
}  // namespace bulrushshore
