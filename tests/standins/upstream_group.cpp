/// @file
/// @brief Implements the group and its control port.
#include "tests/standins/upstream_group.hpp"

#include "tests/standins/json_read.hpp"

namespace wasabispar::standins {

namespace json = boost::json;

namespace {

HttpResponse
MakeResponse(unsigned aStatus, const json::object& aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = json::serialize(aBody);
  return response;
}

} // namespace

UpstreamGroup::UpstreamGroup(boost::asio::io_context& aContext, GroupOptions aOptions)
{
  aOptions.mInstance.mLayout.mInstances = aOptions.mInstances;
  for (std::size_t number = 0; number < aOptions.mInstances; ++number) {
    mInstances.push_back(std::make_unique<UpstreamInstance>(
      aContext, aOptions.mName + "-" + std::to_string(number), number, aOptions.mInstance,
      mRecord));
  }
  mControl = std::make_unique<ConnectionServer>(
    aContext, ConnectionServerOptions{},
    [this](const ExchangePtr& aExchange) { Control(aExchange); });
  mControlPort = mControl->Listen(0);
}

json::object
UpstreamGroup::Started() const
{
  json::array instances;
  for (const auto& instance : mInstances) {
    instances.push_back(
      json::object{ { "upstream", instance->Name() }, { "port", instance->Port() } });
  }
  return { { "event", "started" },
           { "control_port", mControlPort },
           { "instances", instances } };
}

void
UpstreamGroup::Control(const ExchangePtr& aExchange)
{
  const auto& request = aExchange->Request();
  if (request.mTarget == "/record") {
    aExchange->Respond(MakeResponse(200, Record()));
  } else if (request.mTarget == "/control" && request.mMethod == "POST") {
    aExchange->Respond(ApplyControl(request));
  } else {
    aExchange->Respond(MakeResponse(404, { { "cause", "unknown path" } }));
  }
}

HttpResponse
UpstreamGroup::ApplyControl(const HttpRequest& aRequest)
{
  const auto body = ParseObject(aRequest.mBody);
  const auto* settings = body ? body->if_contains("set") : nullptr;
  if (settings == nullptr || !settings->is_object()) {
    return MakeResponse(400, { { "cause", "member set is missing" } });
  }
  const auto name = ReadText(*body, "instance");
  std::size_t matched = 0;
  for (const auto& instance : mInstances) {
    if (name != "*" && name != instance->Name()) {
      continue;
    }
    ++matched;
    if (const auto failed = instance->Set(settings->get_object()); !failed.empty()) {
      return MakeResponse(400, { { "cause", "setting " + failed + " is invalid" } });
    }
  }
  if (matched == 0) {
    return MakeResponse(404, { { "cause", "no instance " + name } });
  }
  return MakeResponse(200, { { "instances", matched } });
}

json::object
UpstreamGroup::Record() const
{
  auto record = ToJson(mRecord);
  json::array instances;
  for (const auto& instance : mInstances) {
    instances.push_back(instance->Status());
  }
  record["instances"] = std::move(instances);
  return record;
}

} // namespace wasabispar::standins
