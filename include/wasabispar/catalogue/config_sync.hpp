/// @file
/// @brief Synchronizes the catalogues of all VMs with the platform's configuration.
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

/// @brief The VMs with which ConfigSync exchanges messages.
struct ConfigPeers
{
  /// Live VMs of the own data centre without leaving ones. This VM may be contained or
  /// not.
  std::vector<VmId> mDataCentre;
  /// Bridge VMs of the other data centres.
  std::vector<VmId> mRemoteBridges;
  /// Whether this VM is a bridge of its data centre.
  bool mIsBridge = false;
  /// Number of data centres and of VMs in the whole fleet. The budget of platform calls
  /// is divided by them.
  std::size_t mDataCentres = 1;
  std::size_t mFleetSize = 1;
};

/// @brief Periods, timeouts and limits of ConfigSync.
struct ConfigSyncOptions
{
  /// Number of VMs of a data centre that watch the platform.
  std::size_t mWatcherCount = 2;
  /// Number of further ranks that take over the watch if the data centre loses contact
  /// with the platform.
  std::size_t mReserveWatcherCount = 3;
  /// The first reserve rank takes over if the last contact is older than this, the second
  /// one if it is older than twice this, and so on. Must exceed the age in normal
  /// operation, which reaches 59 s with 366 VMs in the data centre.
  Duration mTakeOverAge = std::chrono::seconds(90);
  /// Long-poll time of a watch.
  Duration mWatchTimeout = std::chrono::seconds(10);
  /// A call has failed if its reply is missing this long after its long-poll timeout.
  Duration mCallTimeout = std::chrono::seconds(5);
  /// Period in which a watcher reads the full list, to find deletions that it missed. Not
  /// shorter, as a list that is newer than the own revision makes peers pull the whole
  /// catalogue.
  Duration mFullReadPeriod = std::chrono::hours(1);
  /// Least delay before the next call after a watch that returned nothing new.
  Duration mMinWatchPeriod = std::chrono::seconds(1);
  /// First and longest delay after a failed call. The longest one must be below the 19 s
  /// within which a change must be in effect on all VMs.
  Duration mBackoffMin = std::chrono::milliseconds(500);
  Duration mBackoffMax = std::chrono::seconds(8);
  /// Platform calls per second of the whole fleet; a tenth of the capacity of the
  /// configuration service, which is 2,000 calls per second.
  std::size_t mFleetCallsPerSecond = 200;
  /// Number of local peers to which a new delta is pushed.
  std::size_t mPushFanOut = 4;
  /// A larger delta is announced by a digest, so that only VMs without its changes pull
  /// them.
  std::size_t mMaxPushBytes = std::size_t(64) * 1024;
  /// Size of the parts of a delta; must be below the 2 MB limit of a fleet message.
  std::size_t mMaxMessageBytes = std::size_t(1536) * 1024;
  /// Period in which a digest is sent to one random peer.
  Duration mDigestPeriod = std::chrono::seconds(4);
  /// A pull may be repeated if its reply is missing after this time.
  Duration mPullTimeout = std::chrono::seconds(2);
  /// Longest backoff between full pulls that change nothing. VMs of two software versions
  /// may validate documents differently, so that their digests differ permanently.
  Duration mFullPullBackoffMax = std::chrono::minutes(30);
  /// Number of local peers to which a digest request is sent at a time during the start.
  std::size_t mStartPeerCount = 3;
  /// After this time, the platform's list completes the start even if peers have not
  /// replied.
  Duration mStartPeerWait = std::chrono::seconds(2);
  /// The start completes after this time at the latest.
  Duration mStartWait = std::chrono::seconds(10);
};

/// @brief Numbers of events of one ConfigSync since its construction.
struct ConfigSyncCounters
{
  std::uint64_t mPlatformCalls = 0;
  /// Calls that failed, timed out or got a stale or unusable reply.
  std::uint64_t mPlatformErrors = 0;
  /// Replies with a revision below the own revision at the time of the call.
  std::uint64_t mStaleReplies = 0;
  /// Deltas pushed to peers.
  std::uint64_t mPushes = 0;
  /// Digest requests sent.
  std::uint64_t mDigests = 0;
  /// Pulls sent.
  std::uint64_t mPulls = 0;
  /// Full pulls that changed nothing although the digests differed.
  std::uint64_t mIneffectiveFullPulls = 0;
};

