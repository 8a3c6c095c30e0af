#include "benchmarks/policy_bench/deployments.h"

namespace bulrushshore {

std::vector<deployment> AllDeployments() {
  using std::chrono::microseconds;
  using std::chrono::milliseconds;
  deployment echtheid;
  echtheid.name = "echtheid";
  echtheid.zone_latency = microseconds(1500);
  echtheid.services = {
      {"archive", 6, true, milliseconds(40), 0.03, 15.0},
      {"photo", 6, true, milliseconds(60), 0.1, 12.0},
      {"case", 10, true, milliseconds(30), 0.01, 20.0},
      {"certificate", 12, false, milliseconds(80), 0.02, 8.0},
  };
  deployment lakeshore;
  lakeshore.name = "lakeshore";
  lakeshore.zone_latency = milliseconds(1);
  lakeshore.services = {
      {"crew-records", 6, true, milliseconds(40), 0.03, 15.0},
      {"meter-usage", 8, true, milliseconds(30), 0.08, 20.0},
      {"outage-status", 14, true, milliseconds(30), 0.01, 15.0},
      {"payments", 14, false, milliseconds(80), 0.02, 8.0},
  };
  // One service of average size at the design scale; its set of hosts is larger
  // than today's, so that each host sees a smaller share of the load.
  deployment design_scale;
  design_scale.name = "design-scale";
  design_scale.zone_latency = milliseconds(1);
  design_scale.zone_count = 5;
  design_scale.host_count = 15;
  design_scale.services = {
      {"average", 27, true, milliseconds(40), 0.03, 15.0},
  };
  return {echtheid, lakeshore, design_scale};
}

}  // namespace bulrushshore
