/// @file
/// @brief The HTTP interface for operators: metrics and JSON reports.
#pragma once

#include "wasabispar/app/caller_api.hpp"
#include "wasabispar/app/config_service.hpp"
#include "wasabispar/app/execution_service.hpp"
#include "wasabispar/app/explain_store.hpp"
#include "wasabispar/app/fleet_link.hpp"
#include "wasabispar/app/fleet_service.hpp"
#include "wasabispar/app/query_service.hpp"
#include "wasabispar/app/slo_tracker.hpp"
#include "wasabispar/app/upstream_service.hpp"

#include <mutex>
#include <set>
#include <string>
#include <utility>

namespace wasabispar {

/// @brief The services that the reports are made from; all outlive the API.
struct OperatorSources
{
  ConfigService& mConfig;
  FleetService& mFleet;
  FleetLink& mLink;
  UpstreamService& mUpstreams;
  QueryService& mQueries;
  ExecutionService& mExecutions;
  AdmissionControl& mAdmission;
  ProfileUsage& mUsage;
  SloTracker& mSlo;
  ExplainStore& mExplains;
};

/// @brief Renders the reports. Thread-safe.
class OperatorApi
{
public:
  OperatorApi(AppContext& aContext, OperatorSources aSources, ReadinessFn aIsReady);

  /// @brief Handles one request; see docs/operators/wasabisparctl.md.
  void Handle(HttpRequest aRequest, HttpRespondFn aRespond);

private:
  AppContext& mContext;
  OperatorSources mSources;
  ReadinessFn mIsReady;
  /// Guards mBurnSeries and the update of its metrics.
  std::mutex mBurnMutex;
  /// Profile and minutes of each burn rate that was shown as a metric.
  std::set<std::pair<std::string, std::string>> mBurnSeries;

  void UpdateMetrics();
  void UpdateFleetMetrics();
  void UpdateBurnMetrics();
  /// Asks the other VMs for their revision and answers when they had time to reply.
  void Status(HttpRespondFn aRespond);
  std::string StatusText();
  std::string ProfilesText() const;
  std::string UpstreamsText() const;
  std::string BurnText() const;
  std::string CatalogueText() const;
  HttpResponse Explain(std::string_view aId) const;
};

} // namespace wasabispar
