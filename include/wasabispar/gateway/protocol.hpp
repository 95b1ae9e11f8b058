/// @file
/// @brief The seams between the gateway and what callers and upstreams speak. An adapter
/// fills in the functions; the gateway knows no header of theirs.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/net/http_types.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief The caller's own id of one request, unique for each of its attempts.
using CallerRequestId = StrongString<struct CallerRequestIdTag>;
/// @brief An upstream's proof that it gave an answer; passed on unread.
using AnswerSignature = StrongString<struct AnswerSignatureTag>;

/// @brief A decoded request.
struct CallerRequest
{
  CallerRequestId mId;
  /// How long the caller will wait; empty when it did not say.
  std::optional<Duration> mCallerTimeout;
  std::string mHost;
  /// Method, target, body and the headers that are passed on.
  HttpRequest mHttpRequest;
};

/// @brief What an upstream's response means.
struct UpstreamReply
{
  enum class Kind : std::uint8_t
  {
    /// A whole answer to this request.
    Answer,
    /// The request ran and failed, or the upstream refuses it for good.
    Failure,
    /// The upstream did not run the request.
    NotRun,
    /// Another upstream has the address; the request did not run.
    WrongUpstream,
    /// Not an answer to this request.
    Invalid,
  };
  Kind mKind = Kind::Invalid;
  AnswerSignature mSignature;
  /// The response as it is passed on; its headers hold no hop-by-hop field.
  HttpResponse mResponse;
};

/// @brief The merged answer of a fan-out.
struct MergedAnswer
{
  std::vector<AnswerSignature> mParts;
  std::size_t mMissingCount = 0;
  std::string mRecords;
};

/// @brief Why a request ends without an upstream's answer.
enum class RefusalReason : std::uint8_t
{
  /// No route; final.
  NoRoute,
  /// The request is malformed; final.
  BadRequest,
  /// No configuration is known yet; not run.
  NotConfigured,
  /// No upstream can run it now, or not in time; not run.
  Unavailable,
  /// It may have run, and no answer came.
  Lost,
  /// The time is over; it may have run.
  Timeout,
};

/// @brief `no-route`, `bad-request`, `not-configured`, `unavailable`, `lost`, `timeout`.
std::string_view
ToText(RefusalReason aReason);

/// @brief A refusal as shown to the caller.
struct Refusal
{
  RefusalReason mReason = RefusalReason::Unavailable;
  /// When the caller should come back; empty when there is no point in saying.
  std::optional<Duration> mRetryAfter;
};

/// @brief What callers speak.
struct CallerProtocol
{
  /// Empty when the request is malformed.
  std::function<std::optional<CallerRequest>(HttpRequest)> mDecode;
  std::function<HttpResponse(const MergedAnswer&)> mEncodeMerged;
  std::function<HttpResponse(const Refusal&)> mEncodeRefusal;
};

/// @brief What upstreams speak.
struct UpstreamProtocol
{
  /// The request for one upstream, which has @p aTimeLeft to run it.
  std::function<HttpRequest(const CallerRequest&, const UpstreamId&, Duration aTimeLeft)>
    mEncode;
  std::function<UpstreamReply(const CallerRequest&, HttpResponse)> mDecode;
  /// Whether the connection of a response may carry another exchange.
  std::function<bool(const CallerRequest&, const HttpResponse&)> mMayReuse;
};

} // namespace wasabispar
