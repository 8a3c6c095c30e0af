#include "libraries/telemetry/metrics.h"

#include <algorithm>
#include <sstream>

namespace bulrushshore {
namespace {

std::string EscapeLabelValue(std::string_view value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

std::string FormatLabels(const metric_labels& labels) {
  if (labels.empty()) {
    return "";
  }
  std::string text;
  for (const metric_labels::value_type& label : labels) {
    text += text.empty() ? "{" : ",";
    text += label.first + "=\"" + EscapeLabelValue(label.second) + "\"";
  }
  return text + "}";
}

template <typename Families>
void RenderFamilies(const Families& families,
                    std::string_view type,
                    std::ostringstream& out) {
  for (const typename Families::value_type& entry : families) {
    out << "# HELP " << entry.first << ' ' << entry.second.help << '\n';
    out << "# TYPE " << entry.first << ' ' << type << '\n';
    for (const typename decltype(entry.second.metrics)::value_type& metric :
         entry.second.metrics) {
      out << entry.first << metric.first << ' ' << metric.second.value()
          << '\n';
    }
  }
}

// Adds the label of a bucket's upper bound to formatted labels.
std::string WithBound(const std::string& labels, const std::string& bound) {
  const std::string label = "le=\"" + bound + "\"}";
  return labels.empty() ? "{" + label
                        : labels.substr(0, labels.size() - 1) + "," + label;
}

void RenderHistogram(const std::string& name,
                     const std::string& labels,
                     const histogram& value,
                     std::ostringstream& out) {
  for (std::size_t index = 0; index < histogram::kBounds.size(); ++index) {
    std::ostringstream bound;
    bound << histogram::kBounds[index];
    out << name << "_bucket" << WithBound(labels, bound.str()) << ' '
        << value.CumulativeCount(index) << '\n';
  }
  const std::uint64_t total = value.CumulativeCount(histogram::kBounds.size());
  out << name << "_bucket" << WithBound(labels, "+Inf") << ' ' << total << '\n';
  out << name << "_sum" << labels << ' ' << value.sum_seconds() << '\n';
  out << name << "_count" << labels << ' ' << total << '\n';
}

}  // namespace

void histogram::Observe(double seconds) {
  const auto bound = std::lower_bound(kBounds.begin(), kBounds.end(), seconds);
  buckets_[static_cast<std::size_t>(bound - kBounds.begin())].fetch_add(
      1, std::memory_order_relaxed);
  sum_microseconds_.fetch_add(
      static_cast<std::uint64_t>(std::max(0.0, seconds) *
                                 kMicrosecondsPerSecond),
      std::memory_order_relaxed);
}

std::uint64_t histogram::CumulativeCount(std::size_t index) const {
  std::uint64_t count = 0;
  for (std::size_t bucket = 0; bucket <= index; ++bucket) {
    count += buckets_[bucket].load(std::memory_order_relaxed);
  }
  return count;
}

template <typename Metric>
Metric& metric_registry::FindOrAdd(
    std::map<std::string, family<Metric>>& families,
    std::string_view name,
    std::string_view help,
    const metric_labels& labels) {
  family<Metric>& found = families[std::string(name)];
  if (found.help.empty()) {
    found.help = help;
  }
  return found.metrics[FormatLabels(labels)];
}

counter& metric_registry::GetCounter(std::string_view name,
                                     std::string_view help,
                                     const metric_labels& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrAdd(counters_, name, help, labels);
}

gauge& metric_registry::GetGauge(std::string_view name,
                                 std::string_view help,
                                 const metric_labels& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrAdd(gauges_, name, help, labels);
}

histogram& metric_registry::GetHistogram(std::string_view name,
                                         std::string_view help,
                                         const metric_labels& labels) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return FindOrAdd(histograms_, name, help, labels);
}

std::string metric_registry::RenderText() const {
  std::ostringstream out;
  const std::lock_guard<std::mutex> lock(mutex_);
  RenderFamilies(counters_, "counter", out);
  RenderFamilies(gauges_, "gauge", out);
  for (const histogram_families::value_type& named : histograms_) {
    out << "# HELP " << named.first << ' ' << named.second.help << '\n';
    out << "# TYPE " << named.first << " histogram\n";
    for (const std::map<std::string, histogram>::value_type& labelled :
         named.second.metrics) {
      RenderHistogram(named.first, labelled.first, labelled.second, out);
    }
  }
  return out.str();
}

}  // namespace bulrushshore
