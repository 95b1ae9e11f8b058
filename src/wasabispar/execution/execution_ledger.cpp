/// @file
/// @brief ExecutionLedger: entries sharded by the sequence of their ticket.
#include "wasabispar/execution/execution_ledger.hpp"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace wasabispar {

namespace {

enum class EntryState : std::uint8_t
{
  /// An execution may start.
  Issued,
  /// An execution has started; no byte has left.
  Unsent,
  /// An execution has started; a byte may have left.
  Sent,
  /// The execution ended as `ran` or `outcome-unknown`; its answer is replayed.
  Ended,
  /// The ticket was found expired before a byte left. It never starts an execution and
  /// permits no send, even for a thread that read its clock before the expiry.
  ExpiredUnsent,
};

/// Outstanding tickets and retained replies of one caller.
struct CallerUsage
{
  std::size_t mTickets = 0;
  std::size_t mRetainedBytes = 0;
};
using CallerUsageMap = std::map<CallerId, CallerUsage>;

struct Entry
{
  EntryState mState = EntryState::Issued;
  bool mHasFingerprint = false;
  /// Set by Sweep() when the ticket has expired while Sent; Complete() removes the entry.
  bool mIsExpiredWhileSent = false;
  /// Number of the current or last attempt.
  std::uint32_t mAttempt = 0;
  TimePoint mExpiry;
  TimePoint mDeadline;
  RequestFingerprint mFingerprint;
  CallerUsageMap::iterator mCaller;
  std::vector<ExecutionAnswerFn> mWaiters;
  /// Set in state Ended.
  ExecutionAnswer mAnswer;
};

struct Shard
{
  /// Guards the members below.
  mutable std::mutex mMutex;
  std::unordered_map<std::uint64_t, Entry> mEntries;
  /// In the order of issue, which is the order of expiry because all tickets have the
  /// same lifetime.
  std::deque<std::uint64_t> mSequencesByExpiry;
};

BeginResult
Refuse(EndCondition aEnd, AnswerScope aScope)
{
  return { BeginAction::Refuse, {}, ExecutionAnswer{ aEnd, aScope, {}, {} } };
}

} // namespace

struct ExecutionLedger::State
{
  ExecutionLedgerOptions mOptions;
  std::vector<Shard> mShards;
  std::atomic<std::uint64_t> mNextSequence{ 1 };

  /// Guards the members below. Taken with the lock of a shard held, never the reverse.
  mutable std::mutex mUsageMutex;
  /// Invariant: holds only callers with outstanding tickets.
  CallerUsageMap mCallers;
  std::size_t mTickets = 0;
  std::size_t mRetainedBytes = 0;

  explicit State(const ExecutionLedgerOptions& aOptions)
    : mOptions(aOptions)
    , mShards(aOptions.mShards)
  {
  }

  Shard& ShardOf(std::uint64_t aSequence) { return mShards[aSequence % mShards.size()]; }

  /// Counts a new ticket of @p aCaller, or returns the limit that refuses it.
  std::optional<EndCondition> ReserveTicket(const CallerId& aCaller,
                                            CallerUsageMap::iterator& aCallerUsage)
  {
    std::lock_guard lock(mUsageMutex);
    if (mTickets >= mOptions.mMaxTickets) {
      return EndCondition::TicketLimit;
    }
    const auto found = mCallers.find(aCaller);
    const auto outstanding = found == mCallers.end() ? 0 : found->second.mTickets;
    if (outstanding >= mOptions.mMaxTicketsPerCaller) {
      return EndCondition::TicketLimitOfCaller;
    }
    aCallerUsage = mCallers.try_emplace(aCaller).first;
    ++aCallerUsage->second.mTickets;
    ++mTickets;
    return std::nullopt;
  }

  /// Counts a reply of @p aBytes for the caller; false if a limit does not permit it.
  bool ReserveReply(CallerUsageMap::iterator aCaller, std::size_t aBytes)
  {
    std::lock_guard lock(mUsageMutex);
    auto& usage = aCaller->second;
    if (aBytes > mOptions.mMaxReplyBytes ||
        mRetainedBytes + aBytes > mOptions.mMaxRetainedBytes ||
        usage.mRetainedBytes + aBytes > mOptions.mMaxRetainedBytesPerCaller) {
      return false;
    }
    mRetainedBytes += aBytes;
    usage.mRetainedBytes += aBytes;
    return true;
  }

  /// Subtracts a removed ticket and its retained reply from the usage.
  void Release(const Entry& aEntry)
  {
    std::lock_guard lock(mUsageMutex);
    auto& usage = aEntry.mCaller->second;
    mRetainedBytes -= aEntry.mAnswer.mBody.size();
    usage.mRetainedBytes -= aEntry.mAnswer.mBody.size();
    --mTickets;
    if (--usage.mTickets == 0) {
      mCallers.erase(aEntry.mCaller);
    }
  }

