/// @file
/// @brief PlatformClient over HTTP and JSON.
#include "wasabispar/net/platform_client.hpp"

#include "wasabispar/net/json_reader.hpp"

namespace wasabispar {

namespace json = boost::json;

namespace {

/// An answer holds many values of up to 1 MB each.
constexpr HttpResponseLimits kLimits{ 32 * 1024, 64 * 1024 * 1024 };

/// The platform normally answers within milliseconds, so a request that takes this long
/// has failed.
constexpr auto kCallTimeout = std::chrono::seconds(2);

/// Returns the elements of @p aArray; fails if one is not an object.
Result<std::vector<json::object>>
ToObjects(const json::array& aArray, const std::string& aPeer)
{
  std::vector<json::object> objects;
  for (const auto& value : aArray) {
    if (!value.is_object()) {
      return Fail(
        { Step::Platform, aPeer, Outcome::NotRun, "array element is not an object" });
    }
    objects.push_back(value.as_object());
  }
  return objects;
}

/// Returns whether the field `state` is `leaving`. Fails if the field is neither `live`
/// nor `leaving`.
Result<bool>
ParseLeaving(JsonReader& aReader, const std::string& aPeer)
{
  const auto state = aReader.Text("state");
  BOOST_LEAF_CHECK(aReader.Status());
  if (state != "live" && state != "leaving") {
    return Fail(
      { Step::Platform, aPeer, Outcome::NotRun, "state must be live or leaving" });
  }
  return state == "leaving";
}

Result<PlatformVm>
ParseVm(const json::object& aObject, const std::string& aPeer)
{
  JsonReader reader(aObject, Step::Platform, aPeer);
  PlatformVm vm;
  vm.mVm = VmId(reader.Text("vm"));
  vm.mDataCentre = DataCentreId(reader.Text("data_centre"));
  vm.mRegion = RegionId(reader.Text("region"));
  const auto fleet = reader.Text("fleet");
  BOOST_LEAF_ASSIGN(vm.mLeaving, ParseLeaving(reader, aPeer));
  BOOST_LEAF_ASSIGN(vm.mFleet, Endpoint::Parse(fleet));
  return vm;
}

Result<PlatformUpstream>
ParseUpstream(const json::object& aObject, const std::string& aPeer)
{
  JsonReader reader(aObject, Step::Platform, aPeer);
  PlatformUpstream upstream;
  upstream.mUpstream = UpstreamId(reader.Text("upstream"));
  upstream.mIndex = IndexName(reader.Text("index"));
  upstream.mDataCentre = DataCentreId(reader.Text("data_centre"));
  upstream.mConnectionLimit =
    static_cast<std::uint32_t>(reader.Number("connection_limit"));
  const auto address = reader.Text("address");
  BOOST_LEAF_ASSIGN(upstream.mLeaving, ParseLeaving(reader, aPeer));
  BOOST_LEAF_ASSIGN(upstream.mAddress, Endpoint::Parse(address));
  return upstream;
}

/// Passes the parsed body of @p aResult, or the reason why there is none, to @p aDone.
template<class Value, class ParseFn, class DoneFn>
void
Deliver(const HttpExchangeResult& aResult, const std::string& aPeer, ParseFn aParse,
        const DoneFn& aDone)
{
  Error failure;
  std::optional<Value> value = HandleError(
    [&]() -> Result<std::optional<Value>> {
      if (aResult.mEnd != HttpExchangeEnd::Response) {
        return Fail({ Step::Platform, aPeer, Outcome::NotRun, aResult.mCause });
      }
      if (aResult.mResponse.mStatus != 200) {
        return Fail({ Step::Platform, aPeer, Outcome::NotRun,
                      "status " + std::to_string(aResult.mResponse.mStatus) });
      }
      BOOST_LEAF_AUTO(parsed, aParse(aResult.mResponse.mBody, aPeer));
      return std::optional<Value>(std::move(parsed));
    },
    [&](const Error& aError) {
      failure = aError;
      return std::optional<Value>();
    });
  aDone(std::move(value), std::move(failure));
}

} // namespace

Result<PlatformValues>
ParsePlatformValues(std::string_view aBody, const std::string& aPeer)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aBody, Step::Platform, aPeer));
  JsonReader reader(object, Step::Platform, aPeer);
  PlatformValues values;
  values.mRevision = Revision(reader.Number("revision"));
  const auto& array = reader.Array("items");
  BOOST_LEAF_CHECK(reader.Status());
  BOOST_LEAF_AUTO(items, ToObjects(array, aPeer));
  for (const auto& item : items) {
    JsonReader fields(item, Step::Platform, aPeer);
    PlatformItem parsed;
    parsed.mKey = fields.Text("key");
    parsed.mRevision = Revision(fields.Number("revision"));
    parsed.mDeleted = fields.BoolOr("deleted", false);
    parsed.mValue = fields.TextOr("value", {});
    BOOST_LEAF_CHECK(fields.Status());
    values.mItems.push_back(std::move(parsed));
  }
  return values;
}

