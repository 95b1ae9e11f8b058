/// @file
/// @brief A small HTTP/1.1 server and client on blocking sockets, one thread for each
/// connection. Bodies have a Content-Length.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

struct NameOrder
{
  bool operator()(const std::string& aLeft, const std::string& aRight) const
  {
    return strcasecmp(aLeft.c_str(), aRight.c_str()) < 0;
  }
};
using Headers = std::map<std::string, std::string, NameOrder>;

struct Address
{
  std::string mIp;
  std::uint16_t mPort = 0;

  std::string Text() const { return mIp + ":" + std::to_string(mPort); }
};

struct Request
{
  std::string mMethod;
  std::string mTarget;
  Headers mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? std::string() : found->second;
  }
  std::string Path() const { return mTarget.substr(0, mTarget.find('?')); }
  std::string Query(const std::string& aName) const
  {
    const auto question = mTarget.find('?');
    auto rest = question == std::string::npos ? "" : "&" + mTarget.substr(question + 1);
    const auto at = rest.find("&" + aName + "=");
    if (at == std::string::npos) {
      return {};
    }
    rest = rest.substr(at + aName.size() + 2);
    return rest.substr(0, rest.find('&'));
  }
};

struct Response
{
  unsigned mStatus = 200;
  Headers mHeaders;
  std::string mBody;
  /// Close the connection without a response.
  bool mIsDropped = false;

  std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? std::string() : found->second;
  }
};

inline sockaddr_in
ToSocketAddress(const Address& aAddress)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mIp.c_str(), &address.sin_addr);
  return address;
}

/// @brief Binds and listens; with port 0, sets the port that the system chose. Returns -1
/// if the address is in use.
inline int
Listen(Address& aAddress)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = ToSocketAddress(aAddress);
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(socket, 128) != 0) {
    ::close(socket);
    return -1;
  }
  socklen_t length = sizeof(address);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
  aAddress.mPort = ntohs(address.sin_port);
  return socket;
}

