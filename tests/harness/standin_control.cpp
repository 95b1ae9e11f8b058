/// @file
/// @brief Implements the handles of the stand-in processes.
#include "tests/harness/standin_control.hpp"

#include "tests/standins/index_layout.hpp"
#include "tests/standins/json_read.hpp"

#include <algorithm>
#include <stdexcept>

namespace wasabispar::harness {

namespace json = boost::json;

namespace {

constexpr auto kStartTimeout = std::chrono::seconds(10);

Endpoint
LocalPort(const json::object& aObject, std::string_view aName)
{
  const auto port = standins::ReadNumber(aObject, aName).value_or(0);
  return { "127.0.0.1", static_cast<std::uint16_t>(port) };
}

std::vector<std::string>
UpstreamFlags(const UpstreamSpec& aSpec)
{
  const auto text = [](auto aNumber) { return std::to_string(aNumber); };
  return { "--name",
           aSpec.mName,
           "--index",
           aSpec.mIndex,
           "--instances",
           text(aSpec.mInstances),
           "--searchers",
           text(aSpec.mSearchers),
           "--slots",
           text(aSpec.mSlots),
           "--connection-limit",
           text(aSpec.mConnectionLimit),
           "--connection-cost-ms",
           text(aSpec.mConnectionCostMs),
           "--shards",
           text(aSpec.mShards),
           "--replicas",
           text(aSpec.mReplicas),
           "--version",
           text(aSpec.mVersion),
           "--base-ms",
           text(aSpec.mBaseMs),
           "--jitter-ms",
           text(aSpec.mJitterMs),
           "--straggler-share",
           text(aSpec.mStragglerShare),
           "--straggler-factor",
           text(aSpec.mStragglerFactor),
           "--seed",
           text(aSpec.mSeed),
           "--queue",
           text(aSpec.mQueue) };
}

CallReply
MustCall(const Endpoint& aEndpoint, const std::string& aMethod,
         const std::string& aTarget, const std::string& aBody = {})
{
  auto reply = Call(aEndpoint, aMethod, aTarget, aBody);
  if (reply.Code() != 200) {
    throw std::runtime_error(aTarget + " of a stand-in answered " +
                             std::to_string(reply.Code()) + " " + reply.mResponse.mBody);
  }
  return reply;
}

} // namespace

UpstreamProcess::UpstreamProcess(UpstreamSpec aSpec, const std::string& aLogPath)
  : mSpec(std::move(aSpec))
  , mProcess("standin_upstream", UpstreamFlags(mSpec), ChildLogs{ aLogPath, {} })
{
  const auto started = mProcess.ReadStartLine(kStartTimeout);
  mControl = LocalPort(started, "control_port");
  for (const auto& instance : started.at("instances").as_array()) {
    mInstances.push_back(LocalPort(instance.as_object(), "port"));
  }
}

std::string
UpstreamProcess::InstanceName(std::size_t aNumber) const
{
  return mSpec.mName + "-" + std::to_string(aNumber);
}

Endpoint
UpstreamProcess::Instance(std::size_t aNumber) const
{
  return mInstances.at(aNumber);
}

std::vector<std::size_t>
UpstreamProcess::Holders(const std::string& aShard) const
{
  const standins::LayoutSettings layout{ mSpec.mInstances, mSpec.mSearchers,
                                         mSpec.mReplicas };
  std::vector<std::size_t> holders;
  for (std::size_t number = 0; number < mSpec.mInstances; ++number) {
    if (standins::HeldShards(layout, mSpec.mShards, number).contains(aShard)) {
      holders.push_back(number);
    }
  }
  return holders;
}

void
UpstreamProcess::Set(const std::string& aInstance, const json::object& aSettings) const
{
  const json::object body{ { "instance", aInstance }, { "set", aSettings } };
  MustCall(mControl, "POST", "/control", json::serialize(body));
}

json::object
UpstreamProcess::Record() const
{
  return MustCall(mControl, "GET", "/record").Json();
}

PlatformProcess::PlatformProcess(const std::string& aLogPath)
  : mProcess("standin_platform", {}, ChildLogs{ aLogPath, {} })
{
  const auto started = mProcess.ReadStartLine(kStartTimeout);
  mAddress = LocalPort(started, "port");
  mControl = LocalPort(started, "control_port");
}

namespace {

std::optional<std::uint64_t>
Write(const Endpoint& aControl, const std::string& aMethod, const std::string& aKey,
      const std::string& aValue, std::optional<std::uint64_t> aExpected)
{
  auto target = "/v1/values/" + aKey;
  if (aExpected) {
    target += "?expected=" + std::to_string(*aExpected);
  }
  const auto reply = Call(aControl, aMethod, target, aValue);
  if (reply.Code() == 409) {
    return std::nullopt;
  }
  if (reply.Code() != 200) {
    throw std::runtime_error("write of " + aKey + " answered " +
                             std::to_string(reply.Code()));
  }
  return standins::ReadNumber(reply.Json(), "revision");
}

} // namespace

std::optional<std::uint64_t>
PlatformProcess::Put(const std::string& aKey, const std::string& aValue,
                     std::optional<std::uint64_t> aExpected) const
{
  return Write(mControl, "PUT", aKey, aValue, aExpected);
}

std::optional<std::uint64_t>
PlatformProcess::Delete(const std::string& aKey,
                        std::optional<std::uint64_t> aExpected) const
{
  return Write(mControl, "DELETE", aKey, {}, aExpected);
}

void
PlatformProcess::PutList(const json::object& aList) const
{
  MustCall(mControl, "PUT", "/v1/vms", json::serialize(aList));
}

void
PlatformProcess::SetMode(const std::string& aMode) const
{
  Control({ { "mode", aMode } });
}

void
PlatformProcess::Control(const json::object& aSettings) const
{
  MustCall(mControl, "POST", "/control", json::serialize(aSettings));
}

json::object
PlatformProcess::Record() const
{
  return MustCall(mControl, "GET", "/record").Json();
}

std::uint64_t
RecordNumber(const json::object& aRecord, std::string_view aName)
{
  return standins::ReadNumber(aRecord, aName).value_or(0);
}

json::object
InstanceRecord(const json::object& aRecord, const std::string& aInstance)
{
  for (const auto& entry : aRecord.at("instances").as_array()) {
    if (standins::ReadText(entry.as_object(), "upstream") == aInstance) {
      return entry.as_object();
    }
  }
  return {};
}

std::uint64_t
MaxExecutionsOfOneBody(const json::object& aRecord)
{
  std::uint64_t most = 0;
  for (const auto& entry : aRecord.at("executions_by_body").as_object()) {
    most = std::max(most, entry.value().to_number<std::uint64_t>());
  }
  return most;
}

} // namespace wasabispar::harness
