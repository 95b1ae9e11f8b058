/// @file
/// @brief A gateway between a test and fake upstreams on loopback, with a protocol of its
/// own.
#pragma once

#include "tests/standins/connection_server.hpp"
#include "wasabispar/gateway/gateway.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief How a fake upstream answers.
enum class FakeBehaviour
{
  Answer,
  /// Says that it did not run the request.
  Shed,
  /// Runs the request, then closes the connection without an answer.
  LoseAnswer,
  /// Never answers.
  Silent,
  /// Answers with the id of another request.
  WrongRequestId,
  /// Says that another upstream has the address.
  WrongUpstream,
  /// Runs the request and fails.
  Fail,
};

/// @brief One fake upstream. Its members are changed before requests are sent, or on the
/// worker.
class FakeUpstream
{
public:
  FakeUpstream(Worker& aWorker, std::string aId);

  UpstreamRecord Record(const std::string& aService) const;
  std::uint64_t Requests() const { return mRequests; }
  /// @brief Requests whose connection the gateway closed before the answer.
  std::uint64_t Abandoned() const { return mAbandoned; }
  std::uint64_t Connections() const { return mConnections; }
  std::string LastTimeLeft() const;
  /// @brief Stops listening and resets all connections.
  void Kill();

  FakeBehaviour mBehaviour = FakeBehaviour::Answer;
  Duration mDelay{};
  std::string mBody = "body";

private:
  void Handle(const standins::ExchangePtr& aExchange);
  void Answer(const standins::ExchangePtr& aExchange);

  Worker& mWorker;
  std::string mId;
  std::uint16_t mPort = 0;
  std::unique_ptr<standins::ConnectionServer> mServer;
  std::atomic<std::uint64_t> mRequests{ 0 };
  std::atomic<std::uint64_t> mAbandoned{ 0 };
  std::atomic<std::uint64_t> mConnections{ 0 };
  std::vector<Subscription> mTimers;
  /// Exchanges that never get an answer.
  std::vector<standins::ExchangePtr> mUnansweredExchanges;
  mutable std::mutex mMutex;
  std::string mLastTimeLeft;
  std::map<std::string, int> mPeers;
};

/// @brief The response to a request and the time it took.
struct GatewayAnswer
{
  HttpResponse mResponse;
  Duration mTook{};
};

/// @brief A running gateway with its upstreams.
class GatewayFixture
{
public:
  GatewayFixture();
  ~GatewayFixture();

  /// @brief Adds an upstream of @p aService and waits until the gateway is connected.
  FakeUpstream& Add(const std::string& aService, const std::string& aId);
  /// @brief Adds an upstream whose connections never open: its accept queue is full.
  void AddUnconnectable(const std::string& aService, const std::string& aId);
  /// @brief Routes host `h` by the given routes.
  void SetRoutes(std::vector<Route> aRoutes);
  std::future<GatewayAnswer> Send(const std::string& aPath, Duration aCallerTimeout);
  GatewayAnswer SendAndWait(const std::string& aPath,
                            Duration aCallerTimeout = std::chrono::seconds(2));
  /// @brief The caller of the last request leaves.
  void DisconnectCaller();
  /// @brief Runs @p aFn on the worker and waits for it.
  void OnWorker(const std::function<void()>& aFn);
  Gateway& GatewayUnderTest() { return *mGateway; }

private:
  Metrics mMetrics;
  Worker mWorker;
  std::vector<std::unique_ptr<FakeUpstream>> mUpstreams;
  std::unique_ptr<Gateway> mGateway;
  /// The listener and the connections that fill the queue of AddUnconnectable().
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> mFullListeners;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> mBacklogConnections;
  std::uint64_t mVersion = 0;
  std::uint64_t mNextId = 0;
  std::shared_ptr<DisconnectNotifier> mLastAbandon;
};

/// @brief A route of host `h` with path prefix `/<name>/`.
Route
MakeRoute(const std::string& aName, RouteTarget aTarget, bool aIsIdempotent = true);

} // namespace wasabispar
