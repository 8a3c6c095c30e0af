// Measures how the cost of each structure grows with its size. Run by
// scripts/bench, which fits a line through the points of each benchmark.

#include <malloc.h>

#include <algorithm>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include "benchmarks/slopes/scaled_catalog.h"
#include "libraries/base/clock.h"
#include "libraries/base/random_source.h"
#include "libraries/catalog/part_codec.h"
#include "libraries/idempotency/idempotency_table.h"
#include "libraries/membership/discovery_response.h"
#include "libraries/membership/host_assignment.h"
#include "libraries/routing/route_table.h"

namespace bulrushshore {
namespace {

double AllocatedBytes() {
  const struct mallinfo2 usage = mallinfo2();
  return static_cast<double>(usage.uordblks + usage.hblkhd);
}

std::size_t Size(const benchmark::State& state) {
  return static_cast<std::size_t>(state.range(0));
}

catalog_contents OrganisationCatalog(std::size_t organisations) {
  return MakeScaledCatalog({1, 1, 1, organisations});
}

// Memory of the decoded catalog and time to decode all of its parts.
void MeasureDecoding(benchmark::State& state, const catalog_contents& source) {
  const encoded_parts parts = TakeValue(EncodeParts(source));
  std::size_t encoded_bytes = 0;
  std::size_t largest_part = 0;
  for (const std::string& part : parts) {
    encoded_bytes += part.size();
    largest_part = std::max(largest_part, part.size());
  }
  double memory = 0;
  while (state.KeepRunning()) {
    const double before = AllocatedBytes();
    catalog_contents decoded;
    for (std::size_t index = 0; index < parts.size(); ++index) {
      if (!parts[index].empty() &&
          !IsOk(DecodePart(index, parts[index], decoded))) {
        state.SkipWithError("a part cannot be decoded");
      }
    }
    memory = AllocatedBytes() - before;
    benchmark::DoNotOptimize(decoded);
  }
  state.counters["bytes"] = memory;
  state.counters["encoded_bytes"] = static_cast<double>(encoded_bytes);
  state.counters["largest_part_bytes"] = static_cast<double>(largest_part);
}

void DecodeOrganisations(benchmark::State& state) {
  MeasureDecoding(state, OrganisationCatalog(Size(state)));
}
BENCHMARK(DecodeOrganisations)
    ->Arg(13'750)
    ->Arg(27'500)
    ->Arg(41'250)
    ->Arg(55'000)
    ->Unit(benchmark::kMillisecond);

void DecodeTargets(benchmark::State& state) {
  MeasureDecoding(state, MakeScaledCatalog({kFullServices, Size(state), 1, 1}));
}
BENCHMARK(DecodeTargets)
    ->Arg(1'950)
    ->Arg(3'900)
    ->Arg(5'850)
    ->Arg(7'800)
    ->Unit(benchmark::kMillisecond);

void DecodeRoutes(benchmark::State& state) {
  MeasureDecoding(state, MakeScaledCatalog({kFullServices, 1, Size(state), 1}));
}
BENCHMARK(DecodeRoutes)
    ->Arg(1'225)
    ->Arg(2'450)
    ->Arg(3'675)
    ->Arg(4'900)
    ->Unit(benchmark::kMillisecond);

void DecodeFullCatalog(benchmark::State& state) {
  MeasureDecoding(state, MakeScaledCatalog({}));
}
BENCHMARK(DecodeFullCatalog)->Unit(benchmark::kMillisecond);

void MatchRoute(benchmark::State& state) {
  const std::size_t routes = Size(state);
  const catalog_contents contents =
      MakeScaledCatalog({kFullServices, 1, routes, 1});
  const double before = AllocatedBytes();
  const route_table table(contents);
  state.counters["bytes"] = AllocatedBytes() - before;
  std::vector<std::string> paths;
  for (std::size_t index = 0; index < routes; ++index) {
    paths.push_back("/area-" + std::to_string(index % kFullServices) +
                    "/resource-" + std::to_string(index) + "/item/1");
  }
  std::size_t next = 0;
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(table.Find(paths[next], ""));
    next = (next + 1) % paths.size();
  }
}
BENCHMARK(MatchRoute)->Arg(1'225)->Arg(2'450)->Arg(3'675)->Arg(4'900);

std::vector<host_record> MakeHosts(std::size_t count) {
  constexpr std::size_t kZones = 5;
  std::vector<host_record> hosts;
  for (std::size_t index = 0; index < count; ++index) {
    host_record host;
    host.id = "host-" + std::to_string(index);
    host.zone = "zone-" + std::to_string(index % kZones);
    host.caller_address = {"10.0.0.1", 8000};
    host.incarnation = FormatHex(index);
    hosts.push_back(host);
  }
  return hosts;
}

void HandleDiscovery(benchmark::State& state) {
  const std::vector<host_record> hosts = MakeHosts(Size(state));
  catalog_snapshot snapshot;
  snapshot.contents = MakeScaledCatalog({kFullServices, kFullTargets, 1, 1});
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(DiscoveryResponse(
        {"service-7", "zone-1", "caller"}, hosts, snapshot, {}));
  }
  state.counters["view_bytes"] =
      static_cast<double>(hosts.size() * sizeof(host_record));
}
BENCHMARK(HandleDiscovery)
    ->Arg(63)
    ->Arg(150)
    ->Arg(300)
    ->Arg(600)
    ->Unit(benchmark::kMicrosecond);

// Time of one claim and completion, and memory of the table at this number of
// keys with responses of 128 bytes.
void ClaimKeys(benchmark::State& state) {
  constexpr std::size_t kResponseBytes = 128;
  const std::size_t keys = Size(state);
  double memory = 0;
  while (state.KeepRunning()) {
    const double before = AllocatedBytes();
    manual_clock time;
    idempotency_table table({}, "0123456789abcdef", time.Now());
    idempotency_key key{"host-a1", "0123456789abcdef", 0, ""};
    for (std::size_t index = 0; index < keys; ++index) {
      key.caller_part = FormatHex(index) + "-0000000000000000";
      benchmark::DoNotOptimize(table.Claim(key, index + 1, time.Now()));
      std::shared_ptr<stored_response> response =
          std::make_shared<stored_response>();
      response->status = 200;
      response->body.assign(kResponseBytes, 'x');
      table.Complete(key, std::move(response));
    }
    memory = AllocatedBytes() - before;
  }
  state.counters["bytes"] = memory;
}
BENCHMARK(ClaimKeys)->Arg(25'000)->Arg(50'000)->Arg(75'000)->Arg(100'000)->Unit(
    benchmark::kMillisecond);

}  // namespace
}  // namespace bulrushshore

BENCHMARK_MAIN();
