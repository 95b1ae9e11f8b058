// Blocking HTTP/1.1 over loopback, one thread a connection. For the stand-ins of the
// review only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

inline double
Now()
{
  static const auto kStart = Clock::now();
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

inline void
Sleep(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

inline std::string
Lower(std::string aText)
{
  for (auto& c : aText) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return aText;
}

/// A request or a response. Header names are in lower case.
struct Message
{
  std::string mFirst;
  std::multimap<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const
  {
    const auto found = mHeaders.find(aName);
    return found == mHeaders.end() ? std::string() : found->second;
  }
  std::string Method() const { return mFirst.substr(0, mFirst.find(' ')); }
  std::string Target() const
  {
    const auto a = mFirst.find(' ');
    const auto b = mFirst.find(' ', a + 1);
    return a == std::string::npos ? std::string() : mFirst.substr(a + 1, b - a - 1);
  }
  int Status() const { return mFirst.size() < 12 ? 0 : std::atoi(mFirst.c_str() + 9); }
};

/// A connected socket with a read buffer.
class Connection
{
public:
  explicit Connection(int aFd = -1)
    : mFd(aFd)
  {
  }
  Connection(Connection&& aOther) noexcept
    : mFd(std::exchange(aOther.mFd, -1))
    , mBuffer(std::move(aOther.mBuffer))
  {
  }
  Connection& operator=(Connection&& aOther) noexcept
  {
    Close();
    mFd = std::exchange(aOther.mFd, -1);
    mBuffer = std::move(aOther.mBuffer);
    return *this;
  }
  ~Connection() { Close(); }

  bool IsOpen() const { return mFd >= 0; }
  int Fd() const { return mFd; }
  void Close()
  {
    if (mFd >= 0) {
      ::close(mFd);
      mFd = -1;
    }
    mBuffer.clear();
  }
  /// Closes with a reset.
  void Reset()
  {
    if (mFd >= 0) {
      const linger now{ 1, 0 };
      ::setsockopt(mFd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    }
    Close();
  }

  bool Connect(const std::string& aIp, int aPort)
  {
    Close();
    mFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    if (::connect(mFd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      Close();
      return false;
    }
    const int one = 1;
    ::setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return true;
  }

  bool Write(const std::string& aText)
  {
    std::size_t at = 0;
    while (at < aText.size()) {
      const auto n = ::send(mFd, aText.data() + at, aText.size() - at, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      at += static_cast<std::size_t>(n);
    }
    return true;
  }

  /// Reads one message with a length, in chunks or without a body. False if the
  /// connection ends, or nothing more arrives for @p timeout seconds.
  bool Read(Message& aMessage, double aTimeout)
  {
    aMessage = {};
    std::size_t end = 0;
    while ((end = mBuffer.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(aTimeout)) {
        return false;
      }
    }
    ParseHead(mBuffer.substr(0, end), aMessage);
    mBuffer.erase(0, end + 4);
    if (Lower(aMessage.Header("transfer-encoding")) == "chunked") {
      return ReadChunks(aMessage, aTimeout);
    }
    const auto length = aMessage.Header("content-length");
    const std::size_t wanted = length.empty() ? 0 : std::stoul(length);
    while (mBuffer.size() < wanted) {
      if (!Fill(aTimeout)) {
        return false;
      }
    }
    aMessage.mBody = mBuffer.substr(0, wanted);
    mBuffer.erase(0, wanted);
    return true;
  }

private:
  int mFd;
  std::string mBuffer;

  bool Fill(double aTimeout)
  {
    pollfd wait{ mFd, POLLIN, 0 };
    if (::poll(&wait, 1, static_cast<int>(aTimeout * 1000)) <= 0) {
      return false;
    }
    char bytes[16384];
    const auto n = ::recv(mFd, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  static void ParseHead(const std::string& aHead, Message& aMessage)
  {
    std::size_t at = aHead.find("\r\n");
    aMessage.mFirst = aHead.substr(0, at);
    while (at != std::string::npos) {
      const auto next = aHead.find("\r\n", at + 2);
      const auto line =
        aHead.substr(at + 2, next == std::string::npos ? next : next - at - 2);
      const auto colon = line.find(':');
      if (colon != std::string::npos) {
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(" \t"));
        aMessage.mHeaders.emplace(Lower(line.substr(0, colon)), value);
      }
      at = next;
    }
  }

  bool ReadChunks(Message& aMessage, double aTimeout)
  {
    while (true) {
      std::size_t end = 0;
      while ((end = mBuffer.find("\r\n")) == std::string::npos) {
        if (!Fill(aTimeout)) {
          return false;
        }
      }
      const auto size = std::stoul(mBuffer.substr(0, end), nullptr, 16);
      while (mBuffer.size() < end + 2 + size + 2) {
        if (!Fill(aTimeout)) {
          return false;
        }
      }
      aMessage.mBody += mBuffer.substr(end + 2, size);
      mBuffer.erase(0, end + 2 + size + 2);
      if (size == 0) {
        return true;
      }
    }
  }
};

/// Listens on a loopback address and runs a handler in a thread for each connection.
class Server
{
public:
  using Handler = std::function<void(Connection&)>;

  Server(const std::string& aIp, Handler aHandler, int aPort = 0)
    : mHandler(std::move(aHandler))
  {
    mFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    if (::bind(mFd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(mFd, 512) != 0) {
      std::perror("listen");
      std::_Exit(2);
    }
    socklen_t size = sizeof address;
    ::getsockname(mFd, reinterpret_cast<sockaddr*>(&address), &size);
    mPort = ntohs(address.sin_port);
    std::thread([this] { Accept(); }).detach();
  }
  int Port() const { return mPort; }

private:
  int mFd = -1;
  int mPort = 0;
  Handler mHandler;

  void Accept()
  {
    while (true) {
      const int fd = ::accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        continue;
      }
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      std::thread([this, fd] {
        Connection connection(fd);
        mHandler(connection);
      }).detach();
    }
  }
};

/// A free port on the address.
inline int
FreePort(const std::string& aIp)
{
  static std::atomic<int> sNext{ 0 };
  for (;;) {
    // Below the range from which the kernel takes the ports of connections.
    const int port = 12000 + (static_cast<int>(::getpid()) * 37 + sNext++) % 18000;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
    const bool isFree =
      ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    if (isFree) {
      return port;
    }
  }
}

} // namespace review