  /// Called with the lock of @p aShard held.
  void RemoveEntry(Shard& aShard,
                   std::unordered_map<std::uint64_t, Entry>::iterator aEntry)
  {
    Release(aEntry->second);
    aShard.mEntries.erase(aEntry);
  }

  /// Stores an answer for replay, without the reply if a limit does not permit it. Called
  /// with the lock of the entry's shard held.
  void Retain(Entry& aEntry, const ExecutionAnswer& aAnswer)
  {
    aEntry.mState = EntryState::Ended;
    if (ReserveReply(aEntry.mCaller, aAnswer.mBody.size())) {
      aEntry.mAnswer = aAnswer;
      // The reply may have been read into a larger buffer.
      aEntry.mAnswer.mBody.shrink_to_fit();
      return;
    }
    aEntry.mAnswer = {
      EndCondition::ReplyNotRetained, aAnswer.mScope, aAnswer.mPeer, {}
    };
  }

  BeginResult StartAttempt(Entry& aEntry, std::uint64_t aSequence,
                           RequestFingerprint aFingerprint, TimePoint aDeadline,
                           TimePoint aNow)
  {
    if (aNow >= aDeadline) {
      return Refuse(EndCondition::DeadlineBeforeSend, AnswerScope::Ticket);
    }
    aEntry.mState = EntryState::Unsent;
    aEntry.mHasFingerprint = true;
    aEntry.mFingerprint = aFingerprint;
    aEntry.mDeadline = aDeadline;
    ++aEntry.mAttempt;
    return { BeginAction::Start, { aSequence, aEntry.mAttempt }, {} };
  }

  BeginResult AddWaiter(Entry& aEntry, ExecutionAnswerFn aOnAnswer)
  {
    if (aEntry.mWaiters.size() >= mOptions.mMaxWaiters) {
      return Refuse(EndCondition::TooManyWaiters, AnswerScope::Ticket);
    }
    aEntry.mWaiters.push_back(std::move(aOnAnswer));
    return { BeginAction::Wait, {}, {} };
  }

  /// Sets the state of the entry after an attempt and returns the answer for the caller.
  ExecutionAnswer EndAttempt(Entry& aEntry, ExecutionAnswer aAnswer, TimePoint aNow)
  {
    if (aEntry.mState == EntryState::Sent) {
      aAnswer.mEnd = EndConditionAfterSend(aAnswer.mEnd);
    }
    aAnswer.mScope = AnswerScope::Ticket;
    if (aAnswer.Result() != Outcome::NotRun) {
      Retain(aEntry, aAnswer);
    } else {
      const auto isExpired =
        aEntry.mState == EntryState::ExpiredUnsent || aNow >= aEntry.mExpiry;
      aEntry.mState = isExpired ? EntryState::ExpiredUnsent : EntryState::Issued;
    }
    return aAnswer;
  }
};

ExecutionLedger::ExecutionLedger(TicketIssuer aIssuer, const TicketSecret& aSecret,
                                 ExecutionLedgerOptions aOptions)
  : mCodec(std::move(aIssuer), aSecret)
  , mState(std::make_unique<State>(aOptions))
{
}

ExecutionLedger::~ExecutionLedger() = default;

IssueResult
ExecutionLedger::Issue(const ProfileName& aProfile, const CallerId& aCaller,
                       TimePoint aNow)
{
  if (!TicketCodec::Fits(aProfile, aCaller)) {
    return { {}, {}, { EndCondition::BadRequest, AnswerScope::Request, {}, {} } };
  }
  Entry entry;
  if (const auto limit = mState->ReserveTicket(aCaller, entry.mCaller)) {
    return { {}, {}, { *limit, AnswerScope::Request, {}, {} } };
  }
  const auto sequence = mState->mNextSequence.fetch_add(1);
  entry.mExpiry = aNow + mState->mOptions.mTicketLifetime;
  auto text =
    mCodec.Sign({ mCodec.Issuer(), sequence, aProfile, aCaller, entry.mExpiry });
  auto& shard = mState->ShardOf(sequence);
  std::lock_guard lock(shard.mMutex);
  shard.mEntries.emplace(sequence, std::move(entry));
  shard.mSequencesByExpiry.push_back(sequence);
  return { std::move(text), mState->mOptions.mTicketLifetime, {} };
}

