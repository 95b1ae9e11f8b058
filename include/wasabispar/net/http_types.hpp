/// @file
/// @brief HTTP messages as plain structs, so that users need not include Boost.Beast.
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

/// @brief Notifies the handler of a received request if the client closes the connection
/// before the response. Used only on the worker of the connection.
class DisconnectNotifier
{
public:
  /// @brief Sets the function to call once when the client disconnects. If the client has
  /// already disconnected, calls the function at once. An empty function ends the
  /// subscription.
  void Subscribe(std::function<void()> aFn);
  /// @brief Records that the client has disconnected and calls the function.
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
  /// Content-Type of a request to send; used only with a body, and omitted if empty. For
  /// a received request, see mHeaders.
  std::string mContentType = "application/json";
  /// Address of the client as `ip:port`; set only in received requests.
  std::string mPeer;
  /// Set only in received requests.
  std::shared_ptr<DisconnectNotifier> mDisconnectNotifier;
  /// If set, the body of a request to send, in place of mBody. Copies of the request
  /// share it, so that a request to many upstreams holds its body once.
  std::shared_ptr<const std::string> mSharedBody = nullptr;
  /// Keeps the memory of the body reserved until the last copy of the request is
  /// destroyed. Null if it is not reserved.
  std::shared_ptr<const void> mReservedMemory = nullptr;

  /// @brief The body of a request to send.
  const std::string& Body() const { return mSharedBody ? *mSharedBody : mBody; }
  /// @brief The path of mTarget without the query string.
  std::string_view Path() const;
  /// @brief The decoded value of parameter @p aName in the query string; empty if absent.
  std::string QueryParameter(std::string_view aName) const;
  /// @brief The value of parameter @p aName as a number; empty if the parameter is absent
  /// or not an unsigned decimal number.
  std::optional<std::uint64_t> QueryNumber(std::string_view aName) const;
  /// @brief The value of header @p aName, ignoring the case of the name; empty if absent.
  std::string_view Header(std::string_view aName) const;
};

/// @brief A response, received or to be sent.
struct HttpResponse
{
  unsigned mStatus = 200;
  /// Content-Type of a response to send; omitted if empty. For a received response, see
  /// mHeaders.
  std::string mContentType = "application/json";
  std::vector<HttpHeader> mHeaders;
  std::string mBody;
  /// Closes the connection after sending this response.
  bool mCloseConnection = false;
  /// Keeps the memory of a received body reserved until the last copy of the response is
  /// destroyed. Null if it is not reserved.
  std::shared_ptr<const void> mReservedMemory = nullptr;

  /// @brief The value of header @p aName, ignoring the case of the name; empty if absent.
  std::string_view Header(std::string_view aName) const;
};

} // namespace wasabispar
