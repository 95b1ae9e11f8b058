/// @file
/// @brief HTTP messages as plain values, so that Boost.Beast stays out of the headers.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief One header field.
struct HttpHeader
{
  std::string mName;
  std::string mValue;
};

/// @brief Tells the handler of a received request that its caller closed the connection
/// before the response. Used on the worker of the connection only.
class DisconnectNotifier
{
public:
  /// @brief Calls @p aFn when the caller leaves, at once if it has left. Replaces an
  /// earlier function; an empty one ends the subscription.
  void Subscribe(std::function<void()> aFn);
  /// @brief The caller has left.
  void Notify();
  bool IsDisconnected() const { return mIsDisconnected; }

private:
  std::function<void()> mFn;
  bool mIsDisconnected = false;
};

/// @brief A request, received or to be sent.
struct HttpRequest
{
  /// `GET`, `POST` or another method in upper case.
  std::string mMethod = "GET";
  /// Path with query string, for example `/v1/watch?after=3`.
  std::string mTarget = "/";
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  /// Content-Type of a request to be sent with a body; empty adds none. A received
  /// request has it in mHeaders.
  std::string mContentType = "application/json";
  /// Address of the other side as `ip:port`; set on received requests only.
  std::string mPeer;
  /// Set on received requests only.
  std::shared_ptr<DisconnectNotifier> mDisconnectNotifier;

  /// @brief The path of mTarget without the query string.
  std::string_view Path() const;
  /// @brief The value of parameter @p aName in the query string; empty if absent.
  std::string QueryParameter(std::string_view aName) const;
  /// @brief The same as a number; empty if it is absent or no whole number.
  std::optional<std::uint64_t> QueryNumber(std::string_view aName) const;
  /// @brief The value of header @p aName, compared without case; empty if absent.
  std::string_view Header(std::string_view aName) const;
};

/// @brief A response, received or to be sent.
struct HttpResponse
{
  unsigned mStatus = 200;
  /// Content-Type of a response to be sent; empty adds none. A received response has it
  /// in mHeaders.
  std::string mContentType = "application/json";
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  /// Closes the connection after this response.
  bool mCloseConnection = false;

  std::string_view Header(std::string_view aName) const;
};

} // namespace wasabispar
