/// @file
/// @brief The process's metrics on prometheus-cpp. Label values come from bounded sets;
/// never use a request id or caller-chosen text as a label.
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

/// @brief Creates and finds metrics by name and labels. Thread-safe. References stay
/// valid as long as the object lives.
class Metrics
{
public:
  using Labels = std::map<std::string, std::string>;

  Metrics();

  prometheus::Counter& Counter(const std::string& aName, const std::string& aHelp,
                               const Labels& aLabels = {});
  prometheus::Gauge& Gauge(const std::string& aName, const std::string& aHelp,
                           const Labels& aLabels = {});
  /// @brief Histogram of seconds with buckets from 1 ms to 10 s.
  prometheus::Histogram& Latency(const std::string& aName, const std::string& aHelp,
                                 const Labels& aLabels = {});

  /// @brief All metrics in the Prometheus text format.
  std::string Text() const;

private:
  std::shared_ptr<prometheus::Registry> mRegistry;
  /// Guards the three maps.
  std::mutex mMutex;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> mCounters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> mGauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> mLatencies;
};

} // namespace wasabispar
