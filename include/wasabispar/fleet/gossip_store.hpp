/// @file
/// @brief Stores gossip entries and disseminates them in one data centre. A state
/// machine: it opens no socket and reads no clock.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/random.hpp"
#include "wasabispar/fleet/swim_messages.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief Limits and periods of GossipStore.
struct GossipStoreOptions
{
  /// Entries of all origins together.
  std::size_t mMaxEntries = 4096;
  /// Entries of one origin, so that a faulty VM cannot use up the space of the others.
  std::size_t mMaxEntriesPerOrigin = 256;
  /// Longest key of an accepted entry.
  std::size_t mMaxKeyBytes = 128;
  /// Longest value of an accepted entry.
  std::size_t mMaxValueBytes = 512;
  /// A longer time to live is shortened to this.
  Duration mMaxTtl = std::chrono::minutes(15);
  /// Token bucket for each sender: entries that change the store, per second and in a
  /// burst.
  std::size_t mSenderRatePerSecond = 200;
  std::size_t mSenderBurst = 1024;
  /// A new entry is pushed to all peers if there are at most this many of them.
  std::size_t mMaxPeersForFullPush = 16;
  /// With more peers, a new entry is pushed to this many random ones.
  std::size_t mPushFanOut = 4;
  /// An expired entry is kept for this time, so that a delayed copy of the entry cannot
  /// restore it.
  Duration mExpiredRetention = std::chrono::seconds(60);
};

/// @brief A VM of the own data centre that receives gossip entries.
struct GossipPeer
{
  VmId mVm;
  /// Fleet endpoint as `tcp://ip:port`.
  std::string mAddress;
};

/// @brief Pushes new or changed gossip entries to a peer.
struct GossipPushMessage
{
  std::vector<GossipEntry> mGossip;

  bool operator==(const GossipPushMessage&) const = default;
};

/// @brief A push and its receiver.
struct OutgoingGossipPush
{
  VmId mTo;
  /// Fleet endpoint of mTo as `tcp://ip:port`.
  std::string mAddress;
  GossipPushMessage mMessage;
};

/// @brief Messages to send and changes to process after a call of GossipStore.
struct GossipActions
{
  std::vector<OutgoingGossipPush> mOutgoing;
  /// Received entries that are new or replaced an older version. Those of this VM were
  /// published by an earlier process of it.
  std::vector<GossipEntry> mChanged;
  /// Entries whose time to live has ended.
  std::vector<GossipEntry> mExpired;
};

/// @brief Numbers of received and published entries since the start, by result.
struct GossipCounters
{
  /// Stored.
  std::uint64_t mAccepted = 0;
  /// Ignored, as the stored version is the same or newer.
  std::uint64_t mNotNewer = 0;
  /// Rejected: empty key, or key or value too long.
  std::uint64_t mInvalidSize = 0;
  /// Rejected by the rate limit of the sender.
  std::uint64_t mSenderLimited = 0;
  /// Rejected, as the origin has too many entries or the store is full.
  std::uint64_t mOriginLimited = 0;
  /// Rejected: the origin is no member of the data centre, or the sender is no peer.
  std::uint64_t mUnknownOrigin = 0;
  /// Evicted from the origin with the most entries to store an entry of another origin.
  std::uint64_t mEvicted = 0;
};

/// @brief Stores gossip entries and disseminates new ones by push and piggyback.
/// Thread-safe. The times passed to its functions must not decrease.
class GossipStore
{
public:
  /// @brief Makes the empty store of the VM @p aSelf.
  GossipStore(VmId aSelf, GossipStoreOptions aOptions, RandomFn aRandom);
  ~GossipStore();

  /// @brief Sets the peers: the members of the own data centre without this VM. Entries
  /// are rejected if their sender is not a peer, or if their origin is neither a peer,
  /// nor this VM, nor one of @p aDeadMembers, whose entries the peers still hold.
  void SetPeers(std::vector<GossipPeer> aPeers,
                const std::vector<VmId>& aDeadMembers = {});
  /// @brief Publishes an entry of this VM. Does nothing if the stored version of the key
  /// is the same or higher, @p aTtl is below 1 ms or a limit is exceeded.
  GossipActions Publish(std::string aKey, std::uint64_t aVersion, std::string aValue,
                        Duration aTtl, TimePoint aNow);
  /// @brief Handles entries that @p aSender pushed or piggybacked.
  GossipActions OnGossip(const VmId& aSender, const std::vector<GossipEntry>& aEntries,
                         TimePoint aNow);
  /// @brief Reports entries that have expired and removes them after mExpiredRetention.
  /// Call it about every second.
  GossipActions Tick(TimePoint aNow);

  /// @brief The entry with key @p aKey; empty if there is none or it has expired.
  std::optional<GossipEntry> Find(std::string_view aKey, TimePoint aNow) const;
  /// @brief The entries that have not expired and whose key starts with @p aPrefix,
  /// sorted by key.
  std::vector<GossipEntry> FindByPrefix(std::string_view aPrefix, TimePoint aNow) const;
  /// @brief Recently changed entries to add to a probe, encoded in at most about
  /// @p aMaxBytes. Each change is returned by several calls; their number grows with the
  /// logarithm of the number of peers.
  std::vector<GossipEntry> Piggyback(std::size_t aMaxBytes, TimePoint aNow);
  /// @brief Hash over the keys, versions and origins of the entries that have not
  /// expired.
  std::uint64_t Digest(TimePoint aNow) const;
  /// @brief Number of stored entries, expired ones included.
  std::size_t Size() const;
  /// @brief Numbers of entries by result since the start.
  GossipCounters Counters() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// @brief Adds gossip to an outgoing membership message: recently changed entries to
/// each ping and ack, and the digest of @p aStore to a ping that compares views.
void
AttachGossip(SwimMessage& aMessage, GossipStore& aStore, TimePoint aNow);

/// @brief As AttachGossip() for a message sent in reply to @p aRequest. Adds all entries
/// if @p aRequest compares views and its digest differs from that of @p aStore.
void
AttachGossipToReply(SwimMessage& aMessage, const SwimMessage& aRequest,
                    GossipStore& aStore, TimePoint aNow);

} // namespace wasabispar
