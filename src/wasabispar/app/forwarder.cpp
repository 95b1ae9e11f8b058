/// @file
/// @brief Forwarder.
#include "wasabispar/app/forwarder.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(5);
constexpr Duration kStateTimeout = std::chrono::seconds(1);

std::uint32_t
RemainingMs(TimePoint aDeadline, TimePoint aNow)
{
  return static_cast<std::uint32_t>(
    std::clamp<std::int64_t>(ToMilliseconds(aDeadline - aNow), 0, UINT32_MAX));
}

ForwardSearchMessage::Sub
ToMessage(std::uint64_t aHandle, const SubSearch& aSearch, TimePoint aNow)
{
  ForwardSearchMessage::Sub sub;
  sub.mSubId = aHandle;
  sub.mIndex = aSearch.mRequest.mIndex;
  sub.mVersion = aSearch.mRequest.mVersion;
  sub.mShard = aSearch.mRequest.mShard;
  sub.mUpstream = aSearch.mUpstream;
  sub.mCaller = aSearch.mRequest.mCaller;
  sub.mProfile = aSearch.mProfile;
  sub.mQuery = aSearch.mRequest.mQuery;
  sub.mDeadlineMs = RemainingMs(aSearch.mDeadline, aNow);
  sub.mRequestId = aSearch.mRequest.mRequestId;
  sub.mFingerprint = aSearch.mFingerprint;
  sub.mIsIsolated = aSearch.mIsolated;
  return sub;
}

SubSearch
FromMessage(const ForwardSearchMessage::Sub& aSub, TimePoint aNow)
{
  SubSearch search;
  search.mUpstream = aSub.mUpstream;
  search.mRequest = { aSub.mRequestId, aSub.mIndex, aSub.mVersion, aSub.mShard,
                      aSub.mCaller,    aSub.mQuery, Duration{} };
  search.mProfile = aSub.mProfile;
  search.mFingerprint = aSub.mFingerprint;
  search.mDeadline = aNow + std::chrono::milliseconds(aSub.mDeadlineMs);
  search.mIsolated = aSub.mIsIsolated;
  return search;
}

} // namespace

Forwarder::Forwarder(AppContext& aContext, FleetLink& aLink, ForwarderHooks aHooks)
  : mContext(aContext)
  , mLink(aLink)
  , mHooks(std::move(aHooks))
{
}

void
Forwarder::Start()
{
  mTick =
    mContext.mWorkers.At(0).Timers().Every(kTickPeriod, [this] { ExpirePending(); });
}

void
Forwarder::Stop()
{
  mTick.Cancel();
}

void
Forwarder::Search(std::uint64_t aHandle, const VmId& aOwner, const SubSearch& aSearch,
                  ExchangeFn aDone)
{
  mContext.mWorkers.At(0).Dispatch(
    [this, aHandle, aOwner, aSearch, done = std::move(aDone)]() mutable {
      Queue(aOwner, ToMessage(aHandle, aSearch, mContext.mNow()),
            { aOwner, std::move(done), aSearch.mDeadline });
    });
}

void
Forwarder::State(const VmId& aOwner, const UpstreamId& aUpstream,
                 std::function<void(std::string)> aDone)
{
  mContext.mWorkers.At(0).Dispatch([this, aOwner, aUpstream, done = std::move(aDone)] {
    ForwardSearchMessage::Sub sub;
    sub.mSubId = mContext.NextNumber();
    sub.mUpstream = aUpstream;
    sub.mRequestsState = true;
    const auto deadline = mContext.mNow() + kStateTimeout;
    Queue(aOwner, std::move(sub),
          { aOwner,
            [done](HttpExchangeResult aResult) {
              done(aResult.mEnd == HttpExchangeEnd::Response
                     ? std::move(aResult.mResponse.mBody)
                     : std::string());
            },
            deadline });
  });
}

void
Forwarder::Queue(const VmId& aOwner, ForwardSearchMessage::Sub aSub,
                 PendingSearch aPending)
{
  mSearches.emplace(aSub.mSubId, std::move(aPending));
  mOutSubs[aOwner].mSubs.push_back(std::move(aSub));
  PostFlush();
}

