/// @file
/// @brief A gateway with fake upstreams on loopback, which use a test protocol.
#pragma once

#include "tests/standins/connection_server.hpp"
#include "wasabispar/gateway/gateway.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar {

/// @brief How a fake upstream answers.
enum class FakeBehaviour
{
  /// Answers with status 200.
  Answer,
  /// Replies that it did not run the request.
  Shed,
  /// Runs the request, then closes the connection without an answer.
  LoseAnswer,
  /// Does not answer.
  Silent,
  /// Answers with the request id of another request.
  WrongRequestId,
  /// Sends each answer twice, in one packet.
  AnswerTwice,
  /// Sends the answer to the previous request of the connection once more, before the
  /// answer to this one.
  RepeatPrevious,
  /// Replies that the address belongs to another upstream.
  WrongUpstream,
  /// Runs the request and replies that it failed.
  Fail,
};

/// @brief A fake upstream. Its public members may be changed only before requests are
/// sent or on the worker.
class FakeUpstream
{
public:
  FakeUpstream(Worker& aWorker, std::string aId);

  /// @brief The registry entry of this upstream for a service.
  UpstreamRecord Record(const std::string& aService) const;
  /// @brief Number of received requests.
  std::uint64_t Requests() const { return mRequests; }
  /// @brief Number of requests whose connection the gateway closed before the answer.
  std::uint64_t Abandoned() const { return mAbandoned; }
  /// @brief Number of connections that carried requests.
  std::uint64_t Connections() const { return mConnections; }
  /// @brief The time left in milliseconds that the last request stated; empty before the
  /// first request.
  std::string LastTimeLeft() const;
  /// @brief Stops listening and resets all connections.
  void Kill();
  /// @brief Listens again after Kill().
  void Restart();
  /// @brief Number of connections that are open now.
  std::size_t OpenConnections() const { return mServer->Counts().mOpen; }

  FakeBehaviour mBehaviour = FakeBehaviour::Answer;
  /// A request with this path ends the upstream's process before any answer, as Kill()
  /// does; empty: no request does.
  std::string mCrashPath;
  /// Sent in place of the status of each answer; empty: the status is that of the
  /// answer.
  std::string mStatusText;
  /// Further headers of each answer.
  std::vector<HttpHeader> mExtraHeaders;
  /// Time from a request to its answer.
  Duration mDelay{};
  /// The start time and the cold time in the registry entry.
  std::uint64_t mStartedUnixMs = 0;
  std::optional<WarmupNotice> mWarmup;
  /// The data centre in the registry entry, which is also the region of the upstream.
  std::string mDataCentre;
  std::string mBody = "body";

private:
  void Handle(const standins::ExchangePtr& aExchange);
  void Answer(const standins::ExchangePtr& aExchange);
  /// Answers more than once, by mBehaviour.
  void AnswerAgain(const standins::ExchangePtr& aExchange, const HttpResponse& aResponse);

  Worker& mWorker;
  std::string mId;
  std::uint16_t mPort = 0;
  std::unique_ptr<standins::ConnectionServer> mServer;
  std::atomic<std::uint64_t> mRequests{ 0 };
  std::atomic<std::uint64_t> mAbandoned{ 0 };
  std::atomic<std::uint64_t> mConnections{ 0 };
  std::vector<Subscription> mTimers;
  /// Exchanges of FakeBehaviour::Silent, kept open.
  std::vector<standins::ExchangePtr> mUnansweredExchanges;
  mutable std::mutex mMutex;
  std::string mLastTimeLeft;
  /// Number of requests by address of the connection's peer.
  std::map<std::string, int> mRequestsByPeer;
  /// The bytes of the last answer by address of the connection's peer.
  std::map<std::string, std::string> mLastAnswerByPeer;
};

/// @brief The response to a request and the time it took.
struct GatewayAnswer
{
  HttpResponse mResponse;
  Duration mTook{};
};

