/// @file
/// @brief Encodes requests to upstreams and decodes their responses (JSON over HTTP).
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/net/http_client.hpp"
#include "wasabispar/query/merge.hpp"
#include "wasabispar/upstream/exchange_status.hpp"
#include "wasabispar/upstream/upstream_table.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief A search of one shard.
struct SearchRequest
{
  /// Unique for each sub-request; repeated in the reply.
  std::string mRequestId;
  IndexName mIndex;
  SnapshotVersion mVersion;
  ShardId mShard;
  CallerId mCaller;
  /// The caller's query as JSON text.
  std::string mQuery;
  /// Remaining time.
  Duration mDeadline{};
};

/// @brief The result of a search of one shard. The version, the shard and the hits are
/// taken from the reply and set only if mStatus is Ok.
struct SearchReply
{
  ExchangeStatus mStatus = ExchangeStatus::ConnectFailed;
  SnapshotVersion mVersion;
  ShardId mShard;
  std::vector<Hit> mHits;
  /// The response announced that the upstream is draining.
  bool mDraining = false;
  /// Human-readable cause if mStatus is not Ok.
  std::string mCause;
};

/// @brief A non-idempotent request.
struct ExecuteRequest
{
  std::string mRequestId;
  CallerId mCaller;
  /// The caller's body as JSON text.
  std::string mBody;
  /// Remaining time.
  Duration mDeadline{};
  /// Wall-clock time after which the upstream rejects the request, in milliseconds since
  /// the Unix epoch.
  std::uint64_t mNotAfterUnixMs = 0;
};

/// @brief Creates a `POST /search` request.
HttpRequest
EncodeSearch(const SearchRequest& aRequest);

/// @brief Decodes the result of a `POST /search` exchange. The status is ConnectionLost
/// if the reply is malformed or its request id is not @p aRequestId.
SearchReply
DecodeSearch(const HttpExchangeResult& aResult, std::string_view aRequestId);

/// @brief Creates a `POST /execute` request.
HttpRequest
EncodeExecute(const ExecuteRequest& aRequest);

/// @brief Creates a `POST /cancel` request for the request @p aRequestId.
HttpRequest
EncodeCancel(std::string_view aRequestId);

/// @brief Parses the body of a `GET /state` response. Fails with Step::UpstreamReply.
Result<UpstreamReport>
ParseUpstreamReport(std::string_view aBody, const std::string& aPeer);

/// @brief Converts the end of an exchange to a status. @p aHttpStatus is used only if
/// @p aEnd is Response.
ExchangeStatus
ToExchangeStatus(HttpExchangeEnd aEnd, unsigned aHttpStatus);

} // namespace wasabispar
