#include "benchmarks/in_force/scenarios.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

namespace bulrushshore {
namespace {

// Notes follow each other faster than the gossip rounds (500 ms).
constexpr std::chrono::milliseconds kPauseBetweenNotes(150);
constexpr std::chrono::milliseconds kStoreDelay(400);
constexpr std::chrono::milliseconds kOutage(2'500);
// Lets a host that has the note report it before it is replaced, and is shorter
// than a gossip round, so that not all other hosts have the note.
constexpr std::chrono::milliseconds kTimeToReport(100);
constexpr std::chrono::seconds kLongestBackoff(3);
constexpr std::chrono::seconds kGiveUp(60);
constexpr std::chrono::milliseconds kCheckInterval(5);

double Milliseconds(duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

void PrintTimes(const std::string& name, const latency_histogram& times) {
  if (times.count() == 0) {
    return;
  }
  PrintFigure(name + "_p50", Milliseconds(times.Percentile(50)), "ms");
  PrintFigure(name + "_max", Milliseconds(times.maximum()), "ms");
}

// Waits until a ready host reports what its watch expects.
bool WaitForReport(fleet_host& host, const clock& time_source) {
  const time_point begin = time_source.Now();
  while (!host.watch().reported_at().has_value()) {
    if (time_source.Now() - begin > kGiveUp) {
      return false;
    }
    Pause(kCheckInterval);
  }
  return true;
}

}  // namespace

in_force_scenarios::in_force_scenarios(measured_fleet& fleet,
                                       random_source& random)
    : fleet_(fleet), random_(random) {}

void in_force_scenarios::MeasureRest(std::chrono::seconds time) {
  const fleet_usage begin = fleet_.Usage();
  Pause(time);
  fleet_.Print("rest", {}, begin);
}

void in_force_scenarios::MeasureHealthy(std::uint64_t notes) {
  const fleet_usage begin = fleet_.Usage();
  scenario_figures figures;
  PublishOneByOne(notes, figures);
  fleet_.Print("healthy", figures, begin);
}

void in_force_scenarios::MeasureRestarts(std::uint64_t notes) {
  constexpr std::uint64_t kNotesPerWave = 4;
  const fleet_usage begin = fleet_.Usage();
  scenario_figures figures;
  latency_histogram start_times;
  for (std::uint64_t note = 0; note < notes; ++note) {
    if (note % kNotesPerWave == 0) {
      const bool starts_first = note / kNotesPerWave % 2 == 0;
      PublishAroundRestart(starts_first, start_times, figures);
    } else {
      PublishOneByOne(1, figures);
    }
  }
  fleet_.Print("restarts", figures, begin);
  PrintFigure("restarts.replaced_hosts",
              static_cast<double>(start_times.count()), "hosts");
  PrintTimes("restarts.start_until_ready", start_times);
}

void in_force_scenarios::MeasureSlowStore(std::uint64_t notes) {
  const fleet_usage begin = fleet_.Usage();
  scenario_figures figures;
  fleet_.store().SetDelay(kStoreDelay);
  PublishOneByOne(notes, figures);
  fleet_.store().SetDelay(std::chrono::milliseconds(0));
  fleet_.Print("slow_store", figures, begin);
}

void in_force_scenarios::MeasureStoreAway(std::uint64_t notes) {
  const fleet_usage begin = fleet_.Usage();
  scenario_figures figures;
  std::uint64_t unreached_notes = 0;
  std::uint64_t notes_by_peers = 0;
  for (std::uint64_t number = 0; number < notes; ++number) {
    const published_note note = fleet_.Publish();
    fleet_.store().SetOutage(true);
    if (number % 2 == 1) {
      Pause(kTimeToReport);
      fleet_host& replaced = *ChooseHosts(1).front();
      replaced.Kill();
      replaced.Start();
    }
    Pause(note.accepted_at + kOutage - fleet_.time_source().Now());
    const std::size_t reached = fleet_.CountReported(note);
    const time_point restored = fleet_.time_source().Now();
    fleet_.store().SetOutage(false);
    unreached_notes += reached == 0 ? 1U : 0U;
    notes_by_peers += reached == fleet_.hosts().size() ? 1U : 0U;
    fleet_.Await(
        note, {},
        reached == 0 ? std::optional<time_point>(restored) : std::nullopt,
        figures);
    Pause(kPauseBetweenNotes);
  }
  fleet_.Print("store_away", figures, begin);
  PrintFigure("store_away.everywhere_before_the_end",
              static_cast<double>(notes_by_peers), "notes");
  PrintFigure("store_away.nowhere_before_the_end",
              static_cast<double>(unreached_notes), "notes");
}

void in_force_scenarios::MeasureFrozenHost(std::uint64_t notes) {
  constexpr std::uint64_t kNotesPerFreeze = 4;
  constexpr std::chrono::milliseconds kShort(4'000);
  constexpr std::chrono::milliseconds kLong(8'000);
  const fleet_usage begin = fleet_.Usage();
  scenario_figures figures;
  latency_histogram catch_up_times;
  bool is_long = false;
  // The hosts return to the store at most 2.5 s after its last outage.
  Pause(kLongestBackoff);
  for (std::uint64_t done = 0; done < notes; done += kNotesPerFreeze) {
    PublishToFrozen(std::min(kNotesPerFreeze, notes - done),
                    is_long ? kLong : kShort, catch_up_times, figures);
    is_long = !is_long;
  }
  fleet_.Print("frozen_host", figures, begin);
  PrintTimes("frozen_host.resumed_until_newest", catch_up_times);
}

bool in_force_scenarios::CheckColdStart(std::chrono::seconds payment_time) {
  const fleet_plan& plan = fleet_.plan();
  fleet_settings settings = plan.settings;
  std::string callers;
  for (const std::unique_ptr<fleet_host>& host : fleet_.hosts()) {
    if (settings.seeds.size() < 3) {
      settings.seeds.push_back(host->addresses().peer);
    }
    callers +=
        (callers.empty() ? "" : ",") + FormatEndpoint(host->addresses().caller);
  }
  const fleet_usage begin = fleet_.Usage();
  fleet_.store().SetOutage(true);
  const std::string output = settings.work + "/payments.json";
  const std::unique_ptr<child_process> payments = child_process::Start(
      {settings.binaries + "/bulrush_call", "--hosts=" + callers,
       "--zone=zone-1", "--spread=4", "--rate=20",
       "--seconds=" + std::to_string(payment_time.count()),
       "--mix=payments:pay:/payments/pay:100:keyed", "--seed=1",
       "--output=json"},
      output);
  fleet_host host("cold-1", "zone-1", FreeAddresses(), settings,
                  fleet_.time_source());
  host.watch().Expect(fleet_.version());
  host.Start();
  const bool is_ready = WaitForReport(host, fleet_.time_source());
  if (is_ready) {
    PrintFigure("cold_start.ready",
                Milliseconds(*host.watch().reported_at() - host.able_since()),
                "ms");
  }
  if (payments != nullptr) {
    payments->Wait();
  }
  fleet_.store().SetOutage(false);
  PrintPayments(output);
  fleet_.Print("cold_start", {}, begin);
  const fleet_usage restored = fleet_.Usage();
  scenario_figures figures;
  PublishOneByOne(1, figures);
  fleet_.Print("after_outage", figures, restored);
  return is_ready;
}

bool in_force_scenarios::CheckLonelyHost() {
  constexpr std::chrono::seconds kObserved(4);
  fleet_settings settings = fleet_.plan().settings;
  const host_addresses addresses = FreeAddresses();
  settings.store = FreeAddresses().caller;
  settings.seeds = {addresses.peer};
  fleet_host host("lonely-1", "zone-1", addresses, settings,
                  fleet_.time_source());
  host.Start();
  Pause(kObserved);
  const std::optional<readiness> response = AskReadiness(addresses.admin);
  const bool is_right =
      response.has_value() && !response->is_ready &&
      !response->reasons.empty() &&
      response->reasons.front().starts_with("no configuration");
  PrintFigure("lonely_host.ready",
              response.has_value() && response->is_ready ? 1 : 0, "hosts");
  if (response.has_value() && !response->reasons.empty()) {
    std::cerr << "lonely host is not ready: " << response->reasons.front()
              << "\n";
  }
  return is_right;
}

void in_force_scenarios::PublishOneByOne(std::uint64_t notes,
                                         scenario_figures& figures) {
  for (std::uint64_t number = 0; number < notes; ++number) {
    fleet_.Await(fleet_.Publish(), {}, std::nullopt, figures);
    Pause(kPauseBetweenNotes);
  }
}

std::vector<fleet_host*> in_force_scenarios::ChooseHosts(std::size_t count) {
  std::vector<fleet_host*> chosen;
  for (const std::unique_ptr<fleet_host>& host : fleet_.hosts()) {
    chosen.push_back(host.get());
  }
  for (std::size_t index = 0; index < count; ++index) {
    const std::size_t other = index + random_.Uniform(chosen.size() - index);
    std::swap(chosen[index], chosen[other]);
  }
  chosen.resize(count);
  return chosen;
}

void in_force_scenarios::PublishAroundRestart(bool starts_first,
                                              latency_histogram& start_times,
                                              scenario_figures& figures) {
  constexpr std::size_t kPercent = 30;
  const std::size_t count =
      std::max<std::size_t>(1, fleet_.hosts().size() * kPercent / 100);
  const std::vector<fleet_host*> replaced = ChooseHosts(count);
  for (fleet_host* host : replaced) {
    host->Kill();
  }
  published_note note;
  if (!starts_first) {
    note = fleet_.Publish();
  }
  for (fleet_host* host : replaced) {
    host->Start();
  }
  if (starts_first) {
    note = fleet_.Publish();
  }
  fleet_.Await(note, {}, std::nullopt, figures);
  for (fleet_host* host : replaced) {
    const std::optional<time_point> ready = host->watch().ready_at();
    if (ready.has_value()) {
      start_times.Add(*ready - host->able_since());
    }
  }
  Pause(kPauseBetweenNotes);
}

void in_force_scenarios::PublishToFrozen(std::uint64_t notes,
                                         std::chrono::milliseconds time,
                                         latency_histogram& catch_up_times,
                                         scenario_figures& figures) {
  fleet_host& frozen = *ChooseHosts(1).front();
  const time_point resumed_at = fleet_.time_source().Now() + time;
  frozen.Freeze();
  for (std::uint64_t number = 0; number < notes; ++number) {
    fleet_.Await(fleet_.Publish(), {&frozen}, std::nullopt, figures);
    Pause(time / (2 * notes));
  }
  Pause(
      std::max<duration>(resumed_at - fleet_.time_source().Now(), duration(0)));
  frozen.Resume();
  if (WaitForReport(frozen, fleet_.time_source())) {
    catch_up_times.Add(*frozen.watch().reported_at() - frozen.able_since());
  }
}

void in_force_scenarios::PrintPayments(const std::string& file) const {
  std::ifstream stream(file);
  std::ostringstream text;
  text << stream.rdbuf();
  const std::string content = text.str();
  const std::size_t begin = std::min(content.find('{'), content.size());
  const nlohmann::json report =
      nlohmann::json::parse(content.substr(begin), nullptr, false);
  if (!report.is_object() || !report.contains("kinds")) {
    std::cerr << "in_force: no report of payments\n";
    return;
  }
  for (const char* outcome :
       {"requests", "answered", "not_run", "unknown", "refused"}) {
    PrintFigure(std::string("payments.") + outcome,
                report["kinds"].back().value(outcome, 0.0), "payments");
  }
  std::cerr << "in_force: failed payments "
            << report["kinds"].back().value("failures", nlohmann::json())
            << "\n";
}

}  // namespace bulrushshore
