/// @file
/// @brief Metrics on prometheus-cpp.
#include "wasabispar/base/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace wasabispar {

namespace {

/// Upper bounds in seconds; finest around the latency objective of 95 ms.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets{
  0.001, 0.002, 0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.065, 0.08,
  0.095, 0.12,  0.15,  0.2,  0.3,  0.5,  1.0,  2.0,  5.0,   10.0
};

template<class Families, class Builder>
auto&
FindOrRegister(Families& aFamilies, Builder aBuilder, const std::string& aName,
               const std::string& aHelp, prometheus::Registry& aRegistry)
{
  auto& family = aFamilies[aName];
  if (!family) {
    family = &aBuilder.Name(aName).Help(aHelp).Register(aRegistry);
  }
  return *family;
}

} // namespace

Metrics::Metrics()
  : mRegistry(std::make_shared<prometheus::Registry>())
{
}

prometheus::Counter&
Metrics::Counter(const std::string& aName, const std::string& aHelp,
                 const Labels& aLabels)
{
  std::lock_guard lock(mMutex);
  return FindOrRegister(mCounters, prometheus::BuildCounter(), aName, aHelp, *mRegistry)
    .Add(aLabels);
}

prometheus::Gauge&
Metrics::Gauge(const std::string& aName, const std::string& aHelp, const Labels& aLabels)
{
  std::lock_guard lock(mMutex);
  return FindOrRegister(mGauges, prometheus::BuildGauge(), aName, aHelp, *mRegistry)
    .Add(aLabels);
}

prometheus::Histogram&
Metrics::Latency(const std::string& aName, const std::string& aHelp,
                 const Labels& aLabels)
{
  std::lock_guard lock(mMutex);
  return FindOrRegister(mLatencies, prometheus::BuildHistogram(), aName, aHelp,
                        *mRegistry)
    .Add(aLabels, kLatencyBuckets);
}

std::string
Metrics::Text() const
{
  return prometheus::TextSerializer().Serialize(mRegistry->Collect());
}

} // namespace wasabispar
