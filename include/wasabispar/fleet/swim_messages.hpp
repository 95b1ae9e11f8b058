/// @file
/// @brief Messages of the membership protocol as plain values. The codec of the net
/// layer turns them into bytes.
#pragma once

#include "wasabispar/fleet/gossip_entry.hpp"
#include "wasabispar/fleet/member.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief What the sender knows about one VM.
struct MemberUpdate
{
  VmIdentity mIdentity;
  MemberState mState = MemberState::Alive;
  std::uint64_t mStateVersion = 0;

  bool operator==(const MemberUpdate&) const = default;
};

/// @brief Hash over the members of a data centre that the sender takes as not dead.
struct DataCentreDigest
{
  DataCentreId mDataCentre;
  std::uint64_t mDigest = 0;

  bool operator==(const DataCentreDigest&) const = default;
};

/// @brief How long ago a VM of the sender's data centre had an answer from another one.
struct ContactAge
{
  DataCentreId mDataCentre;
  std::uint32_t mAgeMs = 0;

  bool operator==(const ContactAge&) const = default;
};

/// @brief A probe. The receiver answers with an AckMessage of the same sequence.
struct PingMessage
{
  std::uint64_t mSequence = 0;
  /// The sender itself.
  MemberUpdate mSelf;
  std::vector<MemberUpdate> mUpdates;
  std::vector<ContactAge> mContacts;
  /// Asks for all members of each data centre whose digest is absent from or differs
  /// from mDigests, and for all facts if the receiver's fact digest differs.
  bool mComparesViews = false;
  std::vector<DataCentreDigest> mDigests;
  std::uint64_t mGossipDigest = 0;
  std::vector<GossipEntry> mGossip;

  bool operator==(const PingMessage&) const = default;
};

/// @brief The answer to a PingMessage or, after a PingRequestMessage, its relay.
struct AckMessage
{
  std::uint64_t mSequence = 0;
  /// The VM that answered the probe; on a relayed answer not the sender.
  MemberUpdate mSubject;
  std::vector<MemberUpdate> mUpdates;
  std::vector<GossipEntry> mGossip;

  bool operator==(const AckMessage&) const = default;
};

/// @brief Asks the receiver to probe another VM for the sender.
struct PingRequestMessage
{
  std::uint64_t mSequence = 0;
  MemberUpdate mSelf;
  MemberUpdate mTarget;
  std::vector<MemberUpdate> mUpdates;

  bool operator==(const PingRequestMessage&) const = default;
};

using SwimMessage = std::variant<PingMessage, AckMessage, PingRequestMessage>;

} // namespace wasabispar
