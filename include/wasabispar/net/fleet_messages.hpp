/// @file
/// @brief Messages between VMs as plain values.
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

/// @brief Asks a VM that reads the platform's list for the newest one.
struct InventoryPullMessage
{
  /// Hash of the list that the sender holds; 0 for none.
  std::uint64_t mCurrentHash = 0;

  bool operator==(const InventoryPullMessage&) const = default;
};

/// @brief The platform's list as its JSON body.
struct InventoryReplyMessage
{
  std::uint64_t mHash = 0;
  /// Time since the platform returned it, milliseconds.
  std::uint32_t mAgeMs = 0;
  /// Empty when the receiver already holds the list with this hash.
  std::string mBody;

  bool operator==(const InventoryReplyMessage&) const = default;
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
    /// The id that the upstream repeats in its reply.
    std::string mRequestId;
    /// Asks for the newest state report of the upstream instead of a search.
    bool mRequestsState = false;
    RequestFingerprint mFingerprint;
    /// The request is suspected of crashing upstreams and runs alone.
    bool mIsIsolated = false;

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
    HttpExchangeEnd mEnd = HttpExchangeEnd::ConnectFailed;
    /// HTTP status of the upstream for Response.
    std::uint32_t mStatus = 0;
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
  /// False when the receiver does not hold the ticket's incarnation; the answer then
  /// says nothing.
  bool mIsIssuer = false;
  ExecutionAnswer mAnswer;

  bool operator==(const ForwardExecutionReplyMessage&) const = default;
};

using FleetMessage =
  std::variant<PingMessage, AckMessage, PingRequestMessage, GossipPushMessage,
               CatalogueDeltaMessage, CatalogueDigestMessage, CataloguePullMessage,
               ForwardSearchMessage, ForwardSearchReplyMessage, ForwardCancelMessage,
               ForwardExecutionMessage, ForwardExecutionReplyMessage,
               InventoryPullMessage, InventoryReplyMessage>;

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
