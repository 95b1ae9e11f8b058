/// @file
/// @brief Messages of the SWIM membership protocol as plain structs. The codec of the net
/// layer serializes them.
#pragma once

#include "wasabispar/fleet/gossip_entry.hpp"
#include "wasabispar/fleet/member.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief State of one VM as recorded by the sender of the update.
struct MemberUpdate
{
  VmIdentity mIdentity;
  MemberState mState = MemberState::Alive;
  std::uint64_t mStateVersion = 0;

  bool operator==(const MemberUpdate&) const = default;
};

/// @brief Hash over the members of one data centre that are neither dead nor unconfirmed
/// in the sender's view.
struct DataCentreDigest
{
  DataCentreId mDataCentre;
  std::uint64_t mDigest = 0;

  bool operator==(const DataCentreDigest&) const = default;
};

/// @brief Time since a VM of the sender's data centre received a reply from the data
/// centre mDataCentre.
struct ContactAge
{
  DataCentreId mDataCentre;
  std::uint32_t mAgeMs = 0;

  bool operator==(const ContactAge&) const = default;
};

/// @brief A probe. The receiver replies with an AckMessage that has the same mSequence.
struct PingMessage
{
  std::uint64_t mSequence = 0;
  /// State of the sender.
  MemberUpdate mSelf;
  /// Piggybacked states of other VMs.
  std::vector<MemberUpdate> mUpdates;
  /// Recent contacts with other data centres; only on some probes.
  std::vector<ContactAge> mContacts;
  /// Requests all members of each data centre for which mDigests lacks the receiver's
  /// digest or has a different one, and all gossip entries if the receiver's gossip
  /// digest differs from mGossipDigest.
  bool mComparesViews = false;
  /// Digests of the sender's view; empty unless mComparesViews.
  std::vector<DataCentreDigest> mDigests;
  /// GossipStore::Digest() of the sender; 0 unless mComparesViews.
  std::uint64_t mGossipDigest = 0;
  /// Piggybacked gossip entries.
  std::vector<GossipEntry> mGossip;

  bool operator==(const PingMessage&) const = default;
};

/// @brief The reply to a PingMessage, or the relayed reply to a PingRequestMessage.
struct AckMessage
{
  std::uint64_t mSequence = 0;
  /// State of the VM that replied to the probe. On a relayed ack this is not the sender.
  MemberUpdate mSubject;
  /// Piggybacked states of other VMs, and the members that the probe requested.
  std::vector<MemberUpdate> mUpdates;
  /// Piggybacked or requested gossip entries.
  std::vector<GossipEntry> mGossip;

  bool operator==(const AckMessage&) const = default;
};

/// @brief Requests that the receiver probes mTarget on behalf of the sender and relays
/// the ack.
struct PingRequestMessage
{
  /// Sequence of the sender's probe; repeated in the relayed ack.
  std::uint64_t mSequence = 0;
  /// State of the sender.
  MemberUpdate mSelf;
  /// The VM to probe.
  MemberUpdate mTarget;
  /// Piggybacked states of other VMs.
  std::vector<MemberUpdate> mUpdates;

  bool operator==(const PingRequestMessage&) const = default;
};

using SwimMessage = std::variant<PingMessage, AckMessage, PingRequestMessage>;

} // namespace wasabispar
