/// @file
/// @brief Implements the blocking calls.
#include "tests/harness/http_call.hpp"

#include "tests/standins/json_read.hpp"

#include <boost/asio/io_context.hpp>

#include <thread>

namespace wasabispar::harness {

unsigned
CallReply::Code() const
{
  return mEnd == HttpExchangeEnd::Response ? mResponse.mStatus : 0;
}

boost::json::object
CallReply::Json() const
{
  return standins::ParseObject(mResponse.mBody).value_or(boost::json::object{});
}

CallReply
Call(const Endpoint& aEndpoint, const std::string& aMethod, const std::string& aTarget,
     const std::string& aBody, Duration aTimeout)
{
  boost::asio::io_context context(1);
  HttpRequest request;
  request.mMethod = aMethod;
  request.mTarget = aTarget;
  request.mBody = aBody;
  CallReply reply;
  HttpFetch(context, aEndpoint, std::move(request), aTimeout,
            [&](HttpExchangeResult aResult) {
              reply.mEnd = aResult.mEnd;
              reply.mResponse = std::move(aResult.mResponse);
            });
  context.run();
  return reply;
}

CallReply
PostJson(const Endpoint& aEndpoint, const std::string& aTarget,
         const boost::json::object& aBody, Duration aTimeout)
{
  return Call(aEndpoint, "POST", aTarget, boost::json::serialize(aBody), aTimeout);
}

bool
WaitUntil(std::chrono::milliseconds aTimeout, const std::function<bool()>& aCondition)
{
  const auto end = std::chrono::steady_clock::now() + aTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return true;
}

} // namespace wasabispar::harness