/// @brief Type of ServicePoolOptions::mConnectionQuotas.
using QuotasFn = std::function<std::vector<ConnectionQuota>(
  const std::vector<UpstreamRecord>&, std::uint32_t)>;

/// @brief A gateway on a worker of its own, with its upstreams.
class GatewayFixture
{
public:
  /// @param aQuotas the connection quotas of the gateway; if empty, it uses all
  /// connections.
  /// @param aMemory see GatewayOptions::mMemory; with a budget, this VM may have @p
  /// aLargeRequestShare bytes of large requests in flight to one upstream.
  /// @param aVmCapacity see GatewayOptions::mVmCapacity.
  explicit GatewayFixture(QuotasFn aQuotas = {},
                          std::shared_ptr<MemoryBudget> aMemory = nullptr,
                          std::uint64_t aLargeRequestShare = 0,
                          const VmCapacity& aVmCapacity = {});
  ~GatewayFixture();

  /// @brief Adds an upstream of @p aService and waits until the gateway has processed the
  /// change.
  FakeUpstream& Add(const std::string& aService, const std::string& aId,
                    const std::string& aDataCentre = "");
  /// @brief Adds an upstream whose connections never open, because the backlog of its
  /// listener is full. Returns its registry entry.
  UpstreamRecord AddUnconnectable(const std::string& aService, const std::string& aId);
  /// @brief Replaces the routes of the gateway. All services get @p aColdBound.
  void SetRoutes(std::vector<Route> aRoutes, const ColdBound& aColdBound = {});
  /// @brief Replaces this VM's shares of limits; null: none. At first it has all alone.
  void SetRateShare(FleetRateSharePtr aShare);
  /// @brief Sends a request for host `h` with the given timeout of the caller.
  std::future<GatewayAnswer> Send(const std::string& aPath, Duration aCallerTimeout,
                                  std::string aBody = "");
  /// @brief Sends a request and waits for its response.
  GatewayAnswer SendAndWait(const std::string& aPath,
                            Duration aCallerTimeout = std::chrono::seconds(2));
  /// @brief Disconnects the caller of the last request.
  void DisconnectCaller();
  /// @brief Runs @p aFn on the worker and waits for it.
  void OnWorker(const std::function<void()>& aFn);
  Worker& GatewayWorker() { return mWorker; }
  Gateway& GatewayUnderTest() { return *mGateway; }
  Metrics& MetricsUnderTest() { return mMetrics; }
  /// @brief Sets what GatewayOptions::mIsLargeFleet returns, and waits until the gateway
  /// has read it.
  void SetLargeFleet();
  /// @brief Writes the entry of an upstream to the registry once more, as serving.
  void WriteAgain(const FakeUpstream& aUpstream, const std::string& aService);

private:
  Metrics mMetrics;
  Worker mWorker;
  std::vector<std::unique_ptr<FakeUpstream>> mUpstreams;
  std::unique_ptr<Gateway> mGateway;
  /// The listeners of AddUnconnectable() and the connections that fill their backlogs.
  std::vector<std::unique_ptr<boost::asio::ip::tcp::acceptor>> mFullListeners;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> mBacklogConnections;
  FleetRateSharePtr mRateShare;
  UpstreamDirectory mDirectory;
  /// Revision of the last entry in mDirectory.
  std::uint64_t mRevision = 0;
  /// Version of the current route table.
  std::uint64_t mVersion = 0;
  std::uint64_t mNextId = 0;
  /// Used on the worker.
  bool mIsLargeFleet = false;
  /// Of the last request sent.
  std::shared_ptr<DisconnectNotifier> mLastDisconnectNotifier;
};

/// @brief A route of host `h` with path prefix `/<name>/`, at most 2 attempts, a timeout
/// of 1 s and an objective of 300 ms.
Route
MakeRoute(const std::string& aName, RouteTarget aTarget, bool aIsIdempotent = true);

} // namespace wasabispar
