#include "amaranthcove/metrics/metrics.h"

#include <prometheus/text_serializer.h>

namespace amaranthcove {
namespace {

prometheus::Labels MakeLabels(const std::string& label,
                              const std::string& value) {
  return label.empty() ? prometheus::Labels{}
                       : prometheus::Labels{{label, value}};
}

}  // namespace

MetricsRegistry::MetricsRegistry(std::string_view instance,
                                 std::string_view role,
                                 std::string_view data_centre)
    : constant_labels_{{"instance", std::string(instance)},
                       {"role", std::string(role)},
                       {"data_centre", std::string(data_centre)}},
      registry_(std::make_unique<prometheus::Registry>()) {}

prometheus::Counter& MetricsRegistry::Counter(const std::string& name,
                                              const std::string& help,
                                              const std::string& label,
                                              const std::string& value) {
  return prometheus::BuildCounter()
      .Name(name)
      .Help(help)
      .Labels(constant_labels_)
      .Register(*registry_)
      .Add(MakeLabels(label, value));
}

prometheus::Gauge& MetricsRegistry::Gauge(const std::string& name,
                                          const std::string& help,
                                          const std::string& label,
                                          const std::string& value) {
  return prometheus::BuildGauge()
      .Name(name)
      .Help(help)
      .Labels(constant_labels_)
      .Register(*registry_)
      .Add(MakeLabels(label, value));
}

prometheus::Histogram& MetricsRegistry::Histogram(const std::string& name,
                                                  const std::string& help,
                                                  const std::string& label,
                                                  const std::string& value) {
  static const prometheus::Histogram::BucketBoundaries boundaries = {
      0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1, 2, 5, 10, 20};
  return prometheus::BuildHistogram()
      .Name(name)
      .Help(help)
      .Labels(constant_labels_)
      .Register(*registry_)
      .Add(MakeLabels(label, value), boundaries);
}

std::string MetricsRegistry::Serialize() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace amaranthcove
