/// @file
/// @brief Messages by which VMs synchronize their catalogues, and the actions that
/// ConfigSync requests from its caller.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/catalogue/catalogue.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief Digest of the sender's catalogue. A request (mReply is false) is answered with
/// a reply.
struct CatalogueDigestMessage
{
  /// Copied from the request into the reply.
  std::uint64_t mNonce = 0;
  /// Whether the message replies to a request.
  bool mReply = false;
  /// The sender has received a configuration, so a starting VM must reach its revision.
  bool mStarted = false;
  /// The sender calls the platform and its last call succeeded.
  bool mInContact = false;
  CatalogueDigest mDigest;
  /// Age of the last confirmed contact of the sender's data centre with the platform when
  /// the message was sent; empty if there was none.
  std::optional<Duration> mPlatformAge;

  bool operator==(const CatalogueDigestMessage&) const = default;
};

/// @brief Requests the changes after mSince, or all profiles if mSince is 0.
struct CataloguePullMessage
{
  std::uint64_t mNonce = 0;
  Revision mSince;

  bool operator==(const CataloguePullMessage&) const = default;
};

/// @brief Reply to a pull, or an unrequested push of new changes.
struct CatalogueDeltaMessage
{
  /// Copied from the pull; 0 for a push.
  std::uint64_t mNonce = 0;
  CatalogueDelta mDelta;
  /// As in CatalogueDigestMessage.
  std::optional<Duration> mPlatformAge;

  bool operator==(const CatalogueDeltaMessage&) const = default;
};

using ConfigMessage =
  std::variant<CatalogueDigestMessage, CataloguePullMessage, CatalogueDeltaMessage>;

/// @brief Identifies a call to the platform.
using PlatformCallId = StrongNumber<struct PlatformCallIdTag>;

/// @brief Action: read all profiles with `GET /v1/values?prefix=profiles/`. An earlier
/// call that is still pending must be cancelled.
struct PlatformRead
{
  PlatformCallId mCall;
};

/// @brief Action: wait for changes with
/// `GET /v1/watch?prefix=profiles/&after=..&timeout_ms=..`. An earlier call that is still
/// pending must be cancelled.
struct PlatformWatch
{
  PlatformCallId mCall;
  Revision mAfter;
  /// Long-poll timeout, sent as `timeout_ms`.
  Duration mTimeout{};
};

/// @brief Action: cancel the pending call, as this VM no longer holds the watch.
struct PlatformCancel
{
  PlatformCallId mCall;
};

/// @brief Action: send a message to a VM. The message may be lost.
struct SendConfigMessage
{
  VmId mTo;
  ConfigMessage mMessage;
};

/// @brief From which source the start of ConfigSync was completed.
enum class StartSource
{
  /// The catalogue has reached the highest revision of the peers that replied.
  Peers,
  /// The platform's list was applied; no peer that replied has a newer revision.
  Platform,
  /// ConfigSyncOptions::mStartWait passed; the catalogue may be empty or outdated.
  WaitExpired,
};

/// @brief `peers`, `platform` or `wait-expired`.
std::string_view
ToText(StartSource aSource);

/// @brief Action: the start is complete. Returned once.
struct StartComplete
{
  StartSource mSource = StartSource::WaitExpired;
  /// The own revision at that time.
  Revision mRevision;
  /// Time since ConfigSync::Start().
  Duration mDuration{};
};

/// @brief Action: process changed profiles and rejected documents; for logs and scheduled
/// jobs.
struct CatalogueChanged
{
  ApplyResult mResult;
};

using ConfigAction = std::variant<PlatformRead, PlatformWatch, PlatformCancel,
                                  SendConfigMessage, StartComplete, CatalogueChanged>;
using ConfigActions = std::vector<ConfigAction>;

/// @brief Upper bound on the encoded size of @p aMessage in bytes, without the envelope.
std::size_t
EncodedSize(const ConfigMessage& aMessage);

} // namespace wasabispar
