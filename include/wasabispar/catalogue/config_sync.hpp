/// @file
/// @brief Keeps the catalogues of all VMs equal to the platform's configuration.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/catalogue/catalogue.hpp"
#include "wasabispar/catalogue/config_messages.hpp"
#include "wasabispar/catalogue/delta_assembler.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace wasabispar {

/// @brief The VMs that ConfigSync talks to.
struct ConfigPeers
{
  /// Live VMs of the own data centre, without leaving ones; this VM may be absent.
  std::vector<VmId> mDataCentre;
  /// Bridge VMs of the other data centres.
  std::vector<VmId> mRemoteBridges;
  /// This VM is a bridge of its data centre.
  bool mIsBridge = false;
  /// Data centres and VMs of the whole fleet; they size the platform call budget.
  std::size_t mDataCentres = 1;
  std::size_t mFleetSize = 1;
};

/// @brief Settings of ConfigSync.
struct ConfigSyncOptions
{
  /// VMs of a data centre that hold the platform's watch.
  std::size_t mWatcherCount = 2;
  /// Further ranks that take over when the data centre loses contact to the platform.
  std::size_t mReserveWatcherCount = 3;
  /// The first reserve rank takes over when the contact is older than this, the second
  /// when it is older than twice this, and so on. Must exceed the ages of normal
  /// operation: up to 59 s were seen with 366 VMs in the data centre.
  Duration mTakeOverAge = std::chrono::seconds(90);
  /// Long-poll time of a watch.
  Duration mWatchTimeout = std::chrono::seconds(10);
  /// A call without reply this long after its own timeout counts as failed.
  Duration mCallTimeout = std::chrono::seconds(5);
  /// A watcher reads the full list this often, to find deletions that were missed. A
  /// list that is newer than the own revision makes peers pull the whole catalogue.
  Duration mFullReadPeriod = std::chrono::hours(1);
  /// A watch that returns nothing new is not repeated sooner.
  Duration mMinWatchPeriod = std::chrono::seconds(1);
  Duration mBackoffMin = std::chrono::milliseconds(500);
  /// Below the 19 s within which a change is in effect everywhere.
  Duration mBackoffMax = std::chrono::seconds(8);
  /// Platform calls a second that the whole fleet may start; a tenth of the service's
  /// capacity of 2,000.
  std::size_t mFleetCallsPerSecond = 200;
  /// Peers that a new delta is pushed to.
  std::size_t mPushFanOut = 4;
  /// A larger delta is announced by a digest, so that only VMs that lack it pull it.
  std::size_t mMaxPushBytes = std::size_t(64) * 1024;
  /// Below the 2 MB limit of a fleet message.
  std::size_t mMaxMessageBytes = std::size_t(1536) * 1024;
  /// Period of the digest to one random peer.
  Duration mDigestPeriod = std::chrono::seconds(4);
  /// A pull without answer this long may be repeated.
  Duration mPullTimeout = std::chrono::seconds(2);
  /// Longest pause between full pulls that bring nothing new. VMs of two software
  /// versions may validate differently and then differ permanently.
  Duration mFullPullBackoffMax = std::chrono::minutes(30);
  /// Peers asked at a time during the start.
  std::size_t mStartPeerCount = 3;
  /// The platform's list completes the start when peers are silent this long.
  Duration mStartPeerWait = std::chrono::seconds(2);
  /// The start is complete after this time at the latest.
  Duration mStartWait = std::chrono::seconds(10);
};

/// @brief Counts of one ConfigSync since its construction.
struct ConfigSyncCounters
{
  std::uint64_t mPlatformCalls = 0;
  std::uint64_t mPlatformErrors = 0;
  /// Replies with a revision below the own one at the time of the call.
  std::uint64_t mStaleReplies = 0;
  std::uint64_t mPushes = 0;
  std::uint64_t mDigests = 0;
  std::uint64_t mPulls = 0;
  /// Full pulls that brought nothing although the digests differed.
  std::uint64_t mIneffectiveFullPulls = 0;
};

/// @brief Decides about platform calls and messages between VMs. Pure: time stamps
/// come with the events, and the caller executes the returned actions in order. Not
/// thread-safe; call it on one strand. Call Tick() about every 100 ms. A pause of the
/// process needs no event, as all ages are taken on a clock that counts it.
class ConfigSync
{
public:
  ConfigSync(VmId aSelf, Catalogue& aCatalogue, RandomFn aRandom,
             ConfigSyncOptions aOptions = {});

  /// @brief Starts. The first ConfigPeers must be seeded from the platform's VM list.
  ConfigActions Start(ConfigPeers aPeers, TimePoint aNow);
  ConfigActions OnPeers(ConfigPeers aPeers, TimePoint aNow);
  ConfigActions Tick(TimePoint aNow);
  /// @brief A reply to a platform call, built by PlatformList() or PlatformChanges().
  /// A late reply of an earlier call is applied, too.
  ConfigActions OnPlatformReply(PlatformCallId aCall, const CatalogueDelta& aDelta,
                                TimePoint aNow);
  /// @brief The call failed or its reply was malformed.
  ConfigActions OnPlatformError(PlatformCallId aCall, TimePoint aNow);
  /// @brief A message of a peer; ignored before Start().
  ConfigActions OnMessage(const VmId& aFrom, const ConfigMessage& aMessage,
                          TimePoint aNow);