void
Forwarder::QueueReply(const VmId& aTo, ForwardSearchReplyMessage::Sub aReply)
{
  mOutReplies[aTo].mSubs.push_back(std::move(aReply));
  PostFlush();
}

void
Forwarder::PostFlush()
{
  if (!std::exchange(mIsFlushPosted, true)) {
    mContext.mWorkers.At(0).Post([this] { Flush(); });
  }
}

void
Forwarder::Flush()
{
  mIsFlushPosted = false;
  for (auto& [owner, message] : std::exchange(mOutSubs, {})) {
    std::vector<std::uint64_t> ids;
    for (const auto& sub : message.mSubs) {
      ids.push_back(sub.mSubId);
    }
    mLink.Send(owner, std::move(message), 0, [this, ids](bool aIsSent) {
      for (std::size_t i = 0; !aIsSent && i < ids.size(); ++i) {
        End(ids[i], { HttpExchangeEnd::ConnectFailed, {}, "VM is not reachable" });
      }
    });
  }
  for (auto& [vm, message] : std::exchange(mOutReplies, {})) {
    mLink.Send(vm, std::move(message));
  }
}

void
Forwarder::End(std::uint64_t aSubId, HttpExchangeResult aResult)
{
  const auto found = mSearches.find(aSubId);
  if (found == mSearches.end()) {
    return;
  }
  const auto done = std::move(found->second.mDone);
  mSearches.erase(found);
  done(std::move(aResult));
}

void
Forwarder::Cancel(std::uint64_t aHandle)
{
  mContext.mWorkers.At(0).Dispatch([this, aHandle] {
    const auto found = mSearches.find(aHandle);
    if (found == mSearches.end()) {
      return;
    }
    mLink.Send(found->second.mOwner, ForwardCancelMessage{ { aHandle } });
    End(aHandle, { HttpExchangeEnd::Cancelled, {}, "cancelled" });
  });
}

void
Forwarder::Execute(const TicketIssuer& aIssuer, ForwardExecutionMessage aMessage,
                   TimePoint aDeadline, ExecutionFn aDone)
{
  mContext.mWorkers.At(0).Dispatch([this, aIssuer, message = std::move(aMessage),
                                    aDeadline, done = std::move(aDone)]() mutable {
    const auto id = mContext.NextNumber();
    message.mDeadlineMs = RemainingMs(aDeadline, mContext.mNow());
    mExecutions.emplace(id, PendingExecution{ std::move(done), aDeadline });
    mLink.Send(aIssuer.mVm, std::move(message), id, [this, id](bool aIsSent) {
      if (!aIsSent) {
        EndExecution(id, ForwardEnd::NotHandedOver, {});
      }
    });
  });
}

void
Forwarder::EndExecution(std::uint64_t aId, ForwardEnd aEnd, ExecutionAnswer aAnswer)
{
  const auto found = mExecutions.find(aId);
  if (found == mExecutions.end()) {
    return;
  }
  const auto done = std::move(found->second.mDone);
  mExecutions.erase(found);
  done(aEnd, std::move(aAnswer));
}

bool
Forwarder::OnMessage(const FleetEnvelope& aEnvelope)
{
  if (const auto* search = std::get_if<ForwardSearchMessage>(&aEnvelope.mMessage)) {
    for (const auto& sub : search->mSubs) {
      Serve(aEnvelope, sub);
    }
  } else if (const auto* reply =
               std::get_if<ForwardSearchReplyMessage>(&aEnvelope.mMessage)) {
    OnReply(*reply);
  } else if (const auto* cancel =
               std::get_if<ForwardCancelMessage>(&aEnvelope.mMessage)) {
    OnCancel(aEnvelope, *cancel);
  } else if (const auto* execution =
               std::get_if<ForwardExecutionMessage>(&aEnvelope.mMessage)) {
    ServeExecution(aEnvelope, *execution);
  } else if (const auto* answer =
               std::get_if<ForwardExecutionReplyMessage>(&aEnvelope.mMessage)) {
    EndExecution(aEnvelope.mCorrelation,
                 answer->mIsIssuer ? ForwardEnd::Reply : ForwardEnd::IssuerUnknowing,
                 answer->mAnswer);
  } else {
    return false;
  }
  return true;
}

