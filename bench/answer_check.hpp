/// @file
/// @brief Checks that an answer of the query tier is true, by the ids of its hits.
#pragma once

#include "wasabispar/net/http_types.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace wasabispar::bench {

/// @brief The shards of each index version that exists or existed.
using ShardMaps = std::map<std::uint64_t, std::set<std::string>>;

/// @brief What the request asked for.
struct ExpectedAnswer
{
  std::string mProfile;
  std::string mText;
  /// Most hits that the tier returns. A stand-in's shard yields one hit for a query.
  std::size_t mHitLimit = 0;
};

/// @brief The verdict on one response.
struct AnswerVerdict
{
  /// Why the response is untrue; empty when it is true.
  std::string mFault;
  /// For an answer: its coverage in permille.
  std::uint32_t mCoverage = 0;
  /// For an answer: the shards of its version.
  std::uint64_t mShards = 0;
  /// For a refusal: its outcome.
  std::string mOutcome;
  bool mAnswered = false;
};

/// @brief Checks one response: one version; hits of this query; coverage in header,
/// body and hits the same; missing shards named and without a hit; a refusal with its
/// outcome.
AnswerVerdict
CheckAnswer(const HttpResponse& aResponse, const ExpectedAnswer& aExpected,
            const ShardMaps& aMaps);

} // namespace wasabispar::bench
