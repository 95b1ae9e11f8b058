/// @file
/// @brief Runs searches: gate, admission, snapshot, fan-out, merge.
#pragma once

#include "wasabispar/admission/admission_control.hpp"
#include "wasabispar/app/app_context.hpp"
#include "wasabispar/app/config_service.hpp"
#include "wasabispar/app/explain_store.hpp"
#include "wasabispar/app/request_gate.hpp"
#include "wasabispar/app/slo_tracker.hpp"
#include "wasabispar/app/upstream_service.hpp"
#include "wasabispar/query/load_budget.hpp"
#include "wasabispar/query/query.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace wasabispar {

/// @brief A search as a caller sent it.
struct QueryInput
{
  ProfileName mProfile;
  CallerId mCaller;
  /// JSON text.
  std::string mQuery;
  /// The caller's own deadline; the profile's applies if it is shorter.
  std::optional<Duration> mDeadline;
  /// Most hits to return, the best ones; all when absent.
  std::optional<std::size_t> mLimit;
};

/// @brief The end of a search: an answer, or a refusal with the request's id.
struct QueryResult
{
  RequestId mRequest;
  /// Set unless the request was refused before it started.
  std::optional<Answer> mAnswer;
  std::optional<Refusal> mRefusal;
};

/// @brief Runs searches. Thread-safe.
class QueryService
{
public:
  /// Called once, on any worker.
  using DoneFn = std::function<void(QueryResult)>;

  QueryService(AppContext& aContext, ConfigService& aConfig, UpstreamService& aUpstreams,
               AdmissionControl& aAdmission, ProfileUsage& aUsage, SloTracker& aSlo,
               ExplainStore& aExplains);
  ~QueryService();

  void Run(QueryInput aInput, DoneFn aDone);
  /// @brief Extra load over all profiles since the start.
  LoadCounts Load() const;

private:
  struct Running;

  AppContext& mContext;
  ConfigService& mConfig;
  UpstreamService& mUpstreams;
  AdmissionControl& mAdmission;
  ProfileUsage& mUsage;
  SloTracker& mSlo;
  ExplainStore& mExplains;
  /// Guards mBudgets.
  mutable std::mutex mMutex;
  /// The budget for extra load of each profile, with the limit that it was made for.
  std::map<ProfileName, std::pair<Permille, std::shared_ptr<LoadBudget>>> mBudgets;

  GateResult Check(const QueryInput& aInput, TimePoint aNow);
  std::shared_ptr<LoadBudget> BudgetOf(const Profile& aProfile);
  void Begin(const std::shared_ptr<Running>& aRunning);
  bool IsActive(const ProfileName& aProfile) const;
  QueryHooks HooksOf(const std::shared_ptr<Running>& aRunning);
  void Apply(const std::shared_ptr<Running>& aRunning, std::vector<QueryAction> aActions);
  void Send(const std::shared_ptr<Running>& aRunning, const SendSubRequest& aSend);
  void OnReply(const std::shared_ptr<Running>& aRunning, std::uint64_t aSub,
               SearchReply aReply);
  bool IsVersionGone(const Running& aRunning, const SearchReply& aReply) const;
  void Finish(const std::shared_ptr<Running>& aRunning, Answer aAnswer);
  void Refuse(const std::shared_ptr<Running>& aRunning, Refusal aRefusal);
  void RecordEnd(const Running& aRunning, const QueryResult& aResult);
};

} // namespace wasabispar