void
Forwarder::Serve(const FleetEnvelope& aEnvelope, const ForwardSearchMessage::Sub& aSub)
{
  if (aSub.mRequestsState) {
    ServeState(aEnvelope.mSender, aSub);
    return;
  }
  const ServedKey key{ aEnvelope.mSender, aEnvelope.mIncarnation, aSub.mSubId };
  const auto handle = mContext.NextNumber();
  mServed[key] = { handle, aSub.mUpstream };
  mHooks.mServeSearch(
    handle, FromMessage(aSub, mContext.mNow()), [this, key](HttpExchangeResult aResult) {
      ForwardSearchReplyMessage::Sub reply;
      reply.mSubId = key.mSubId;
      reply.mEnd = aResult.mEnd;
      reply.mStatus = aResult.mResponse.mStatus;
      reply.mIsDraining = aResult.mResponse.Header("Upstream-Draining") == "1";
      reply.mBody = std::move(aResult.mResponse.mBody);
      reply.mCause = std::move(aResult.mCause);
      mContext.mWorkers.At(0).Dispatch([this, key, reply = std::move(reply)]() mutable {
        mServed.erase(key);
        QueueReply(key.mSender, std::move(reply));
      });
    });
}

void
Forwarder::ServeState(const VmId& aTo, const ForwardSearchMessage::Sub& aSub)
{
  ForwardSearchReplyMessage::Sub reply;
  reply.mSubId = aSub.mSubId;
  reply.mEnd = HttpExchangeEnd::Response;
  reply.mStatus = 200;
  reply.mBody = mHooks.mServeState(aSub.mUpstream);
  QueueReply(aTo, std::move(reply));
}

void
Forwarder::ServeExecution(const FleetEnvelope& aEnvelope,
                          const ForwardExecutionMessage& aMessage)
{
  mHooks.mServeExecution(
    aMessage, [this, to = aEnvelope.mSender, correlation = aEnvelope.mCorrelation](
                ForwardExecutionReplyMessage aReply) {
      mLink.Send(to, std::move(aReply), correlation);
    });
}

void
Forwarder::OnReply(const ForwardSearchReplyMessage& aReply)
{
  for (const auto& sub : aReply.mSubs) {
    HttpExchangeResult result;
    result.mEnd = sub.mEnd;
    result.mCause = sub.mCause;
    result.mResponse.mStatus = sub.mStatus;
    result.mResponse.mBody = sub.mBody;
    if (sub.mIsDraining) {
      result.mResponse.mHeaders.push_back({ "Upstream-Draining", "1" });
    }
    End(sub.mSubId, std::move(result));
  }
}

void
Forwarder::OnCancel(const FleetEnvelope& aEnvelope, const ForwardCancelMessage& aCancel)
{
  for (const auto subId : aCancel.mSubIds) {
    const auto found = mServed.find({ aEnvelope.mSender, aEnvelope.mIncarnation, subId });
    if (found != mServed.end()) {
      mHooks.mServeCancel(found->second.mHandle, found->second.mUpstream);
    }
  }
}

void
Forwarder::ExpirePending()
{
  const auto now = mContext.mNow();
  std::vector<std::uint64_t> searches;
  for (const auto& [id, pending] : mSearches) {
    if (now >= pending.mDeadline) {
      searches.push_back(id);
    }
  }
  for (const auto id : searches) {
    End(id, { HttpExchangeEnd::TimedOut, {}, "no reply from the owner in time" });
  }
  std::vector<std::uint64_t> executions;
  for (const auto& [id, pending] : mExecutions) {
    if (now >= pending.mDeadline) {
      executions.push_back(id);
    }
  }
  for (const auto id : executions) {
    EndExecution(id, ForwardEnd::NoReply, {});
  }
}

void
Forwarder::OnView(const MemberView& aView)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [id, pending] : mSearches) {
    const auto& live = aView.mLocalQuotaHolders;
    if (std::find(live.begin(), live.end(), pending.mOwner) == live.end()) {
      lost.push_back(id);
    }
  }
  for (const auto id : lost) {
    End(id, { HttpExchangeEnd::ConnectionLost, {}, "owner is no longer live" });
  }
}

} // namespace wasabispar