/// @brief One connection with what was read from it and not used yet.
class Stream
{
public:
  explicit Stream(int aSocket)
    : mSocket(aSocket)
  {
    const int on = 1;
    ::setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Stream() { ::close(mSocket); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void Shutdown() { ::shutdown(mSocket, SHUT_RDWR); }
  /// @brief Reads up to the end of a head; false when the connection has ended.
  bool ReadHead(std::string& aHead, int aTimeoutMs)
  {
    auto end = mBuffer.find("\r\n\r\n");
    while (end == std::string::npos) {
      if (!ReadMore(aTimeoutMs)) {
        return false;
      }
      end = mBuffer.find("\r\n\r\n");
    }
    aHead = mBuffer.substr(0, end + 2);
    mBuffer.erase(0, end + 4);
    return true;
  }
  bool ReadBody(std::string& aBody, std::size_t aBytes, int aTimeoutMs)
  {
    while (mBuffer.size() < aBytes) {
      if (!ReadMore(aTimeoutMs)) {
        return false;
      }
    }
    aBody = mBuffer.substr(0, aBytes);
    mBuffer.erase(0, aBytes);
    return true;
  }
  bool ReadMore(int aTimeoutMs)
  {
    pollfd ready{ mSocket, POLLIN, 0 };
    if (::poll(&ready, 1, aTimeoutMs) <= 0) {
      return false;
    }
    char bytes[16384];
    const auto count = ::recv(mSocket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }
  bool Write(const std::string& aBytes)
  {
    std::size_t sent = 0;
    while (sent < aBytes.size()) {
      const auto count =
        ::send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }
  /// @brief What was read and belongs to no message yet.
  const std::string& Rest() const { return mBuffer; }

private:
  int mSocket;
  std::string mBuffer;
};

/// @brief Splits a head into its first line and its fields.
inline std::string
ParseHead(const std::string& aHead, Headers& aHeaders)
{
  const auto first = aHead.find("\r\n");
  auto at = first + 2;
  while (at < aHead.size()) {
    const auto end = aHead.find("\r\n", at);
    const auto line = aHead.substr(at, end - at);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      const auto value = line.find_first_not_of(" \t", colon + 1);
      aHeaders[line.substr(0, colon)] =
        value == std::string::npos ? std::string() : line.substr(value);
    }
    at = end + 2;
  }
  return aHead.substr(0, first);
}

inline std::size_t
ContentLength(const Headers& aHeaders)
{
  const auto found = aHeaders.find("Content-Length");
  return found == aHeaders.end() ? 0 : std::stoul(found->second);
}

inline std::string
ToText(const Response& aResponse, bool aHasBody)
{
  auto text = "HTTP/1.1 " + std::to_string(aResponse.mStatus) + " Status\r\n";
  for (const auto& [name, value] : aResponse.mHeaders) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aResponse.mBody.size()) + "\r\n\r\n";
  return aHasBody ? text + aResponse.mBody : text;
}

/// @brief A server that can be stopped, which resets its port, and started again.
class HttpServer
{
public:
  using Handler = std::function<Response(const Request&)>;

  HttpServer(Address aAddress, Handler aHandler)
    : mAddress(std::move(aAddress))
    , mHandler(std::move(aHandler))
  {
    Start();
  }
  ~HttpServer() { Stop(); }

  const Address& Where() const { return mAddress; }

  void Start()
  {
    const std::lock_guard lock(mMutex);
    const int listener = Listen(mAddress);
    if (listener < 0) {
      throw std::runtime_error("cannot listen on " + mAddress.Text());
    }
    mListener = listener;
    std::thread([this, listener, round = ++mRound] { Accept(listener, round); }).detach();
  }
  /// @brief Closes the port and all connections at once, as the end of a process does.
  void Stop()
  {
    const std::lock_guard lock(mMutex);
    if (mListener >= 0) {
      ++mRound;
      ::shutdown(mListener, SHUT_RDWR);
      ::close(mListener);
      mListener = -1;
    }
    for (const auto& stream : std::exchange(mStreams, {})) {
      stream->Shutdown();
    }
  }

private:
  void Accept(int aListener, std::uint64_t aRound)
  {
    while (true) {
      const int socket = ::accept4(aListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      auto stream = std::make_shared<Stream>(socket);
      const std::lock_guard lock(mMutex);
      if (aRound != mRound) {
        return;
      }
      mStreams.insert(stream);
      std::thread([this, stream] { Serve(stream); }).detach();
    }
  }

  void Serve(const std::shared_ptr<Stream>& aStream)
  {
    constexpr int kIdleMs = 60'000;
    std::string head;
    while (aStream->ReadHead(head, kIdleMs)) {
      Request request;
      const auto line = ParseHead(head, request.mHeaders);
      const auto space = line.find(' ');
      request.mMethod = line.substr(0, space);
      request.mTarget = line.substr(space + 1, line.rfind(' ') - space - 1);
      if (!aStream->ReadBody(request.mBody, ContentLength(request.mHeaders), kIdleMs)) {
        break;
      }
      const auto response = mHandler(request);
      if (response.mIsDropped ||
          !aStream->Write(ToText(response, request.mMethod != "HEAD"))) {
        break;
      }
    }
    aStream->Shutdown();
    const std::lock_guard lock(mMutex);
    mStreams.erase(aStream);
  }

  Address mAddress;
  Handler mHandler;
  std::mutex mMutex;
  int mListener = -1;
  std::uint64_t mRound = 0;
  std::set<std::shared_ptr<Stream>> mStreams;
};

/// @brief A client's connection.
class HttpClient
{
public:
  explicit HttpClient(Address aAddress)
    : mAddress(std::move(aAddress))
  {
  }

  /// @brief Sends a request and reads the response; empty without a complete response.
  std::optional<Response> Exchange(const Request& aRequest, int aTimeoutMs)
  {
    if (!mStream && !Connect()) {
      return std::nullopt;
    }
    auto text = aRequest.mMethod + " " + aRequest.mTarget + " HTTP/1.1\r\n";
    for (const auto& [name, value] : aRequest.mHeaders) {
      text += name + ": " + value + "\r\n";
    }
    if (!aRequest.mBody.empty()) {
      text += "Content-Length: " + std::to_string(aRequest.mBody.size()) + "\r\n";
    }
    Response response;
    if (!mStream->Write(text + "\r\n" + aRequest.mBody) ||
        !mStream->ReadHead(mHead, aTimeoutMs)) {
      mStream.reset();
      return std::nullopt;
    }
    const auto line = ParseHead(mHead, response.mHeaders);
    if (line.rfind("HTTP/1.1 ", 0) != 0) {
      return std::nullopt;
    }
    response.mStatus = static_cast<unsigned>(std::stoul(line.substr(9, 3)));
    const auto bytes = aRequest.mMethod == "HEAD" ? 0 : ContentLength(response.mHeaders);
    if (!mStream->ReadBody(response.mBody, bytes, aTimeoutMs)) {
      mStream.reset();
      return std::nullopt;
    }
    return response;
  }

  bool Connect()
  {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = ToSocketAddress(mAddress);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
        0) {
      ::close(socket);
      return false;
    }
    mStream = std::make_unique<Stream>(socket);
    return true;
  }
  /// @brief The connection; null before the first exchange and after a failed one.
  Stream* Connection() { return mStream.get(); }
  /// @brief The head that was read last.
  const std::string& Head() const { return mHead; }

private:
  Address mAddress;
  std::unique_ptr<Stream> mStream;
  std::string mHead;
};

} // namespace review
