/// @file
/// @brief Metrics of the process on prometheus-cpp. Label values must come from bounded
/// sets: never use a request id or text chosen by a caller as a label value.
#pragma once

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace wasabispar {

/// @brief A registry of metrics. Each accessor returns the metric with the given name and
/// labels and creates it on first use; the help text of the first use is kept.
/// Thread-safe. The references stay valid for the lifetime of the registry.
class Metrics
{
public:
  using Labels = std::map<std::string, std::string>;

  Metrics();

  prometheus::Counter& Counter(const std::string& aName, const std::string& aHelp,
                               const Labels& aLabels = {});
  prometheus::Gauge& Gauge(const std::string& aName, const std::string& aHelp,
                           const Labels& aLabels = {});
  /// @brief A histogram in seconds with buckets from 1 ms to 10 s.
  prometheus::Histogram& Latency(const std::string& aName, const std::string& aHelp,
                                 const Labels& aLabels = {});

  /// @brief Serialises all metrics in the Prometheus text format.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  /// Guards the three maps of families by name.
  std::mutex mMutex;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> mCounters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> mGauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> mLatencies;
};

} // namespace wasabispar
