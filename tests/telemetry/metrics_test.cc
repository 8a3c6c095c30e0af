#include "libraries/telemetry/metrics.h"

#include <gtest/gtest.h>

namespace bulrushshore {
namespace {

// Guards against label values that break the exposition format.
TEST(MetricRegistryTest, EscapesLabelValues) {
  metric_registry registry;
  registry.GetCounter("requests_total", "Requests.", {{"service", "a\"b\\c\n"}})
      .Increment(3);
  EXPECT_EQ(registry.RenderText(),
            "# HELP requests_total Requests.\n"
            "# TYPE requests_total counter\n"
            "requests_total{service=\"a\\\"b\\\\c\\n\"} 3\n");
}

// Guards against two counters for one name and label set.
TEST(MetricRegistryTest, ReturnsTheSameMetricForTheSameLabels) {
  metric_registry registry;
  registry.GetGauge("queue_length", "Queue.", {{"service", "a"}}).Set(4);
  EXPECT_EQ(&registry.GetGauge("queue_length", "Queue.", {{"service", "a"}}),
            &registry.GetGauge("queue_length", "Queue.", {{"service", "a"}}));
  EXPECT_NE(&registry.GetGauge("queue_length", "Queue.", {{"service", "a"}}),
            &registry.GetGauge("queue_length", "Queue.", {{"service", "b"}}));
}

}  // namespace
}  // namespace bulrushshore
