/// @file
/// @brief Runs non-idempotent requests at most once.
#pragma once

#include "wasabispar/admission/admission_control.hpp"
#include "wasabispar/app/app_context.hpp"
#include "wasabispar/app/config_service.hpp"
#include "wasabispar/app/forwarder.hpp"
#include "wasabispar/app/request_gate.hpp"
#include "wasabispar/app/upstream_service.hpp"
#include "wasabispar/execution/execution_ledger.hpp"
#include "wasabispar/execution/execution_router.hpp"
#include "wasabispar/execution/quarantine.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief An execution as a caller sent it, or as another VM forwarded it.
struct ExecutionInput
{
  ProfileName mProfile;
  CallerId mCaller;
  std::optional<std::string> mTicket;
  /// JSON text.
  std::string mBody;
  /// The caller's own deadline; the profile's applies if it is shorter.
  std::optional<Duration> mDeadline;
  bool mIsForwarded = false;
};

/// @brief Owns the ledger, the quarantine and the router. Thread-safe.
class ExecutionService
{
public:
  /// Called once, on any thread of the process.
  using DoneFn = std::function<void(ExecutionAnswer)>;

  ExecutionService(AppContext& aContext, ConfigService& aConfig,
                   UpstreamService& aUpstreams, AdmissionControl& aAdmission,
                   ProfileUsage& aUsage, IssuerStateFn aIssuerState);

  /// @brief Sets the way to other VMs; before the first Run().
  void SetForwarder(Forwarder& aForwarder) { mForwarder = &aForwarder; }

  /// @brief Issues a ticket for a profile of this VM, or returns the refusal.
  IssueResult Issue(const ProfileName& aProfile, const CallerId& aCaller);
  void Run(ExecutionInput aInput, DoneFn aDone);
  /// @brief Takes over a finding about a crashing request.
  void OnCrashFact(const CrashReport& aFact);
  /// @brief Forgets what has expired. Call it each second.
  void Sweep();
  LedgerUsage Usage() const { return mLedger.Usage(); }
  const Quarantine& Quarantined() const { return mQuarantine; }
  /// @brief Executions that have not ended.
  std::size_t RunningCount() const { return mLedger.Running().size(); }

private:
  struct Running;

  AppContext& mContext;
  ConfigService& mConfig;
  UpstreamService& mUpstreams;
  AdmissionControl& mAdmission;
  ProfileUsage& mUsage;
  Quarantine mQuarantine;
  ExecutionLedger mLedger;
  ExecutionRouter mRouter;
  Forwarder* mForwarder = nullptr;

  GateResult Check(const ProfileName& aProfile, const CallerId& aCaller);
  Duration DeadlineOf(const ExecutionInput& aInput) const;
  DoneFn AnswerOnce(DoneFn aDone);
  void Route(const std::shared_ptr<Running>& aRunning);
  void Forward(const std::shared_ptr<Running>& aRunning, const TicketIssuer& aIssuer);
  void Admit(const std::shared_ptr<Running>& aRunning);
  void Send(const std::shared_ptr<Running>& aRunning);
  void OnExchangeEnd(const std::shared_ptr<Running>& aRunning,
                     const UpstreamId& aUpstream, HttpExchangeResult aResult,
                     bool aMayHaveBeenSent);
  void EndAdmitted(const std::shared_ptr<Running>& aRunning, ExecutionAnswer aAnswer);
};

} // namespace wasabispar