BeginResult
ExecutionLedger::Begin(const Ticket& aTicket, RequestFingerprint aFingerprint,
                       TimePoint aDeadline, TimePoint aNow, ExecutionAnswerFn aOnAnswer)
{
  auto& shard = mState->ShardOf(aTicket.mSequence);
  std::lock_guard lock(shard.mMutex);
  const auto found = shard.mEntries.find(aTicket.mSequence);
  if (found == shard.mEntries.end()) {
    return Refuse(EndCondition::TicketExpired, AnswerScope::Ticket);
  }
  auto& entry = found->second;
  if (entry.mHasFingerprint && entry.mFingerprint != aFingerprint) {
    return Refuse(EndCondition::TicketBodyDiffers, AnswerScope::Request);
  }
  const auto isUnsent =
    entry.mState == EntryState::Issued || entry.mState == EntryState::Unsent;
  if (isUnsent && aNow >= entry.mExpiry) {
    entry.mState = EntryState::ExpiredUnsent;
  }
  switch (entry.mState) {
    case EntryState::Issued:
      return mState->StartAttempt(entry, aTicket.mSequence, aFingerprint, aDeadline,
                                  aNow);
    case EntryState::Unsent:
    case EntryState::Sent:
      return mState->AddWaiter(entry, std::move(aOnAnswer));
    case EntryState::Ended:
      return { BeginAction::Replay, {}, entry.mAnswer };
    case EntryState::ExpiredUnsent:
      break;
  }
  return Refuse(EndCondition::TicketExpiredUnused, AnswerScope::Ticket);
}

bool
ExecutionLedger::TryMarkSent(const ExecutionAttempt& aAttempt, TimePoint aNow)
{
  auto& shard = mState->ShardOf(aAttempt.mSequence);
  std::lock_guard lock(shard.mMutex);
  const auto found = shard.mEntries.find(aAttempt.mSequence);
  if (found == shard.mEntries.end()) {
    return false;
  }
  auto& entry = found->second;
  if (entry.mState != EntryState::Unsent || entry.mAttempt != aAttempt.mNumber ||
      aNow >= entry.mDeadline || aNow >= entry.mExpiry) {
    return false;
  }
  entry.mState = EntryState::Sent;
  return true;
}

ExecutionAnswer
ExecutionLedger::Complete(const ExecutionAttempt& aAttempt, ExecutionAnswer aAnswer,
                          TimePoint aNow)
{
  std::vector<ExecutionAnswerFn> waiters;
  aAnswer.mScope = AnswerScope::Ticket;
  {
    auto& shard = mState->ShardOf(aAttempt.mSequence);
    std::lock_guard lock(shard.mMutex);
    const auto found = shard.mEntries.find(aAttempt.mSequence);
    if (found == shard.mEntries.end() || found->second.mAttempt != aAttempt.mNumber) {
      return aAnswer;
    }
    auto& entry = found->second;
    if (entry.mState == EntryState::Ended) {
      return entry.mAnswer;
    }
    if (entry.mState == EntryState::Issued) {
      return aAnswer;
    }
    aAnswer = mState->EndAttempt(entry, std::move(aAnswer), aNow);
    waiters.swap(entry.mWaiters);
    if (entry.mIsExpiredWhileSent) {
      mState->RemoveEntry(shard, found);
    }
  }
  for (const auto& waiter : waiters) {
    if (waiter) {
      waiter(aAnswer);
    }
  }
  return aAnswer;
}

std::size_t
ExecutionLedger::Sweep(TimePoint aNow)
{
  std::size_t removed = 0;
  std::vector<ExecutionAnswerFn> waiters;
  for (auto& shard : mState->mShards) {
    std::lock_guard lock(shard.mMutex);
    while (!shard.mSequencesByExpiry.empty()) {
      const auto found = shard.mEntries.find(shard.mSequencesByExpiry.front());
      if (found == shard.mEntries.end()) {
        shard.mSequencesByExpiry.pop_front();
        continue;
      }
      auto& entry = found->second;
      if (entry.mExpiry > aNow) {
        break;
      }
      shard.mSequencesByExpiry.pop_front();
      if (entry.mState == EntryState::Sent) {
        entry.mIsExpiredWhileSent = true;
        continue;
      }
      waiters.insert(waiters.end(), std::make_move_iterator(entry.mWaiters.begin()),
                     std::make_move_iterator(entry.mWaiters.end()));
      mState->RemoveEntry(shard, found);
      ++removed;
    }
  }
  const ExecutionAnswer expired{
    EndCondition::TicketExpiredUnused, AnswerScope::Ticket, {}, {}
  };
  for (const auto& waiter : waiters) {
    if (waiter) {
      waiter(expired);
    }
  }
  return removed;
}

std::vector<ExecutionAttempt>
ExecutionLedger::Running() const
{
  std::vector<ExecutionAttempt> attempts;
  for (const auto& shard : mState->mShards) {
    std::lock_guard lock(shard.mMutex);
    for (const auto& [sequence, entry] : shard.mEntries) {
      if (entry.mState == EntryState::Unsent || entry.mState == EntryState::Sent) {
        attempts.push_back({ sequence, entry.mAttempt });
      }
    }
  }
  return attempts;
}

LedgerUsage
ExecutionLedger::Usage() const
{
  std::lock_guard lock(mState->mUsageMutex);
  return { mState->mTickets, mState->mRetainedBytes, mState->mCallers.size() };
}

} // namespace wasabispar
