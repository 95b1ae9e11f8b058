/// @file
/// @brief A blocking HTTP call for tests, each on a new connection.
#pragma once

#include "wasabispar/net/http_client.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace wasabispar::harness {

/// @brief The end of a call.
struct CallReply
{
  HttpExchangeEnd mEnd = HttpExchangeEnd::ConnectFailed;
  HttpResponse mResponse;

  /// @brief The HTTP status; 0 when no response arrived.
  unsigned Code() const;
  /// @brief The body as JSON object; empty when it is none.
  boost::json::object Json() const;
};

constexpr auto kCallTimeout = std::chrono::seconds(10);

CallReply
Call(const Endpoint& aEndpoint, const std::string& aMethod, const std::string& aTarget,
     const std::string& aBody = {}, Duration aTimeout = kCallTimeout);

/// @brief `POST` with a JSON body.
CallReply
PostJson(const Endpoint& aEndpoint, const std::string& aTarget,
         const boost::json::object& aBody, Duration aTimeout = kCallTimeout);

/// @brief Checks @p aCondition each 10 ms until it holds. False when it does not in
/// time.
bool
WaitUntil(std::chrono::milliseconds aTimeout, const std::function<bool()>& aCondition);

} // namespace wasabispar::harness