/// @brief State machine that decides about platform calls and catalogue messages between
/// VMs. It does no I/O and reads no clock: events carry the time, and the caller executes
/// the returned actions in order. Not thread-safe; call it on one strand. Call Tick()
/// about every 100 ms. A pause of the process needs no event, as the clock of all time
/// points continues during a pause.
class ConfigSync
{
public:
  /// @brief @p aCatalogue must outlive this object.
  ConfigSync(VmId aSelf, Catalogue& aCatalogue, RandomFn aRandom,
             ConfigSyncOptions aOptions = {});

  /// @brief Starts the synchronization. @p aPeers must contain the VMs of the platform's
  /// list.
  ConfigActions Start(ConfigPeers aPeers, TimePoint aNow);
  /// @brief Replaces the peers.
  ConfigActions OnPeers(ConfigPeers aPeers, TimePoint aNow);
  /// @brief Starts due calls and digests and handles timeouts.
  ConfigActions Tick(TimePoint aNow);
  /// @brief Handles a reply to a platform call; @p aDelta is made by PlatformList() or
  /// PlatformChanges(). A late reply to an earlier call is also applied.
  ConfigActions OnPlatformReply(PlatformCallId aCall, const CatalogueDelta& aDelta,
                                TimePoint aNow);
  /// @brief Handles a failed platform call or a malformed reply.
  ConfigActions OnPlatformError(PlatformCallId aCall, TimePoint aNow);
  /// @brief Handles a message of a peer. Does nothing before Start().
  ConfigActions OnMessage(const VmId& aFrom, const ConfigMessage& aMessage,
                          TimePoint aNow);

  /// @brief The source, revision and duration of the completed start; empty before.
  const std::optional<StartComplete>& StartResult() const { return mStartResult; }
  /// @brief Age of the last confirmed contact of any VM of the data centre with the
  /// platform; empty if no contact is known. Never lower than the true age, even if a
  /// message or this process was delayed.
  std::optional<Duration> PlatformAge(TimePoint aNow) const;
  /// @brief Whether the last confirmed contact is at most @p aLimit old, so that requests
  /// of scheduled profiles may run.
  bool IsFresh(TimePoint aNow, Duration aLimit) const;
  /// @brief Whether this VM calls the platform.
  bool IsWatcher() const { return mWatching; }
  /// @brief Numbers of events since the construction.
  const ConfigSyncCounters& Counters() const { return mCounters; }

private:
  /// A call to the platform whose reply has not arrived.
  struct PlatformCall
  {
    PlatformCallId mId;
    TimePoint mSentAt{};
    /// The call fails if its reply has not arrived by then.
    TimePoint mExpiresAt{};
    /// The own revision when the call was sent; a reply with a lower revision is stale.
    Revision mOwnRevision;
  };
  /// A digest request whose reply has not arrived.
  struct PendingDigest
  {
    VmId mPeer;
    TimePoint mSentAt{};
  };
  /// A pull whose reply has not arrived.
  struct Pull
  {
    std::uint64_t mNonce = 0;
    TimePoint mSentAt{};
    /// Requested all profiles, as the digests differed at the same revision.
    bool mFull = false;
  };

  /// How changes are sent to peers.
  enum class Propagation
  {
    /// Push a delta.
    Delta,
    /// Announce by a digest. Used if this VM received the changes by a pull, as most
    /// peers then already have them.
    Digest,
  };

  /// Whether @p aVm is another VM of the own data centre.
  bool IsLocal(const VmId& aVm) const;
  /// Whether this VM has no peer in its data centre.
  bool IsAlone() const { return mLocalPeers.empty(); }
  Duration CallInterval() const;
  /// A random duration around @p aDuration.
  Duration Jittered(Duration aDuration);
  /// A random duration from 0 to @p aLimit.
  Duration RandomUpTo(Duration aLimit);
  bool IsPullPending(TimePoint aNow) const;
  /// At most @p aCount random local peers.
  std::vector<VmId> RandomPeers(std::size_t aCount);

