/// @file
/// @brief Fake upstreams, the gateway of the tests and the test protocol.
#include "gateway_fixture.hpp"

#include "tests/worker_calls.hpp"

#include <thread>

namespace wasabispar {

namespace {

constexpr auto kRequestIdHeader = "Test-Id";
constexpr auto kTimeLeftHeader = "Test-Left-Ms";
constexpr auto kSignatureHeader = "Test-Signature";
constexpr auto kLeavingHeader = "Test-Leaving";
constexpr auto kLimitHeader = "Test-Limit";
/// Running requests, or "malformed".
constexpr auto kLoadHeader = "Test-Load";
constexpr auto kQuietHeader = "Test-Quiet-Ms";
constexpr auto kWarmupHeader = "Test-Warmup-Ms";

/// The test protocol between callers and the gateway.
CallerProtocol
TestCallers()
{
  CallerProtocol protocol;
  protocol.mDecode = [](HttpRequest aRequest) {
    CallerRequest request;
    request.mId = CallerRequestId(std::string(aRequest.Header(kRequestIdHeader)));
    request.mHost = "h";
    request.mCallerTimeout = std::chrono::milliseconds(
      std::stoll(std::string(aRequest.Header(kTimeLeftHeader))));
    std::erase_if(aRequest.mHeaders, [](const HttpHeader& aHeader) {
      return aHeader.mName == kTimeLeftHeader;
    });
    request.mHttpRequest = std::move(aRequest);
    return std::optional(std::move(request));
  };
  protocol.mEncodeMerged = [](const MergedAnswer& aAnswer) {
    HttpResponse response;
    response.mHeaders.push_back({ "Test-Parts", std::to_string(aAnswer.mParts.size()) });
    response.mHeaders.push_back(
      { "Test-Missing", std::to_string(aAnswer.mMissingCount) });
    for (const auto& part : aAnswer.mParts) {
      response.mHeaders.push_back({ kSignatureHeader, part.Text() });
    }
    response.mBody = aAnswer.mRecords;
    return response;
  };
  protocol.mEncodeRefusal = [](const Refusal& aRefusal) {
    HttpResponse response;
    response.mStatus = 599;
    response.mBody = std::string(ToText(aRefusal.mReason));
    if (aRefusal.mRetryAfter) {
      response.mHeaders.push_back(
        { "Test-Retry-Ms", std::to_string(ToMilliseconds(*aRefusal.mRetryAfter)) });
    }
    return response;
  };
  return protocol;
}

UpstreamReply::Kind
KindOf(const CallerRequest& aRequest, const HttpResponse& aResponse)
{
  if (aResponse.Header(kRequestIdHeader) != aRequest.mId.Text()) {
    return UpstreamReply::Kind::Invalid;
  }
  switch (aResponse.mStatus) {
    case 200:
      return UpstreamReply::Kind::Answer;
    case 429:
      return UpstreamReply::Kind::NotRun;
    case 421:
      return UpstreamReply::Kind::WrongUpstream;
    default:
      return UpstreamReply::Kind::Failure;
  }
}

/// The test protocol between the gateway and upstreams.
UpstreamProtocol
TestUpstreams()
{
  UpstreamProtocol protocol;
  protocol.mEncode = [](const CallerRequest& aRequest, const UpstreamId&,
                        Duration aTimeLeft) {
    auto message = aRequest.mHttpRequest;
    message.mDisconnectNotifier = nullptr;
    message.mHeaders.push_back(
      { kTimeLeftHeader, std::to_string(ToMilliseconds(aTimeLeft)) });
    return message;
  };
  protocol.mDecode = [](const CallerRequest& aRequest, HttpResponse aResponse) {
    UpstreamReply reply;
    reply.mKind = KindOf(aRequest, aResponse);
    reply.mSignature = AnswerSignature(std::string(aResponse.Header(kSignatureHeader)));
    reply.mIsLeaving = !aResponse.Header(kLeavingHeader).empty();
    if (const auto limit = aResponse.Header(kLimitHeader); !limit.empty()) {
      reply.mRequestLimit = std::stod(std::string(limit));
    }
    if (const auto load = aResponse.Header(kLoadHeader); load == "malformed") {
      reply.mInvalidLoad = load;
    } else if (!load.empty()) {
      reply.mLoad =
        LoadReport{ static_cast<std::uint32_t>(std::stoul(std::string(load))), 0, 4, {} };
    }
    if (const auto quiet = aResponse.Header(kQuietHeader); !quiet.empty()) {
      reply.mQuietTime = std::chrono::milliseconds(std::stoll(std::string(quiet)));
    }
    if (const auto warmup = aResponse.Header(kWarmupHeader); !warmup.empty()) {
      reply.mWarmupLeft = std::chrono::milliseconds(std::stoll(std::string(warmup)));
    }
    reply.mResponse = std::move(aResponse);
    return reply;
  };
  protocol.mMayReuse = [](const CallerRequest& aRequest, const HttpResponse& aResponse) {
    return aResponse.Header(kRequestIdHeader) == aRequest.mId.Text();
  };
  return protocol;
}

/// The bytes of a response with status 200.
std::string
ToBytes(const HttpResponse& aResponse)
{
  std::string bytes = "HTTP/1.1 200 OK\r\n";
  for (const auto& header : aResponse.mHeaders) {
    bytes += header.mName + ": " + header.mValue + "\r\n";
  }
  return bytes + "Content-Length: " + std::to_string(aResponse.mBody.size()) +
         "\r\n\r\n" + aResponse.mBody;
}

} // namespace

FakeUpstream::FakeUpstream(Worker& aWorker, std::string aId)
  : mWorker(aWorker)
  , mId(std::move(aId))
  , mServer(std::make_unique<standins::ConnectionServer>(
      aWorker.Context(), standins::ConnectionServerOptions{},
      [this](const standins::ExchangePtr& aExchange) { Handle(aExchange); }))
{
  mPort = mServer->Listen(0);
}

UpstreamRecord
FakeUpstream::Record(const std::string& aService) const
{
  UpstreamRecord record;
  record.mId = UpstreamId(mId);
  record.mService = ServiceName(aService);
  record.mAddress = UpstreamAddress("127.0.0.1:" + std::to_string(mPort));
  record.mSlots = 2;
  record.mDataCentre = DataCentreId(mDataCentre);
  record.mStartedUnixMs = mStartedUnixMs;
  record.mWarmup = mWarmup;
  return record;
}

void
FakeUpstream::Kill()
{
  mServer->Abort();
}

void
FakeUpstream::Restart()
{
  mServer = std::make_unique<standins::ConnectionServer>(
    mWorker.Context(), standins::ConnectionServerOptions{},
    [this](const standins::ExchangePtr& aExchange) { Handle(aExchange); });
  mServer->Listen(mPort);
}

std::string
FakeUpstream::LastTimeLeft() const
{
  std::lock_guard lock(mMutex);
  return mLastTimeLeft;
}

void
FakeUpstream::Handle(const standins::ExchangePtr& aExchange)
{
  ++mRequests;
  {
    std::lock_guard lock(mMutex);
    mLastTimeLeft = std::string(aExchange->Request().Header(kTimeLeftHeader));
    if (++mRequestsByPeer[aExchange->Request().mPeer] == 1) {
      ++mConnections;
    }
  }
  if (aExchange->Request().Path() == mCrashPath) {
    // The server must not end within its own callback.
    mWorker.Post([this] { Kill(); });
    return;
  }
  aExchange->OnGone([this] { ++mAbandoned; });
  if (mBehaviour == FakeBehaviour::Silent) {
    mUnansweredExchanges.push_back(aExchange);
    return;
  }
  if (mDelay == Duration{}) {
    Answer(aExchange);
    return;
  }
  mTimers.push_back(
    mWorker.Timers().After(mDelay, [this, aExchange] { Answer(aExchange); }));
}

void
FakeUpstream::Answer(const standins::ExchangePtr& aExchange)
{
  HttpResponse response;
  response.mContentType = "text/plain";
  response.mHeaders.push_back(
    { kRequestIdHeader, std::string(aExchange->Request().Header(kRequestIdHeader)) });
  response.mHeaders.push_back({ kSignatureHeader, "signed-by-" + mId });
  response.mHeaders.insert(response.mHeaders.end(), mExtraHeaders.begin(),
                           mExtraHeaders.end());
  response.mBody = mBody;
  switch (mBehaviour) {
    case FakeBehaviour::Shed:
      response.mStatus = 429;
      break;
    case FakeBehaviour::LoseAnswer:
      mServer->ResetConnections();
      return;
    case FakeBehaviour::WrongRequestId:
      response.mHeaders.front().mValue = "another";
      break;
    case FakeBehaviour::WrongUpstream:
      response.mStatus = 421;
      break;
    case FakeBehaviour::Fail:
      response.mStatus = 500;
      break;
    case FakeBehaviour::AnswerTwice:
    case FakeBehaviour::RepeatPrevious:
      AnswerAgain(aExchange, response);
      return;
    case FakeBehaviour::Answer:
    case FakeBehaviour::Silent:
      break;
  }
  if (!mStatusText.empty()) {
    constexpr std::size_t kStatusAt = std::string_view("HTTP/1.1 ").size();
    aExchange->RespondRaw(ToBytes(response).replace(kStatusAt, 3, mStatusText), true);
    return;
  }
  aExchange->Respond(std::move(response));
}

void
FakeUpstream::AnswerAgain(const standins::ExchangePtr& aExchange,
                          const HttpResponse& aResponse)
{
  const auto bytes = ToBytes(aResponse);
  auto& last = mLastAnswerByPeer[aExchange->Request().mPeer];
  const auto first = mBehaviour == FakeBehaviour::AnswerTwice ? bytes : last;
  last = bytes;
  aExchange->RespondRaw(first + bytes, true);
}

GatewayFixture::GatewayFixture(QuotasFn aQuotas, std::shared_ptr<MemoryBudget> aMemory,
                               std::uint64_t aLargeRequestShare,
                               const VmCapacity& aVmCapacity)
{
  GatewayOptions options;
  options.mVmCapacity = aVmCapacity;
  options.mMemory = std::move(aMemory);
  if (options.mMemory) {
    options.mPools.mLargeRequestShare = [aLargeRequestShare] {
      return aLargeRequestShare;
    };
  }
  options.mPools.mConnectionQuotas = std::move(aQuotas);
  options.mPools.mIsRemote = [](const DataCentreId&) { return false; };
  options.mPools.mRegionOf = [](const DataCentreId& aDataCentre) {
    return RegionId(aDataCentre.Text());
  };
  options.mPools.mExtraLoad.mReserve = 100;
  const VmId self("self");
  mRateShare = std::make_shared<const FleetRateShare>(self, std::vector{ self });
  options.mPools.mRateShare = [this] { return mRateShare; };
  options.mIsLargeFleet = [this] { return mIsLargeFleet; };
  options.mOnLeavingAnnounced = [this](const UpstreamRecord& aRecord) {
    mGateway->OnUpstreamChanges(mDirectory.OnLeavingAnnounced(aRecord, BootClock::now()));
  };
  OnWorker([&] {
    mGateway = std::make_unique<Gateway>(mWorker, options, TestCallers(), TestUpstreams(),
                                         mMetrics);
  });
}

GatewayFixture::~GatewayFixture()
{
  mWorker.Stop();
}

void
GatewayFixture::SetLargeFleet()
{
  OnWorker([this] { mIsLargeFleet = true; });
  // Longer than the period of the gateway's maintenance.
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
}

FakeUpstream&
GatewayFixture::Add(const std::string& aService, const std::string& aId,
                    const std::string& aDataCentre)
{
  OnWorker([&] {
    mUpstreams.push_back(std::make_unique<FakeUpstream>(mWorker, aId));
    mUpstreams.back()->mDataCentre = aDataCentre;
    mGateway->OnUpstreamChanges(mDirectory.Upsert(
      { mUpstreams.back()->Record(aService), { RegistryEra(), Revision(++mRevision) } }));
  });
  return *mUpstreams.back();
}

void
GatewayFixture::WriteAgain(const FakeUpstream& aUpstream, const std::string& aService)
{
  OnWorker([&] {
    mGateway->OnUpstreamChanges(mDirectory.Upsert(
      { aUpstream.Record(aService), { RegistryEra(), Revision(++mRevision) } }));
  });
}

UpstreamRecord
GatewayFixture::AddUnconnectable(const std::string& aService, const std::string& aId)
{
  using boost::asio::ip::tcp;
  constexpr int kBacklogConnections = 4;
  UpstreamRecord record;
  OnWorker([&] {
    const tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    auto listener = std::make_unique<tcp::acceptor>(mWorker.Context());
    listener->open(any.protocol());
    listener->bind(any);
    listener->listen(0);
    for (int i = 0; i < kBacklogConnections; ++i) {
      mBacklogConnections.push_back(std::make_unique<tcp::socket>(mWorker.Context()));
      mBacklogConnections.back()->async_connect(listener->local_endpoint(),
                                                [](boost::system::error_code) {});
    }
    record.mId = UpstreamId(aId);
    record.mService = ServiceName(aService);
    record.mAddress =
      UpstreamAddress("127.0.0.1:" + std::to_string(listener->local_endpoint().port()));
    record.mSlots = 2;
    mFullListeners.push_back(std::move(listener));
    mGateway->OnUpstreamChanges({ { UpstreamChange::Kind::Added, record } });
  });
  return record;
}

void
GatewayFixture::SetRateShare(FleetRateSharePtr aShare)
{
  OnWorker([&] { mRateShare = std::move(aShare); });
}

void
GatewayFixture::SetRoutes(std::vector<Route> aRoutes, const ColdBound& aColdBound)
{
  std::map<ServiceName, ServiceDefinition> services;
  OnWorker([&] {
    std::vector<ServiceDefinition> definitions;
    for (const auto& route : aRoutes) {
      if (const auto* fanOut = std::get_if<FanOutTarget>(&route.mTarget)) {
        for (const auto& shard : fanOut->mShards) {
          definitions.push_back({ shard, 16, aColdBound });
        }
      } else if (const auto* service = std::get_if<ServiceName>(&route.mTarget)) {
        definitions.push_back({ *service, 16, aColdBound });
      }
    }
    mGateway->SetRoutes(std::make_shared<const RouteTable>(
      RouteTableVersion(++mVersion), std::move(aRoutes), std::move(definitions),
      CallerLimits{}));
  });
}

std::future<GatewayAnswer>
GatewayFixture::Send(const std::string& aPath, Duration aCallerTimeout, std::string aBody)
{
  auto promise = std::make_shared<std::promise<GatewayAnswer>>();
  auto future = promise->get_future();
  HttpRequest request;
  request.mTarget = aPath;
  request.mContentType.clear();
  request.mBody = std::move(aBody);
  request.mHeaders.push_back(
    { kRequestIdHeader, "request-" + std::to_string(++mNextId) });
  request.mHeaders.push_back(
    { kTimeLeftHeader, std::to_string(ToMilliseconds(aCallerTimeout)) });
  request.mDisconnectNotifier = mLastDisconnectNotifier =
    std::make_shared<DisconnectNotifier>();
  mWorker.Post([this, promise, request = std::move(request)]() mutable {
    const auto start = BootClock::now();
    mGateway->Handle(std::move(request), [promise, start](HttpResponse aResponse) {
      // As the server does once it has written the response; the budget belongs to the
      // worker.
      aResponse.mReservedMemory = nullptr;
      promise->set_value({ std::move(aResponse), BootClock::now() - start });
    });
  });
  return future;
}

GatewayAnswer
GatewayFixture::SendAndWait(const std::string& aPath, Duration aCallerTimeout)
{
  return Send(aPath, aCallerTimeout).get();
}

void
GatewayFixture::DisconnectCaller()
{
  OnWorker([this] { mLastDisconnectNotifier->Notify(); });
}

void
GatewayFixture::OnWorker(const std::function<void()>& aFn)
{
  RunAndWait(mWorker, aFn);
}

Route
MakeRoute(const std::string& aName, RouteTarget aTarget, bool aIsIdempotent)
{
  Route route;
  route.mName = RouteName(aName);
  route.mHost = "h";
  route.mPathPrefix = "/" + aName + "/";
  route.mTarget = std::move(aTarget);
  route.mIsIdempotent = aIsIdempotent;
  route.mMaxAttempts = 2;
  route.mTimeout = std::chrono::seconds(1);
  route.mObjective = std::chrono::milliseconds(300);
  return route;
}

} // namespace wasabispar
