#include "libraries/telemetry/metrics.h"

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

}  // namespace

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

std::string metric_registry::RenderText() const {
  std::ostringstream out;
  const std::lock_guard<std::mutex> lock(mutex_);
  RenderFamilies(counters_, "counter", out);
  RenderFamilies(gauges_, "gauge", out);
  return out.str();
}

}  // namespace bulrushshore
