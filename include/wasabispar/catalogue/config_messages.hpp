/// @file
/// @brief Messages between VMs about the catalogue, and the actions of ConfigSync.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/catalogue/catalogue.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace wasabispar {

/// @brief Digest of the sender's catalogue. A request is answered with a reply.
struct CatalogueDigestMessage
{
  /// Copied from the request into the reply.
  std::uint64_t mNonce = 0;
  bool mReply = false;
  /// The sender has learned a configuration, so its revision counts for others' start.
  bool mStarted = false;
  /// The sender calls the platform and its last call succeeded.
  bool mInContact = false;
  CatalogueDigest mDigest;
  /// Age of the last confirmed contact of the sender's data centre with the platform,
  /// at the time of sending; empty when there was none.
  std::optional<Duration> mPlatformAge;

  bool operator==(const CatalogueDigestMessage&) const = default;
};

/// @brief Asks for what changed after mSince.
struct CataloguePullMessage
{
  std::uint64_t mNonce = 0;
  Revision mSince;

  bool operator==(const CataloguePullMessage&) const = default;
};

/// @brief Answer to a pull, or a push.
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

/// @brief Read all profiles: `GET /v1/values?prefix=profiles/`. Cancel an earlier call
/// that is still pending.
struct PlatformRead
{
  PlatformCallId mCall;
};

/// @brief Wait for changes: `GET /v1/watch?prefix=profiles/&after=..&timeout_ms=..`.
/// Cancel an earlier call that is still pending.
struct PlatformWatch
{
  PlatformCallId mCall;
  Revision mAfter;
  Duration mTimeout{};
};

/// @brief Cancel the pending call, as this VM does not hold the watch any more.
struct PlatformCancel
{
  PlatformCallId mCall;
};

/// @brief Send a message to a VM; it may be lost.
struct SendConfigMessage
{
  VmId mTo;
  ConfigMessage mMessage;
};

/// @brief How the start of ConfigSync was completed.
enum class StartSource
{
  /// Caught up with the highest revision of the peers that answered.
  Peers,
  /// The platform's list, at least as new as any peer that answered.
  Platform,
  /// The wait ended before; the catalogue may be empty or old.
  WaitExpired,
};

/// @brief `peers`, `platform` or `wait-expired`.
std::string_view
ToText(StartSource aSource);

/// @brief The start is complete; emitted once.
struct StartComplete
{
  StartSource mSource = StartSource::WaitExpired;
  Revision mRevision;
  Duration mDuration{};
};

/// @brief Profiles changed or documents were rejected; for logs and scheduled jobs.
struct CatalogueChanged
{
  ApplyResult mResult;
};

using ConfigAction = std::variant<PlatformRead, PlatformWatch, PlatformCancel,
                                  SendConfigMessage, StartComplete, CatalogueChanged>;
using ConfigActions = std::vector<ConfigAction>;

/// @brief Size of @p aMessage on the wire in bytes, estimated from above, without the
/// envelope.
std::size_t
EncodedSize(const ConfigMessage& aMessage);

} // namespace wasabispar