  /// Starts or stops watching, handles an expired call and starts a due one.
  void UpdateWatch(TimePoint aNow, ConfigActions& aActions);
  /// Whether this VM is a watcher by rank or has taken over as a reserve watcher.
  bool ShouldWatch(TimePoint aNow);
  void CallPlatform(TimePoint aNow, ConfigActions& aActions);
  /// Schedules the next call after @p aDelay or the own call interval if that is longer.
  void ScheduleCall(TimePoint aNow, Duration aDelay);
  void CallSucceeded(const CatalogueDelta& aDelta, Revision aBefore, TimePoint aNow);
  void CallFailed(TimePoint aNow);
  /// Records a contact of the data centre with the platform at @p aAt or later.
  void ConfirmContact(TimePoint aAt);

  /// Sends a digest request.
  void SendDigest(const VmId& aTo, TimePoint aNow, ConfigActions& aActions);
  CatalogueDigestMessage OwnDigest(TimePoint aNow) const;
  /// Sends the periodic digest request to one random peer.
  void SendRoutineDigest(TimePoint aNow, ConfigActions& aActions);
  void OnDigest(const VmId& aFrom, const CatalogueDigestMessage& aMessage, TimePoint aNow,
                ConfigActions& aActions);
  void OnPull(const VmId& aFrom, const CataloguePullMessage& aMessage, TimePoint aNow,
              ConfigActions& aActions);
  void OnDelta(const VmId& aFrom, const CatalogueDeltaMessage& aMessage, TimePoint aNow,
               ConfigActions& aActions);
  /// Pulls from @p aPeer if its catalogue is newer or differs at the same revision.
  void CompareDigests(const VmId& aPeer, const CatalogueDigest& aPeerDigest,
                      TimePoint aNow, ConfigActions& aActions);
  void SendPull(const VmId& aTo, Revision aSince, TimePoint aNow,
                ConfigActions& aActions);
  /// Applies a delta received from @p aFrom (this VM for a platform reply) and sends new
  /// changes to peers.
  ApplyStatus ApplyAndPush(const CatalogueDelta& aDelta, const VmId& aFrom,
                           Propagation aPropagation, TimePoint aNow,
                           ConfigActions& aActions);
  /// Sends the changes after @p aSince to @p aPeers.
  void PushTo(const std::vector<VmId>& aPeers, Revision aSince, Propagation aPropagation,
              TimePoint aNow, ConfigActions& aActions);

  /// Sends digest requests to random peers and to a remote bridge during the start.
  void RequestStartDigests(TimePoint aNow, ConfigActions& aActions);
  /// Completes the start if one of its conditions holds.
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
  /// Position of this VM in mRankedWatchers; the size of mRankedWatchers if absent.
  std::size_t mRank = 0;

  /// This VM calls the platform.
  bool mWatching = false;
  /// This VM is a reserve watcher and has taken over. Reset when a VM of better rank
  /// reports that it has contact with the platform.
  bool mTakenOver = false;
  /// The last call to the platform succeeded.
  bool mInContact = false;
  /// Id of the last call to the platform.
  std::uint64_t mLastCall = 0;
  std::optional<PlatformCall> mCall;
  TimePoint mNextCallAt{};
  /// When a full list was last read, or when this VM started to watch with a catalogue
  /// from its peers; empty if the next call must read the full list.
  std::optional<TimePoint> mLastFullRead;
  /// Delay after the next failed call.
  Duration mBackoff{};
  /// Last known contact of the data centre with the platform. A contact counts from the
  /// time at which the request was sent, as the reply was made after that time.
  std::optional<TimePoint> mLastContactAt;

  std::uint64_t mLastNonce = 0;
  /// Digest requests whose reply has not arrived, by nonce.
  std::map<std::uint64_t, PendingDigest> mPendingDigests;
  TimePoint mNextDigestAt{};
  /// Toggled with each periodic digest to alternate between two kinds of receivers.
  bool mAlternate = false;
  /// The last pull; empty after its reply has arrived.
  std::optional<Pull> mPull;
  TimePoint mNextFullPullAt{};
  Duration mFullPullBackoff{};
  DeltaAssembler mAssembler;

  std::optional<StartComplete> mStartResult;
  /// Start() was called.
  bool mIsStartCalled = false;
  TimePoint mStartedAt{};
  TimePoint mNextStartRequestAt{};
  /// Peers that have not replied to the last digest requests of the start.
  std::set<VmId> mUnansweredPeers;
  /// Highest revision among the peers that replied and have completed their start; empty
  /// if there is none.
  std::optional<Revision> mPeerRevision;
  /// A full list of the platform was applied.
  bool mPlatformListed = false;
  ConfigSyncCounters mCounters;
};

} // namespace wasabispar
