#include "benchmarks/in_force/measured_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>
#include <utility>

namespace bulrushshore {
namespace {

constexpr std::chrono::milliseconds kStoreTimeout(5'000);
constexpr std::chrono::milliseconds kCheckInterval(2);
// After this long without a report a note counts as late for good.
constexpr std::chrono::seconds kGiveUp(60);
constexpr int kIdleServices = 20;

double ToMs(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

std::string FirstNote(const endpoint& target) {
  std::ostringstream note;
  note << "[note]\nid = run-0\nauthor = in-force\nbase_version = 0\n\n"
       << "[add service payments]\ntimeout_ms = 3000\n\n"
       << "[add target payments/payments-1]\naddress = "
       << FormatEndpoint(target) << "\nzone = zone-1\nslots = 6\n\n"
       << "[add route pay]\nservice = payments\npath_prefix = /payments/\n"
       << "kind = pay\nidempotent = false\n\n";
  for (int number = 0; number < kIdleServices; ++number) {
    note << "[add service service-" << number << "]\ntimeout_ms = 2000\n\n"
         << "[add target service-" << number << "/target-1]\naddress = 10.0.0."
         << number + 1 << ":9000\nzone = zone-1\n\n";
  }
  return note.str();
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::vector<endpoint> PeerAddresses(
    const std::vector<host_addresses>& addresses,
    std::size_t limit) {
  std::vector<endpoint> peers;
  for (const host_addresses& item : addresses) {
    if (peers.size() < limit) {
      peers.push_back(item.peer);
    }
  }
  return peers;
}

}  // namespace

void PrintFigure(const std::string& name,
                 double value,
                 const std::string& unit) {
  std::cout << "in_force." << name << ' ' << std::setprecision(6) << value
            << ' ' << unit << std::endl;
}

void Pause(duration time) {
  std::this_thread::sleep_for(time);
}

measured_fleet::measured_fleet(const fleet_plan& plan, const clock& time_source)
    : plan_(plan),
      clock_(time_source),
      object_store_({plan.settings.store, kStoreTimeout}, time_source),
      publisher_(object_store_),
      control_(plan.settings.store) {
  constexpr std::size_t kSeeds = 3;
  constexpr std::size_t kZones = 3;
  std::vector<host_addresses> addresses;
  for (std::size_t index = 0; index < plan.hosts; ++index) {
    addresses.push_back(FreeAddresses());
  }
  fleet_settings settings = plan.settings;
  settings.seeds = PeerAddresses(addresses, kSeeds);
  for (std::size_t index = 0; index < plan.hosts; ++index) {
    hosts_.push_back(std::make_unique<fleet_host>(
        "host-" + std::to_string(index + 1),
        "zone-" + std::to_string(index % kZones + 1), addresses[index],
        settings, time_source));
  }
}

bool measured_fleet::Start() {
  for (const std::unique_ptr<fleet_host>& host : hosts_) {
    host->Start();
  }
  const published_note first = Publish();
  scenario_figures figures;
  Await(first, {}, std::nullopt, figures);
  return CountReported(first) == hosts_.size();
}

published_note measured_fleet::Publish() {
  const std::string text = version_ == 0 ? FirstNote(plan_.target) : NextNote();
  const publish_outcome outcome = publisher_.Publish(text, UnixMs());
  if (outcome.result != publish_result::kAccepted) {
    std::cerr << "in_force: note " << version_ << " is "
              << PublishResultName(outcome.result) << ": " << outcome.message
              << "\n";
    std::exit(EXIT_FAILURE);
  }
  version_ = outcome.version;
  const published_note note{version_, clock_.Now()};
  for (const std::unique_ptr<fleet_host>& host : hosts_) {
    host->watch().Expect(version_);
  }
  return note;
}

void measured_fleet::Await(const published_note& note,
                           const std::set<const fleet_host*>& excluded,
                           std::optional<time_point> path_since,
                           scenario_figures& figures) {
  ++figures.notes;
  const time_point begin = clock_.Now();
  duration slowest(0);
  for (const std::unique_ptr<fleet_host>& host : hosts_) {
    if (excluded.contains(host.get())) {
      continue;
    }
    while (!host->watch().reported_at().has_value() &&
           clock_.Now() - begin < kGiveUp) {
      Pause(kCheckInterval);
    }
    const time_point reported =
        host->watch().reported_at().value_or(clock_.Now());
    const time_point since = std::max({note.accepted_at, host->able_since(),
                                       path_since.value_or(note.accepted_at)});
    const duration time = std::max<duration>(reported - since, duration(0));
    figures.host_times.Add(time);
    const std::uint64_t late = time > plan_.in_force_limit ? 1 : 0;
    figures.late += late;
    late_ += late;
    slowest = std::max(slowest, time);
  }
  figures.note_times.Add(slowest);
}

std::size_t measured_fleet::CountReported(const published_note& note) {
  return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(),
                    [&note](const std::unique_ptr<fleet_host>& host) {
                      return host->watch().version() >= note.version;
                    }));
}

fleet_usage measured_fleet::Usage() {
  fleet_usage usage;
  usage.store_calls = control_.Calls();
  usage.taken_at = clock_.Now();
  usage.reverts = Reverts();
  for (const std::unique_ptr<fleet_host>& host : hosts_) {
    const std::optional<host_usage> own = host->Usage();
    if (own.has_value()) {
      usage.hosts[host->id()] = {host->process_number(), *own};
    }
  }
  return usage;
}

void measured_fleet::Print(const std::string& name,
                           const scenario_figures& figures,
                           const fleet_usage& begin) {
  PrintFigure(name + ".notes", static_cast<double>(figures.notes), "notes");
  if (figures.notes > 0) {
    PrintFigure(name + ".p50", ToMs(figures.note_times.Percentile(50)), "ms");
    PrintFigure(name + ".p99", ToMs(figures.note_times.Percentile(99)), "ms");
    PrintFigure(name + ".max", ToMs(figures.note_times.maximum()), "ms");
    PrintFigure(name + ".host_p50", ToMs(figures.host_times.Percentile(50)),
                "ms");
    PrintFigure(name + ".host_p99", ToMs(figures.host_times.Percentile(99)),
                "ms");
    PrintFigure(name + ".late", static_cast<double>(figures.late), "reports");
  }
  PrintUsage(name, begin);
}

void measured_fleet::PrintUsage(const std::string& prefix,
                                const fleet_usage& begin) {
  const fleet_usage end = Usage();
  const double seconds =
      std::chrono::duration<double>(end.taken_at - begin.taken_at).count();
  PrintFigure(prefix + ".seconds", seconds, "s");
  PrintFigure(prefix + ".reverts",
              static_cast<double>(end.reverts - begin.reverts), "reports");
  double all_calls = 0;
  for (const std::pair<const std::string, std::uint64_t>& kind :
       end.store_calls) {
    const double calls =
        static_cast<double>(kind.second - begin.store_calls.at(kind.first)) /
        seconds;
    all_calls += calls;
    PrintFigure(prefix + ".store_" + kind.first, calls, "calls/s");
  }
  PrintFigure(prefix + ".store_calls", all_calls, "calls/s");
  double processor = 0;
  double most_processor = 0;
  double bytes = 0;
  double most_bytes = 0;
  double frames = 0;
  double hosts = 0;
  for (const std::pair<const std::string, std::pair<std::uint64_t, host_usage>>&
           entry : end.hosts) {
    const auto before = begin.hosts.find(entry.first);
    const bool is_same_process = before != begin.hosts.end() &&
                                 before->second.first == entry.second.first;
    if (!is_same_process) {
      continue;
    }
    const host_usage& first = before->second.second;
    const host_usage& last = entry.second.second;
    const double own_processor =
        (last.processor_seconds - first.processor_seconds) / seconds * 100.0;
    const double own_bytes =
        static_cast<double>(last.peer_bytes_sent + last.peer_bytes_received -
                            first.peer_bytes_sent - first.peer_bytes_received) /
        seconds;
    processor += own_processor;
    bytes += own_bytes;
    frames +=
        static_cast<double>(last.peer_frames - first.peer_frames) / seconds;
    most_processor = std::max(most_processor, own_processor);
    most_bytes = std::max(most_bytes, own_bytes);
    ++hosts;
  }
  if (hosts == 0) {
    return;
  }
  PrintFigure(prefix + ".peer_bytes", bytes / hosts, "B/s");
  PrintFigure(prefix + ".peer_bytes_busiest", most_bytes, "B/s");
  PrintFigure(prefix + ".peer_frames", frames / hosts, "frames/s");
  PrintFigure(prefix + ".processor", processor / hosts, "%");
  PrintFigure(prefix + ".processor_busiest", most_processor, "%");
}

std::size_t measured_fleet::CountDisagreeing() {
  return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(),
                    [this](const std::unique_ptr<fleet_host>& host) {
                      const std::optional<readiness> response =
                          AskReadiness(host->addresses().admin);
                      return !response.has_value() || !response->is_ready ||
                             response->catalog_version != version_;
                    }));
}

std::uint64_t measured_fleet::Reverts() {
  std::uint64_t reverts = 0;
  for (const std::unique_ptr<fleet_host>& host : hosts_) {
    reverts += host->watch().reverts();
  }
  return reverts;
}

// Each note changes another value, so that none is without effect.
std::string measured_fleet::NextNote() const {
  constexpr std::uint64_t kLowestPatienceMs = 400;
  constexpr std::uint64_t kPatienceValues = 1'000;
  std::ostringstream note;
  note << "[note]\nid = run-" << version_
       << "\nauthor = in-force\nbase_version = " << version_
       << "\n\n[change service service-" << version_ % kIdleServices
       << "]\npatience_ms = " << kLowestPatienceMs + version_ % kPatienceValues
       << "\n";
  return note.str();
}

}  // namespace bulrushshore
