/// @file
/// @brief The heads of HTTP messages that are sent: start line, fields and the empty
/// line.
///
/// Beast's container of fields is not used, because it throws for values of 64 KiB or
/// more, which a peer may have sent.
#pragma once

#include "wasabispar/net/http_types.hpp"

#include <string>
#include <string_view>

namespace wasabispar {

/// @brief The head of @p aRequest, whose body is sent with its length.
/// @param aHost value of the header Host if the request has none.
std::string
RequestHead(const HttpRequest& aRequest, std::string_view aHost);

/// @brief The head of @p aResponse, whose body is sent with its length unless
/// MayHaveBody() denies it.
/// @param aHttpVersion 10 for HTTP/1.0, 11 for HTTP/1.1.
/// @param aKeepAlive whether the connection stays open.
std::string
ResponseHead(const HttpResponse& aResponse, unsigned aHttpVersion, bool aKeepAlive);

/// @brief Whether a response with this status may have a body.
bool
MayHaveBody(unsigned aStatus);

} // namespace wasabispar
