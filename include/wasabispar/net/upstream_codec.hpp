/// @file
/// @brief Messages to and from upstreams over HTTP and JSON.
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
  /// Unique for each sub-request; the upstream repeats it.
  std::string mRequestId;
  IndexName mIndex;
  SnapshotVersion mVersion;
  ShardId mShard;
  CallerId mCaller;
  /// The caller's query as JSON text.
  std::string mQuery;
  Duration mDeadline{};
};

/// @brief The end of a search of one shard.
struct SearchReply
{
  ExchangeStatus mStatus = ExchangeStatus::ConnectFailed;
  /// Set for Ok: what the reply itself says.
  SnapshotVersion mVersion;
  ShardId mShard;
  std::vector<Hit> mHits;
  /// The reply said that the upstream is leaving.
  bool mDraining = false;
  /// The cause in words when mStatus is not Ok.
  std::string mCause;
};

/// @brief A non-idempotent request.
struct ExecuteRequest
{
  std::string mRequestId;
  CallerId mCaller;
  /// The caller's body as JSON text.
  std::string mBody;
  Duration mDeadline{};
  /// The upstream refuses the request after this time on the wall clock.
  std::uint64_t mNotAfterUnixMs = 0;
};

/// @brief `POST /search`.
HttpRequest
EncodeSearch(const SearchRequest& aRequest);

/// @brief Maps the end of a `POST /search` exchange. A reply that names another request,
/// or that is malformed, has the status ConnectionLost.
SearchReply
DecodeSearch(const HttpExchangeResult& aResult, std::string_view aRequestId);

/// @brief `POST /execute`.
HttpRequest
EncodeExecute(const ExecuteRequest& aRequest);

/// @brief `POST /cancel` for the request @p aRequestId.
HttpRequest
EncodeCancel(std::string_view aRequestId);

/// @brief Parses the body of `GET /state`.
Result<UpstreamReport>
ParseUpstreamReport(std::string_view aBody, const std::string& aPeer);

/// @brief The status of an exchange that ended as @p aEnd, with HTTP status
/// @p aHttpStatus for Response.
ExchangeStatus
ToExchangeStatus(HttpExchangeEnd aEnd, unsigned aHttpStatus);

} // namespace wasabispar
