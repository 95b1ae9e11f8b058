/// @file
/// @brief Runs searches and executions through other VMs, and serves theirs.
#pragma once

#include "wasabispar/app/app_context.hpp"
#include "wasabispar/app/fleet_link.hpp"
#include "wasabispar/app/upstream_service.hpp"
#include "wasabispar/execution/execution_router.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace wasabispar {

/// @brief What this VM does for others. Called on worker 0.
struct ForwarderHooks
{
  std::function<void(std::uint64_t aHandle, SubSearch,
                     std::function<void(HttpExchangeResult)>)>
    mServeSearch;
  std::function<void(std::uint64_t aHandle, const UpstreamId&)> mServeCancel;
  std::function<std::string(const UpstreamId&)> mServeState;
  std::function<void(const ForwardExecutionMessage&,
                     std::function<void(ForwardExecutionReplyMessage)>)>
    mServeExecution;
};

/// @brief Both sides of forwarding. Functions may be called from any thread; state is
/// used on worker 0 only, where callbacks run, too.
class Forwarder
{
public:
  using ExchangeFn = std::function<void(HttpExchangeResult)>;
  using ExecutionFn = std::function<void(ForwardEnd, ExecutionAnswer)>;

  Forwarder(AppContext& aContext, FleetLink& aLink, ForwarderHooks aHooks);

  void Start();
  void Stop();
  /// @brief Runs a search through @p aOwner; ends as TimedOut at its deadline.
  void Search(std::uint64_t aHandle, const VmId& aOwner, const SubSearch& aSearch,
              ExchangeFn aDone);
  void Cancel(std::uint64_t aHandle);
  /// @brief Gets the newest state report that @p aOwner holds, empty when it has none.
  void State(const VmId& aOwner, const UpstreamId& aUpstream,
             std::function<void(std::string)> aDone);
  void Execute(const TicketIssuer& aIssuer, ForwardExecutionMessage aMessage,
               TimePoint aDeadline, ExecutionFn aDone);

  /// @brief Handles forwarding messages; false for other messages. Worker 0.
  bool OnMessage(const FleetEnvelope& aEnvelope);
  /// @brief Ends what was forwarded to VMs that are no longer live. Worker 0.
  void OnView(const MemberView& aView);

private:
  struct PendingSearch
  {
    VmId mOwner;
    ExchangeFn mDone;
    TimePoint mDeadline;
  };
  struct PendingExecution
  {
    ExecutionFn mDone;
    TimePoint mDeadline;
  };
  struct Served
  {
    std::uint64_t mHandle = 0;
    UpstreamId mUpstream;
  };
  /// A sub-request of another VM.
  struct ServedKey
  {
    VmId mSender;
    Incarnation mIncarnation;
    std::uint64_t mSubId = 0;

    auto operator<=>(const ServedKey&) const = default;
  };

  AppContext& mContext;
  FleetLink& mLink;
  ForwarderHooks mHooks;
  std::map<std::uint64_t, PendingSearch> mSearches;
  std::map<std::uint64_t, PendingExecution> mExecutions;
  std::map<ServedKey, Served> mServed;
  /// Sub-requests and replies that leave in one message at the end of this turn of the
  /// event loop.
  std::map<VmId, ForwardSearchMessage> mOutSubs;
  std::map<VmId, ForwardSearchReplyMessage> mOutReplies;
  bool mIsFlushPosted = false;
  Subscription mTick;

  void Queue(const VmId& aOwner, ForwardSearchMessage::Sub aSub, PendingSearch aPending);
  void QueueReply(const VmId& aTo, ForwardSearchReplyMessage::Sub aReply);
  void PostFlush();
  void Flush();
  void End(std::uint64_t aSubId, HttpExchangeResult aResult);
  void EndExecution(std::uint64_t aId, ForwardEnd aEnd, ExecutionAnswer aAnswer);
  void Serve(const FleetEnvelope& aEnvelope, const ForwardSearchMessage::Sub& aSub);
  void ServeState(const VmId& aTo, const ForwardSearchMessage::Sub& aSub);
  void ServeExecution(const FleetEnvelope& aEnvelope,
                      const ForwardExecutionMessage& aMessage);
  void OnReply(const ForwardSearchReplyMessage& aReply);
  void OnCancel(const FleetEnvelope& aEnvelope, const ForwardCancelMessage& aCancel);
  void ExpirePending();
};

} // namespace wasabispar
