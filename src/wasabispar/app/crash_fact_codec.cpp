/// @file
/// @brief Crash findings as JSON.
#include "wasabispar/app/crash_fact_codec.hpp"

#include "wasabispar/net/json_reader.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>

namespace wasabispar {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNames = 16;

template<class Id>
json::array
NamesOf(const std::set<Id>& aIds)
{
  json::array names;
  for (const auto& id : aIds) {
    if (names.size() == kMaxNames) {
      break;
    }
    names.emplace_back(id.Text());
  }
  return names;
}

template<class Id>
std::set<Id>
IdsOf(const json::array& aNames)
{
  std::set<Id> ids;
  for (const auto& name : aNames) {
    if (name.is_string()) {
      ids.insert(Id(std::string(name.as_string())));
    }
  }
  return ids;
}

Result<CrashReport>
Decode(const GossipEntry& aFact)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aFact.mValue, Step::FleetMessage, aFact.mKey));
  JsonReader reader(object, Step::FleetMessage, aFact.mKey);
  CrashReport fact;
  fact.mQuarantined = reader.BoolOr("quarantined", false);
  fact.mUpstreams = IdsOf<UpstreamId>(reader.Array("upstreams"));
  fact.mShards = IdsOf<ShardId>(reader.Array("shards"));
  BOOST_LEAF_CHECK(reader.Status());
  fact.mTimeToLive = std::chrono::milliseconds(aFact.mTtlMs);
  return fact;
}

} // namespace

std::string
CrashFactKey(const CrashReport& aFact)
{
  char buffer[17];
  const auto end =
    std::to_chars(buffer, buffer + sizeof buffer, aFact.mFingerprint.Value(), 16).ptr;
  return std::string(kCrashFactPrefix) + std::string(buffer, end);
}

std::string
EncodeCrashFact(const CrashReport& aFact)
{
  return json::serialize(json::object{ { "quarantined", aFact.mQuarantined },
                                       { "upstreams", NamesOf(aFact.mUpstreams) },
                                       { "shards", NamesOf(aFact.mShards) } });
}

std::optional<CrashReport>
DecodeCrashFact(const GossipEntry& aFact)
{
  const auto digits = std::string_view(aFact.mKey).substr(kCrashFactPrefix.size());
  std::uint64_t fingerprint = 0;
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), fingerprint, 16);
  if (error != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return HandleError(
    [&]() -> Result<std::optional<CrashReport>> {
      BOOST_LEAF_AUTO(fact, Decode(aFact));
      fact.mFingerprint = RequestFingerprint(fingerprint);
      return std::optional<CrashReport>(std::move(fact));
    },
    [](const Error&) { return std::optional<CrashReport>(); });
}

} // namespace wasabispar
