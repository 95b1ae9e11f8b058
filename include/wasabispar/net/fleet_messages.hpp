/// @file
/// @brief Messages between VMs as plain values. `Message` in the names keeps them apart
/// from the types of the layers that the app converts them to.
#pragma once

#include "wasabispar/base/error.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/fleet/fact_store.hpp"
#include "wasabispar/fleet/swim_messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief Changed catalogue items between two revisions.
struct CatalogueDeltaMessage
{
  struct Item
  {
    ProfileName mName;
    Revision mRevision;
    bool mIsDeleted = false;
    /// The profile document as JSON; empty for a deleted one.
    std::string mDocument;

    bool operator==(const Item&) const = default;
  };

  Revision mFrom;
  Revision mTo;
  std::vector<Item> mItems;
  /// Age of the last contact with the platform that the sender knows of, milliseconds.
  std::uint64_t mPlatformAgeMs = 0;

  bool operator==(const CatalogueDeltaMessage&) const = default;
};

/// @brief What catalogue the sender holds.
struct CatalogueDigestMessage
{
  Revision mRevision;
  std::uint64_t mDigest = 0;
  std::uint64_t mPlatformAgeMs = 0;

  bool operator==(const CatalogueDigestMessage&) const = default;
};

/// @brief Asks for all items after a revision.
struct CataloguePullMessage
{
  Revision mSince;

  bool operator==(const CataloguePullMessage&) const = default;
};

/// @brief Sub-requests that an owner of connections runs for the sender.
struct ForwardSearchMessage
{
  struct Sub
  {
    /// Unique at the sender; the reply repeats it.
    std::uint64_t mSubId = 0;
    IndexName mIndex;
    SnapshotVersion mVersion;
    ShardId mShard;
    UpstreamId mUpstream;
    CallerId mCaller;
    ProfileName mProfile;
    /// The query as JSON.
    std::string mQuery;
    /// Remaining time at the sender, milliseconds.
    std::uint32_t mDeadlineMs = 0;

    bool operator==(const Sub&) const = default;
  };

  std::vector<Sub> mSubs;

  bool operator==(const ForwardSearchMessage&) const = default;
};

/// @brief Replies to forwarded sub-requests.
struct ForwardSearchReplyMessage
{
  struct Sub
  {
    std::uint64_t mSubId = 0;
    /// HTTP status of the upstream; 0 when it did not answer.
    std::uint32_t mStatus = 0;
    SnapshotVersion mVersion;
    ShardId mShard;
    std::string mBody;
    /// Why there is no answer; empty otherwise.
    std::string mCause;
    /// The upstream said that it is leaving.
    bool mIsDraining = false;

    bool operator==(const Sub&) const = default;
  };

  std::vector<Sub> mSubs;

  bool operator==(const ForwardSearchReplyMessage&) const = default;
};

/// @brief Sub-requests whose replies are no longer wanted.
struct ForwardCancelMessage
{
  std::vector<std::uint64_t> mSubIds;

  bool operator==(const ForwardCancelMessage&) const = default;
};

/// @brief An execution whose ticket the receiver issued.
struct ForwardExecutionMessage
{
  std::string mTicket;
  CallerId mCaller;
  ProfileName mProfile;
  std::string mBody;
  std::uint32_t mDeadlineMs = 0;

  bool operator==(const ForwardExecutionMessage&) const = default;
};

/// @brief The end of a forwarded execution.
struct ForwardExecutionReplyMessage
{
  Outcome mOutcome = Outcome::OutcomeUnknown;
  /// HTTP status for the caller.
  std::uint32_t mStatus = 0;
  std::string mBody;
  /// Name of the step as ToText(Step) writes it; empty without an error.
  std::string mErrorStep;
  std::string mErrorPeer;
  std::string mErrorCause;

  bool operator==(const ForwardExecutionReplyMessage&) const = default;
};

using FleetMessage =
  std::variant<PingMessage, AckMessage, PingRequestMessage, FactPushMessage,
               CatalogueDeltaMessage, CatalogueDigestMessage, CataloguePullMessage,
               ForwardSearchMessage, ForwardSearchReplyMessage, ForwardCancelMessage,
               ForwardExecutionMessage, ForwardExecutionReplyMessage>;

/// @brief A message with its sender.
struct FleetEnvelope
{
  VmId mSender;
  Incarnation mIncarnation;
  DataCentreId mDataCentre;
  /// Joins a reply with its request; 0 when there is none.
  std::uint64_t mCorrelation = 0;
  FleetMessage mMessage;

  bool operator==(const FleetEnvelope&) const = default;
};

} // namespace wasabispar
