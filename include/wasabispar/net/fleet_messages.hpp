/// @file
/// @brief The messages between VMs as plain structs, independent of the wire format.
#pragma once

#include "wasabispar/base/error.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/catalogue/config_messages.hpp"
#include "wasabispar/execution/end_condition.hpp"
#include "wasabispar/fleet/gossip_store.hpp"
#include "wasabispar/fleet/swim_messages.hpp"
#include "wasabispar/net/http_client.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief Requests the platform's newest list of VMs and upstreams from a VM that reads
/// the list from the platform.
struct InventoryPullMessage
{
  /// Hash of the sender's list; 0 if it has none.
  std::uint64_t mCurrentHash = 0;

  bool operator==(const InventoryPullMessage&) const = default;
};

/// @brief Reply to InventoryPullMessage.
struct InventoryReplyMessage
{
  std::uint64_t mHash = 0;
  /// Time since the platform returned the list, in milliseconds.
  std::uint32_t mAgeMs = 0;
  /// The list as JSON; empty if the receiver already has the list with this hash.
  std::string mBody;

  bool operator==(const InventoryReplyMessage&) const = default;
};

/// @brief Sub-requests to run on upstreams to which the receiver owns connections.
struct ForwardSearchMessage
{
  /// One sub-request.
  struct Sub
  {
    /// Id of the sub-request, unique at the sender and repeated in the reply.
    std::uint64_t mSubId = 0;
    IndexName mIndex;
    SnapshotVersion mVersion;
    ShardId mShard;
    UpstreamId mUpstream;
    CallerId mCaller;
    ProfileName mProfile;
    /// The query as JSON.
    std::string mQuery;
    /// Remaining time when the message was sent, in milliseconds.
    std::uint32_t mDeadlineMs = 0;
    /// Id that the upstream repeats in its reply.
    std::string mRequestId;
    /// Requests the newest state report of the upstream instead of a search.
    bool mRequestsState = false;
    RequestFingerprint mFingerprint;
    /// The request is suspected of crashing upstreams and must run alone.
    bool mIsIsolated = false;

    bool operator==(const Sub&) const = default;
  };

  std::vector<Sub> mSubs;

  bool operator==(const ForwardSearchMessage&) const = default;
};

/// @brief Replies to forwarded sub-requests.
struct ForwardSearchReplyMessage
{
  /// The reply to one sub-request.
  struct Sub
  {
    /// ForwardSearchMessage::Sub::mSubId of the sub-request.
    std::uint64_t mSubId = 0;
    /// How the exchange with the upstream ended.
    HttpExchangeEnd mEnd = HttpExchangeEnd::ConnectFailed;
    /// HTTP status of the upstream's response if mEnd is Response.
    std::uint32_t mStatus = 0;
    /// Body of the upstream's response, or the requested state report.
    std::string mBody;
    /// Why there is no response; empty if there is one.
    std::string mCause;
    /// The response announced that the upstream is draining.
    bool mIsDraining = false;

    bool operator==(const Sub&) const = default;
  };

  std::vector<Sub> mSubs;

  bool operator==(const ForwardSearchReplyMessage&) const = default;
};

/// @brief Cancels forwarded sub-requests whose replies are no longer needed.
struct ForwardCancelMessage
{
  /// Ids from ForwardSearchMessage::Sub::mSubId.
  std::vector<std::uint64_t> mSubIds;

  bool operator==(const ForwardCancelMessage&) const = default;
};

/// @brief Forwards an execution to the VM that issued its ticket.
struct ForwardExecutionMessage
{
  std::string mTicket;
  CallerId mCaller;
  ProfileName mProfile;
  std::string mBody;
  /// Remaining time when the message was sent, in milliseconds.
  std::uint32_t mDeadlineMs = 0;

  bool operator==(const ForwardExecutionMessage&) const = default;
};

/// @brief Reply to ForwardExecutionMessage.
struct ForwardExecutionReplyMessage
{
  /// Whether the replying VM runs in the incarnation that issued the ticket. If false,
  /// mAnswer has no meaning.
  bool mIsIssuer = false;
  ExecutionAnswer mAnswer;

  bool operator==(const ForwardExecutionReplyMessage&) const = default;
};

/// @brief Any message between VMs. MessageName() depends on the order of the types.
using FleetMessage =
  std::variant<PingMessage, AckMessage, PingRequestMessage, GossipPushMessage,
               CatalogueDeltaMessage, CatalogueDigestMessage, CataloguePullMessage,
               ForwardSearchMessage, ForwardSearchReplyMessage, ForwardCancelMessage,
               ForwardExecutionMessage, ForwardExecutionReplyMessage,
               InventoryPullMessage, InventoryReplyMessage>;

/// @brief A message with the identity of its sender.
struct FleetEnvelope
{
  VmId mSender;
  Incarnation mIncarnation;
  DataCentreId mDataCentre;
  /// Id that a reply copies from its request; 0 if there is none.
  std::uint64_t mCorrelation = 0;
  FleetMessage mMessage;

  bool operator==(const FleetEnvelope&) const = default;
};

} // namespace wasabispar
