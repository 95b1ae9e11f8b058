/// @file
/// @brief Interfaces between the gateway and the protocols of callers and upstreams. An
/// adapter implements the functions, so that the gateway does not depend on the headers
/// of these protocols.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/net/http_types.hpp"
#include "wasabispar/routing/reported_load.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief The request id that the caller sets; each attempt has its own.
using CallerRequestId = StrongString<struct CallerRequestIdTag>;
/// @brief An upstream's signature of its answer; forwarded without a check.
using AnswerSignature = StrongString<struct AnswerSignatureTag>;

/// @brief A decoded request of a caller.
struct CallerRequest
{
  CallerRequestId mId;
  /// Time that the caller waits for an answer; empty when the request states none.
  std::optional<Duration> mCallerTimeout;
  /// The requested host, which selects the route.
  std::string mHost;
  /// Method, target, body and the headers to forward.
  HttpRequest mHttpRequest;
};

/// @brief A decoded response of an upstream.
struct UpstreamReply
{
  enum class Kind : std::uint8_t
  {
    /// A complete answer to this request.
    Answer,
    /// The request ran and failed, or the upstream refuses the request permanently.
    Failure,
    /// The upstream did not run the request.
    NotRun,
    /// Another upstream has the address now; the request did not run.
    WrongUpstream,
    /// The response does not belong to this request.
    Invalid,
  };
  Kind mKind = Kind::Invalid;
  AnswerSignature mSignature;
  /// The upstream announced that it leaves. False unless the response belongs to this
  /// request and comes from the expected upstream.
  bool mIsLeaving = false;
  /// Time for which the upstream, which was too busy for this request, wants no further
  /// ones from this VM; empty if it states none. Valid as mIsLeaving.
  std::optional<Duration> mQuietTime;
  /// The value that was stated instead of a valid mQuietTime; empty if there was none.
  std::string mInvalidQuietTime;
  /// Requests a second that the upstream takes from all VMs together; empty if it states
  /// no limit. Valid as mIsLeaving.
  std::optional<double> mRequestLimit;
  /// The value that was stated instead of a valid mRequestLimit; empty if there was none.
  std::string mInvalidRequestLimit;
  /// How much longer the upstream states that it stays cold; empty if it states nothing.
  /// Valid as mIsLeaving.
  std::optional<Duration> mWarmupLeft{};
  /// The value that was stated instead of a valid mWarmupLeft; empty if there was none.
  std::string mInvalidWarmup{};
  /// The load of the upstream; empty if it states none. Valid as mIsLeaving.
  std::optional<LoadReport> mLoad;
  /// The value that was stated instead of a valid mLoad; empty if there was none.
  std::string mInvalidLoad;
  /// The response to forward, without hop-by-hop headers.
  HttpResponse mResponse;
};

/// @brief The merged answer of a fan-out.
struct MergedAnswer
{
  /// The signatures of the merged parts.
  std::vector<AnswerSignature> mParts;
  /// Number of parts without an answer.
  std::size_t mMissingCount = 0;
  /// The merged records; see MergeGreatestRecords().
  std::string mRecords;
};

/// @brief Why a request ends without an upstream's answer.
enum class RefusalReason : std::uint8_t
{
  /// No route matches; a retry can't succeed.
  NoRoute,
  /// The request is malformed; a retry can't succeed.
  BadRequest,
  /// The gateway has no configuration yet; the request did not run.
  NotConfigured,
  /// No upstream can run the request in time; the request did not run.
  Unavailable,
  /// No upstream in the regions in which the request may be served can run it; the
  /// request did not run.
  NoPermittedUpstream,
  /// This VM's link or processor would make the answer late; the request did not run.
  Busy,
  /// Too many upstreams crashed while they ran the request; it was not sent again.
  Quarantined,
  /// The answer was lost; the request may have run.
  Lost,
  /// The deadline has passed; the request may have run.
  Timeout,
};

/// @brief The name of a reason: `no-route`, `bad-request`, `not-configured`,
/// `unavailable`, `no-permitted-upstream`, `busy`, `quarantined`, `lost`, `timeout`.
std::string_view
ToText(RefusalReason aReason);

/// @brief A refusal to encode for the caller.
struct Refusal
{
  RefusalReason mReason = RefusalReason::Unavailable;
  /// Time after which the caller should retry; empty when there is no useful value.
  std::optional<Duration> mRetryAfter;
};

/// @brief The protocol between callers and the gateway.
struct CallerProtocol
{
  /// Decodes a request; empty when it is malformed.
  std::function<std::optional<CallerRequest>(HttpRequest)> mDecode;
  /// Encodes the answer of a fan-out.
  std::function<HttpResponse(const MergedAnswer&)> mEncodeMerged;
  /// Encodes a refusal.
  std::function<HttpResponse(const Refusal&)> mEncodeRefusal;
};

/// @brief The protocol between the gateway and upstreams.
struct UpstreamProtocol
{
  /// Encodes the request for one upstream, which must answer within @p aTimeLeft.
  std::function<HttpRequest(const CallerRequest&, const UpstreamId&, Duration aTimeLeft)>
    mEncode;
  /// Decodes the response to a request.
  std::function<UpstreamReply(const CallerRequest&, HttpResponse)> mDecode;
  /// Whether the connection of a response may be used for another exchange.
  std::function<bool(const CallerRequest&, const HttpResponse&)> mMayReuse;
};

} // namespace wasabispar
