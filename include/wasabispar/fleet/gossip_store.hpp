/// @file
/// @brief Dissemination of facts in one data centre. A state machine without sockets
/// and clock.
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

/// @brief Bounds of GossipStore.
struct GossipStoreOptions
{
  std::size_t mMaxEntries = 4096;
  /// Facts of one origin; a faulty VM can fill only its own part.
  std::size_t mMaxEntriesPerOrigin = 256;
  std::size_t mMaxKeyBytes = 128;
  std::size_t mMaxValueBytes = 512;
  Duration mMaxTtl = std::chrono::minutes(15);
  /// Facts of one sender that change the store, per second and in a burst.
  std::size_t mSenderRatePerSecond = 200;
  std::size_t mSenderBurst = 1024;
  /// Up to this many peers a new fact is pushed to all of them.
  std::size_t mMaxPeersForFullPush = 16;
  std::size_t mPushFanOut = 4;
  /// An expired fact is remembered for this time, so that a copy still under way does
  /// not revive it.
  Duration mExpiredRetention = std::chrono::seconds(60);
};

/// @brief A VM of the own data centre to which facts are sent.
struct GossipPeer
{
  VmId mVm;
  std::string mAddress;
};

/// @brief New facts for one VM.
struct GossipPushMessage
{
  std::vector<GossipEntry> mGossip;

  bool operator==(const GossipPushMessage&) const = default;
};

/// @brief A message to send.
struct OutgoingGossipPush
{
  VmId mTo;
  std::string mAddress;
  GossipPushMessage mMessage;
};

/// @brief What the owner of a GossipStore has to do after an event.
struct GossipActions
{
  std::vector<OutgoingGossipPush> mOutgoing;
  /// Facts that are new or have a new version.
  std::vector<GossipEntry> mChanged;
  /// Facts whose time to live is over.
  std::vector<GossipEntry> mExpired;
};

/// @brief Counters since the start.
struct GossipCounters
{
  std::uint64_t mAccepted = 0;
  std::uint64_t mNotNewer = 0;
  std::uint64_t mInvalidSize = 0;
  std::uint64_t mSenderLimited = 0;
  std::uint64_t mOriginLimited = 0;
  std::uint64_t mUnknownOrigin = 0;
  std::uint64_t mEvicted = 0;
};

/// @brief Keeps and spreads facts. Thread-safe. Times must not decrease.
class GossipStore
{
public:
  GossipStore(VmId aSelf, GossipStoreOptions aOptions, RandomFn aRandom);
  ~GossipStore();

  /// @brief The members of the own data centre without this VM. Facts of an origin that
  /// is neither a peer nor this VM are refused, as are those of such a sender.
  void SetPeers(std::vector<GossipPeer> aPeers);
  /// @brief Publishes an own fact; the version must be higher than the known one,
  /// otherwise nothing happens.
  GossipActions Publish(std::string aKey, std::uint64_t aVersion, std::string aValue,
                        Duration aTtl, TimePoint aNow);
  /// @brief Handles facts that @p aSender pushed or piggybacked.
  GossipActions OnGossip(const VmId& aSender, const std::vector<GossipEntry>& aEntries,
                         TimePoint aNow);
  /// @brief Drops what has expired. Call it about every second.
  GossipActions Tick(TimePoint aNow);

  /// @brief The valid fact of this key.
  std::optional<GossipEntry> Find(std::string_view aKey, TimePoint aNow) const;
  /// @brief The valid facts whose key starts with @p aPrefix, by key.
  std::vector<GossipEntry> FindByPrefix(std::string_view aPrefix, TimePoint aNow) const;
  /// @brief Recent facts to add to a probe, at most about @p aMaxBytes; each fact is
  /// returned a number of times that grows with the logarithm of the peers.
  std::vector<GossipEntry> Piggyback(std::size_t aMaxBytes, TimePoint aNow);
  /// @brief Hash over keys, versions and origins of the valid facts.
  std::uint64_t Digest(TimePoint aNow) const;
  std::size_t Size() const;
  GossipCounters Counters() const;

private:
  struct State;
  std::unique_ptr<State> mState;
};

/// @brief Adds facts to an outgoing membership message: recent ones to each probe and
/// answer, the digest to a probe that compares views.
void
AttachGossip(SwimMessage& aMessage, GossipStore& aEntries, TimePoint aNow);

/// @brief As above for answers to @p aRequest, which get all facts if its digest
/// differs.
void
AttachGossipToReply(SwimMessage& aMessage, const SwimMessage& aRequest,
                    GossipStore& aEntries, TimePoint aNow);

} // namespace wasabispar