  /// @brief How the start was completed; empty before.
  const std::optional<StartComplete>& StartResult() const { return mStarted; }
  /// @brief Age of the last confirmed contact of any VM of the data centre with the
  /// platform; empty when none is known. Never lower than the true age, however long a
  /// message or this process was delayed.
  std::optional<Duration> PlatformAge(TimePoint aNow) const;
  /// @brief Whether scheduled profiles may run: the contact is at most @p aLimit old.
  bool IsFresh(TimePoint aNow, Duration aLimit) const;
  /// @brief This VM calls the platform.
  bool IsWatcher() const { return mWatching; }
  const ConfigSyncCounters& Counters() const { return mCounters; }

private:
  struct PlatformCall
  {
    PlatformCallId mId;
    TimePoint mSentAt{};
    TimePoint mExpiresAt{};
    /// The own revision when the call was sent; a lower reply is stale.
    Revision mOwnRevision;
  };
  struct PendingDigest
  {
    VmId mPeer;
    TimePoint mSentAt{};
  };
  struct Pull
  {
    std::uint64_t mNonce = 0;
    TimePoint mSentAt{};
    bool mFull = false;
  };

  /// How news are passed on.
  enum class Propagation
  {
    Delta,
    /// The VM caught up by a pull, so most peers already hold the news.
    Digest,
  };

  bool IsLocal(const VmId& aVm) const;
  bool IsAlone() const { return mLocalPeers.empty(); }
  Duration CallInterval() const;
  Duration Jittered(Duration aDuration);
  Duration RandomUpTo(Duration aLimit);
  bool IsPullPending(TimePoint aNow) const;
  std::vector<VmId> RandomPeers(std::size_t aCount);

  void UpdateWatch(TimePoint aNow, ConfigActions& aActions);
  bool ShouldWatch(TimePoint aNow);
  void CallPlatform(TimePoint aNow, ConfigActions& aActions);
  void ScheduleCall(TimePoint aNow, Duration aDelay);
  void CallSucceeded(const CatalogueDelta& aDelta, Revision aBefore, TimePoint aNow);
  void CallFailed(TimePoint aNow);
  void ConfirmContact(TimePoint aAt);

  void SendDigest(const VmId& aTo, TimePoint aNow, ConfigActions& aActions);
  CatalogueDigestMessage OwnDigest(TimePoint aNow) const;
  void SendRoutineDigest(TimePoint aNow, ConfigActions& aActions);
  void OnDigest(const VmId& aFrom, const CatalogueDigestMessage& aMessage, TimePoint aNow,
                ConfigActions& aActions);
  void OnPull(const VmId& aFrom, const CataloguePullMessage& aMessage, TimePoint aNow,
              ConfigActions& aActions);
  void OnDelta(const VmId& aFrom, const CatalogueDeltaMessage& aMessage, TimePoint aNow,
               ConfigActions& aActions);
  void CompareDigests(const VmId& aPeer, const CatalogueDigest& aPeerDigest,
                      TimePoint aNow, ConfigActions& aActions);
  void SendPull(const VmId& aTo, Revision aSince, TimePoint aNow,
                ConfigActions& aActions);
  ApplyStatus ApplyAndPush(const CatalogueDelta& aDelta, const VmId& aFrom,
                           Propagation aPropagation, TimePoint aNow,
                           ConfigActions& aActions);
  void PushTo(const std::vector<VmId>& aPeers, Revision aSince, Propagation aPropagation,
              TimePoint aNow, ConfigActions& aActions);

  void RequestStartDigests(TimePoint aNow, ConfigActions& aActions);
  void CheckStart(TimePoint aNow, ConfigActions& aActions);

  VmId mSelf;
  Catalogue& mCatalogue;
  RandomFn mRandom;
  ConfigSyncOptions mOptions;
  ConfigPeers mPeers;
  /// mPeers.mDataCentre without this VM, sorted.
  std::vector<VmId> mLocalPeers;
  /// The watchers and reserve watchers of the data centre, best rank first.
  std::vector<VmId> mRankedWatchers;
  /// Position of this VM in mRankedWatchers; its size when absent.
  std::size_t mRank = 0;

  bool mWatching = false;
  /// A reserve rank that took over, until a better rank reports its own contact.
  bool mTakenOver = false;
  /// The last call to the platform succeeded.
  bool mInContact = false;
  std::uint64_t mLastCall = 0;
  std::optional<PlatformCall> mCall;
  TimePoint mNextCallAt{};
  std::optional<TimePoint> mLastFullRead;
  Duration mBackoff{};
  /// Newest known contact of the data centre with the platform. Only the time at which
  /// a request was sent counts, as its answer was made after it.
  std::optional<TimePoint> mLastContactAt;

  std::uint64_t mLastNonce = 0;
  /// Digest requests that wait for their reply, by nonce.
  std::map<std::uint64_t, PendingDigest> mPendingDigests;
  TimePoint mNextDigestAt{};
  /// Alternates the routine digest between two kinds of receivers.
  bool mAlternate = false;
  std::optional<Pull> mPull;
  TimePoint mNextFullPullAt{};
  Duration mFullPullBackoff{};
  DeltaAssembler mAssembler;

  std::optional<StartComplete> mStarted;
  /// Start() was called.
  bool mIsStartCalled = false;
  TimePoint mStartedAt{};
  TimePoint mNextStartRequestAt{};
  /// Peers that were asked during the start and have not answered yet.
  std::set<VmId> mUnansweredPeers;
  /// Highest revision of a started peer.
  std::optional<Revision> mPeerRevision;
  bool mPlatformListed = false;
  ConfigSyncCounters mCounters;
};

} // namespace wasabispar
