/// @file
/// @brief Time, the record of a run, and HTTP/1.1 over blocking sockets.
#pragma once

#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

/// Seconds since the start of the program.
double
Now();

void
SleepUntil(double aTime);

void
SleepFor(double aSeconds);

/// Writes lines with their time to record.txt.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

struct Request
{
  std::string mMethod;
  /// Path without the query.
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  /// Names in lower case.
  std::map<std::string, std::string> mHeaders;
  std::string mBody;

  std::string Header(const std::string& aName) const;
  std::string QueryOr(const std::string& aName, const std::string& aDefault) const;
};

struct Response
{
  int mStatus = 200;
  Headers mHeaders;
  std::string mBody;
};

/// A listening socket with one thread for each connection. Served connections stay open.
class Server
{
public:
  /// Returns the response, or nothing to reset the connection.
  using Handler = std::function<std::optional<Response>(const Request&)>;

  explicit Server(Handler aHandler);
  /// Listens on a free port and returns it.
  int Listen(const std::string& aIp);
  /// Resets all connections; while @p aRefuses, resets each new one too.
  void Refuse(bool aRefuses);
  /// Answers nothing more on the connections that are open now and keeps them open.
  void SilenceOpenConnections();
  /// Closes the listener and resets all connections.
  void Abort();

private:
  void Accept();
  void Serve(int aSocket);
  void ResetAll();
  bool IsSilent(int aSocket);

  Handler mHandler;
  int mListener = -1;
  std::atomic<bool> mIsStopped{ false };
  std::atomic<bool> mRefuses{ false };
  std::mutex mMutex;
  std::set<int> mSockets;
  std::set<int> mSilentSockets;
};

/// A port that is free on all of @p aIps.
int
FreePort(const std::vector<std::string>& aIps);

/// The answer to one attempt of a client; mStatus is 0 when there was none.
struct Answer
{
  int mStatus = 0;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

/// Sends one request on a new connection and waits for the whole answer.
Answer
Call(const std::string& aIp, int aPort, const std::string& aMethod,
     const std::string& aTarget, const Headers& aHeaders, const std::string& aBody,
     double aTimeout);

std::string
Base64(const std::string& aText);

} // namespace standin
