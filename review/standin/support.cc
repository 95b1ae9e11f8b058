/// @file
/// @brief Time, the record of a run, and HTTP/1.1 over blocking sockets.
#include "support.hh"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <iomanip>
#include <sstream>

namespace standin {

namespace {

using Clock = std::chrono::steady_clock;
const Clock::time_point kStart = Clock::now();

sockaddr_in
Address(const std::string& aIp, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

/// Makes close() send a reset.
void
ResetOnClose(int aSocket)
{
  const linger option{ 1, 0 };
  setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

bool
WriteAll(int aSocket, const std::string& aBytes)
{
  std::size_t at = 0;
  while (at < aBytes.size()) {
    const auto sent = send(aSocket, aBytes.data() + at, aBytes.size() - at, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    at += static_cast<std::size_t>(sent);
  }
  return true;
}

/// Appends what arrives until @p aDeadline; false at the end of the stream or time.
bool
ReadMore(int aSocket, std::string& aBuffer, double aDeadline)
{
  pollfd item{ aSocket, POLLIN, 0 };
  const auto left = std::max(0.0, aDeadline - Now());
  if (poll(&item, 1, static_cast<int>(left * 1000) + 1) <= 0) {
    return false;
  }
  char bytes[16384];
  const auto count = recv(aSocket, bytes, sizeof bytes, 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

/// A message with a length: its first line, headers and body.
struct Message
{
  std::string mFirstLine;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

std::optional<Message>
ReadMessage(int aSocket, std::string& aBuffer, double aDeadline)
{
  std::size_t end = 0;
  while ((end = aBuffer.find("\r\n\r\n")) == std::string::npos) {
    if (!ReadMore(aSocket, aBuffer, aDeadline)) {
      return std::nullopt;
    }
  }
  Message message;
  std::istringstream head(aBuffer.substr(0, end));
  aBuffer.erase(0, end + 4);
  std::string line;
  std::getline(head, message.mFirstLine);
  while (std::getline(head, line)) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    auto value = line.substr(line.find_first_not_of(' ', colon + 1));
    value.erase(value.find_last_not_of("\r ") + 1);
    message.mHeaders[Lower(line.substr(0, colon))] = value;
  }
  const auto length = message.mHeaders.find("content-length");
  const auto size = length == message.mHeaders.end() ? 0 : std::stoul(length->second);
  while (aBuffer.size() < size) {
    if (!ReadMore(aSocket, aBuffer, aDeadline)) {
      return std::nullopt;
    }
  }
  message.mBody = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return message;
}

std::string
Unescaped(const std::string& aText)
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      text += static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      text += aText[i];
    }
  }
  return text;
}

Request
ToRequest(Message aMessage)
{
  Request request;
  std::istringstream line(aMessage.mFirstLine);
  std::string target;
  line >> request.mMethod >> target;
  const auto mark = target.find('?');
  request.mPath = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::istringstream query(target.substr(mark + 1));
    std::string item;
    while (std::getline(query, item, '&')) {
      const auto equals = item.find('=');
      if (equals != std::string::npos) {
        request.mQuery[item.substr(0, equals)] = Unescaped(item.substr(equals + 1));
      }
    }
  }
  request.mHeaders = std::move(aMessage.mHeaders);
  request.mBody = std::move(aMessage.mBody);
  return request;
}

} // namespace

double
Now()
{
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void
SleepUntil(double aTime)
{
  SleepFor(aTime - Now());
}

void
SleepFor(double aSeconds)
{
  if (aSeconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(aSeconds));
  }
}

Record::Record(const std::string& aPath)
  : mFile(aPath)
{
}

void
Record::Line(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  mFile << std::fixed << std::setprecision(3) << std::setw(8) << Now() << "  " << aText
        << "\n"
        << std::flush;
}

std::string
Request::Header(const std::string& aName) const
{
  const auto found = mHeaders.find(aName);
  return found == mHeaders.end() ? "" : found->second;
}

std::string
Request::QueryOr(const std::string& aName, const std::string& aDefault) const
{
  const auto found = mQuery.find(aName);
  return found == mQuery.end() ? aDefault : found->second;
}

Server::Server(Handler aHandler)
  : mHandler(std::move(aHandler))
{
}

int
Server::Listen(const std::string& aIp)
{
  mListener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto address = Address(aIp, 0);
  socklen_t size = sizeof address;
  if (bind(mListener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(mListener, 512) != 0) {
    return 0;
  }
  getsockname(mListener, reinterpret_cast<sockaddr*>(&address), &size);
  std::thread([this] { Accept(); }).detach();
  return ntohs(address.sin_port);
}

void
Server::Accept()
{
  while (!mIsStopped) {
    pollfd item{ mListener, POLLIN, 0 };
    if (poll(&item, 1, 100) <= 0) {
      continue;
    }
    const int accepted = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      continue;
    }
    if (mRefuses || mIsStopped) {
      ResetOnClose(accepted);
      close(accepted);
      continue;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    {
      const std::lock_guard lock(mMutex);
      mSockets.insert(accepted);
    }
    std::thread([this, accepted] { Serve(accepted); }).detach();
  }
  close(mListener);
}

void
Server::Serve(int aSocket)
{
  constexpr double kForever = 1e6;
  std::string buffer;
  while (!mIsStopped) {
    auto message = ReadMessage(aSocket, buffer, kForever);
    if (!message) {
      break;
    }
    const auto response = mHandler(ToRequest(std::move(*message)));
    if (IsSilent(aSocket)) {
      continue;
    }
    if (!response) {
      ResetOnClose(aSocket);
      break;
    }
    std::string bytes = "HTTP/1.1 " + std::to_string(response->mStatus) + " Status\r\n";
    for (const auto& [name, value] : response->mHeaders) {
      bytes += name + ": " + value + "\r\n";
    }
    bytes += "Content-Length: " + std::to_string(response->mBody.size()) + "\r\n\r\n" +
             response->mBody;
    if (!WriteAll(aSocket, bytes)) {
      break;
    }
  }
  {
    const std::lock_guard lock(mMutex);
    mSockets.erase(aSocket);
    mSilentSockets.erase(aSocket);
  }
  close(aSocket);
}

void
Server::ResetAll()
{
  const std::lock_guard lock(mMutex);
  for (const int socket : mSockets) {
    ResetOnClose(socket);
    shutdown(socket, SHUT_RDWR);
  }
}

void
Server::Refuse(bool aRefuses)
{
  mRefuses = aRefuses;
  if (aRefuses) {
    ResetAll();
  }
}

void
Server::SilenceOpenConnections()
{
  const std::lock_guard lock(mMutex);
  mSilentSockets = mSockets;
}

bool
Server::IsSilent(int aSocket)
{
  const std::lock_guard lock(mMutex);
  return mSilentSockets.contains(aSocket);
}

void
Server::Abort()
{
  mIsStopped = true;
  ResetAll();
}

int
FreePort(const std::vector<std::string>& aIps)
{
  for (int tries = 0; tries < 200; ++tries) {
    std::vector<int> sockets;
    int port = 0;
    bool isFree = true;
    for (const auto& ip : aIps) {
      const int item = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockets.push_back(item);
      auto address = Address(ip, port);
      socklen_t size = sizeof address;
      isFree = isFree && bind(item, reinterpret_cast<sockaddr*>(&address), size) == 0;
      getsockname(item, reinterpret_cast<sockaddr*>(&address), &size);
      port = ntohs(address.sin_port);
    }
    for (const int item : sockets) {
      close(item);
    }
    if (isFree) {
      return port;
    }
  }
  return 0;
}

Answer
Call(const std::string& aIp, int aPort, const std::string& aMethod,
     const std::string& aTarget, const Headers& aHeaders, const std::string& aBody,
     double aTimeout)
{
  const auto deadline = Now() + aTimeout;
  const int item = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const auto address = Address(aIp, aPort);
  Answer answer;
  if (connect(item, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    std::string bytes = aMethod + " " + aTarget + " HTTP/1.1\r\n";
    for (const auto& [name, value] : aHeaders) {
      bytes += name + ": " + value + "\r\n";
    }
    if (!aBody.empty()) {
      bytes += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
    }
    WriteAll(item, bytes + "\r\n" + aBody);
    std::string buffer;
    if (auto message = ReadMessage(item, buffer, deadline)) {
      answer.mStatus = std::stoi(message->mFirstLine.substr(9, 3));
      answer.mHeaders = std::move(message->mHeaders);
      answer.mBody = std::move(message->mBody);
    }
  }
  close(item);
  return answer;
}

std::string
Base64(const std::string& aText)
{
  constexpr auto kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      group = group << 8 |
              (i + k < aText.size() ? static_cast<unsigned char>(aText[i + k]) : 0);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool isPadding = i + k > aText.size();
      encoded += isPadding ? '=' : kDigits[group >> (18 - 6 * k) & 63];
    }
  }
  return encoded;
}

} // namespace standin