Result<PlatformInventory>
ParsePlatformInventory(std::string_view aBody, const std::string& aPeer)
{
  BOOST_LEAF_AUTO(object, ParseJsonObject(aBody, Step::Platform, aPeer));
  JsonReader reader(object, Step::Platform, aPeer);
  const auto& vms = reader.Array("vms");
  const auto& upstreams = reader.Array("upstreams");
  BOOST_LEAF_CHECK(reader.Status());
  PlatformInventory list;
  BOOST_LEAF_AUTO(vmObjects, ToObjects(vms, aPeer));
  for (const auto& vm : vmObjects) {
    BOOST_LEAF_AUTO(parsed, ParseVm(vm, aPeer));
    list.mVms.push_back(std::move(parsed));
  }
  BOOST_LEAF_AUTO(upstreamObjects, ToObjects(upstreams, aPeer));
  for (const auto& upstream : upstreamObjects) {
    BOOST_LEAF_AUTO(parsed, ParseUpstream(upstream, aPeer));
    list.mUpstreams.push_back(std::move(parsed));
  }
  return list;
}

PlatformClient::PlatformClient(boost::asio::io_context& aContext, Endpoint aPlatform)
  : mContext(aContext)
  , mPlatform(std::move(aPlatform))
{
}

void
PlatformClient::FetchValues(const std::string& aTarget, Duration aTimeout, ValuesFn aDone)
{
  ++mCalls;
  HttpRequest request;
  request.mTarget = aTarget;
  HttpFetch(
    mContext, mPlatform, std::move(request), aTimeout,
    [peer = mPlatform.Text(), done = std::move(aDone)](HttpExchangeResult aResult) {
      Deliver<PlatformValues>(aResult, peer, ParsePlatformValues, done);
    },
    kLimits);
}

void
PlatformClient::ReadValues(const std::string& aPrefix, ValuesFn aDone)
{
  FetchValues("/v1/values?prefix=" + aPrefix, kCallTimeout, std::move(aDone));
}

void
PlatformClient::WatchValues(const std::string& aPrefix, Revision aAfter, Duration aWait,
                            ValuesFn aDone)
{
  FetchValues("/v1/watch?prefix=" + aPrefix + "&after=" + std::to_string(aAfter.Value()) +
                "&timeout_ms=" + std::to_string(ToMilliseconds(aWait)),
              aWait + kCallTimeout, std::move(aDone));
}

void
PlatformClient::ReadInventory(InventoryFn aDone)
{
  ++mCalls;
  HttpRequest request;
  request.mTarget = "/v1/vms";
  const auto body = [](const std::string& aBody, const std::string&) {
    return Result<std::string>(aBody);
  };
  HttpFetch(
    mContext, mPlatform, std::move(request), kCallTimeout,
    [peer = mPlatform.Text(), done = std::move(aDone), body](HttpExchangeResult aResult) {
      Deliver<std::string>(aResult, peer, body, done);
    },
    kLimits);
}

} // namespace wasabispar
