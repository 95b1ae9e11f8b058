/// @file
/// @brief RequestHead() and ResponseHead().
#include "wasabispar/net/message_head.hpp"

#include <boost/algorithm/string/predicate.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>

namespace wasabispar {

namespace {

/// Fields that say where a message ends, or what follows on its connection. They are not
/// copied from a message: the sender of a head decides them.
constexpr std::array<std::string_view, 3> kFramingFields{
  "Content-Length",
  "Transfer-Encoding",
  "Connection",
};

/// Methods whose requests state a length even if they have no body.
constexpr std::array<std::string_view, 3> kMethodsWithLength{ "POST", "PUT", "OPTIONS" };

bool
IsFramingField(std::string_view aName)
{
  return std::ranges::any_of(kFramingFields, [aName](std::string_view aField) {
    return boost::iequals(aField, aName);
  });
}

void
AppendField(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

/// Appends all fields but those that the sender decides.
void
AppendFields(std::string& aHead, const std::vector<HttpHeader>& aHeaders)
{
  for (const auto& header : aHeaders) {
    if (!IsFramingField(header.mName)) {
      AppendField(aHead, header.mName, header.mValue);
    }
  }
}

} // namespace

std::string
RequestHead(const HttpRequest& aRequest, std::string_view aHost)
{
  std::string head = aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
  AppendFields(head, aRequest.mHeaders);
  if (aRequest.Header("Host").empty()) {
    AppendField(head, "Host", aHost);
  }
  const auto& body = aRequest.Body();
  if (!body.empty() && !aRequest.mContentType.empty()) {
    AppendField(head, "Content-Type", aRequest.mContentType);
  }
  if (!body.empty() || std::ranges::find(kMethodsWithLength, aRequest.mMethod) !=
                         kMethodsWithLength.end()) {
    AppendField(head, "Content-Length", std::to_string(body.size()));
  }
  return head + "\r\n";
}

std::string
ResponseHead(const HttpResponse& aResponse, unsigned aHttpVersion, bool aKeepAlive)
{
  namespace http = boost::beast::http;
  constexpr unsigned kHttp10 = 10;
  const auto status = std::to_string(aResponse.mStatus);
  const auto reason = http::obsolete_reason(http::int_to_status(aResponse.mStatus));
  std::string head = aHttpVersion == kHttp10 ? "HTTP/1.0 " : "HTTP/1.1 ";
  head.append(status).append(" ").append(reason.data(), reason.size()).append("\r\n");
  if (!aResponse.mContentType.empty()) {
    AppendField(head, "Content-Type", aResponse.mContentType);
  }
  AppendFields(head, aResponse.mHeaders);
  if (aHttpVersion == kHttp10 && aKeepAlive) {
    AppendField(head, "Connection", "keep-alive");
  } else if (aHttpVersion != kHttp10 && !aKeepAlive) {
    AppendField(head, "Connection", "close");
  }
  if (MayHaveBody(aResponse.mStatus)) {
    AppendField(head, "Content-Length", std::to_string(aResponse.mBody.size()));
  }
  return head + "\r\n";
}

bool
MayHaveBody(unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aStatus >= 200 && aStatus != kNoContent && aStatus != kNotModified;
}

} // namespace wasabispar
