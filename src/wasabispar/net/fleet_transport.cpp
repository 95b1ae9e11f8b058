/// @file
/// @brief FleetTransport on nng: one push socket per peer and one pull socket for all
/// received messages.
#include "wasabispar/net/fleet_transport.hpp"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <arpa/inet.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace wasabispar {

namespace {

constexpr nng_duration kMinReconnectDelayMs = 50;
constexpr nng_duration kMaxReconnectDelayMs = 1000;
/// Number of closed connections whose addresses are kept, because a message may be read
/// after its connection was closed.
constexpr std::size_t kMaxClosedPipeAddresses = 256;

struct RemoteAddress
{
  std::string mIp;
  /// `ip:port`.
  std::string mText;
};

/// Converts an address of nng; empty if it is neither IPv4 nor IPv6.

RemoteAddress
ToAddress(const nng_sockaddr& aAddress)
{
  char text[INET6_ADDRSTRLEN] = {};
  if (aAddress.s_family == NNG_AF_INET) {
    in_addr address{};
    address.s_addr = aAddress.s_in.sa_addr;
    inet_ntop(AF_INET, &address, text, sizeof text);
    return { text,
             std::string(text) + ":" + std::to_string(ntohs(aAddress.s_in.sa_port)) };
  }
  if (aAddress.s_family == NNG_AF_INET6) {
    inet_ntop(AF_INET6, aAddress.s_in6.sa_addr, text, sizeof text);
    return { text, "[" + std::string(text) +
                     "]:" + std::to_string(ntohs(aAddress.s_in6.sa_port)) };
  }
  return {};
}

boost::leaf::error_id
NngFailure(std::string_view aCall, const std::string& aEndpoint, int aCode)
{
  return Fail(Error{ Step::FleetMessage, aEndpoint, Outcome::NotRun,
                     std::string(aCall) + ": " + nng_strerror(aCode) });
}

} // namespace

struct FleetTransport::State : std::enable_shared_from_this<State>
{
  struct OutgoingMessage
  {
    std::string mBytes;
    SentFn mOnSent;
    TimePoint mDeadline{};
  };

  /// The push socket, dialer and message queue of one peer. Owned by mPeers; Close() must
  /// be called before destruction.
  struct Peer : std::enable_shared_from_this<Peer>
  {
    Peer(State& aOwner, std::string aEndpoint)
      : mOwner(aOwner)
      , mEndpoint(std::move(aEndpoint))
    {
    }

    /// Opens the socket and starts to dial in the background. Returns an nng error code;
    /// 0 is success.
    int Open()
    {
      if (const int code = nng_push0_open(&mSocket)) {
        return code;
      }
      mHasSocket = true;
      if (const int code = nng_aio_alloc(&mSendAio, &Peer::OnSent, this)) {
        return code;
      }
      nng_dialer dialer;
      if (const int code = nng_dialer_create(&dialer, mSocket, mEndpoint.c_str())) {
        return code;
      }
      nng_dialer_set_ms(dialer, NNG_OPT_RECONNMINT, kMinReconnectDelayMs);
      nng_dialer_set_ms(dialer, NNG_OPT_RECONNMAXT, kMaxReconnectDelayMs);
      if (mOwner.mLocalAddress) {
        nng_dialer_set_addr(dialer, NNG_OPT_LOCADDR, &*mOwner.mLocalAddress);
      }
      return nng_dialer_start(dialer, NNG_FLAG_NONBLOCK);
    }

    /// Queues @p aMessage and starts to send if no send is running. Reports failure if
    /// the queue is full or the peer is closed.
    void Enqueue(OutgoingMessage aMessage)
    {
      bool starts = false;
      {
        const std::lock_guard lock(mMutex);
        if (!mIsClosed && HasRoom(aMessage.mBytes.size())) {
          mQueuedBytes += aMessage.mBytes.size();
          mQueue.push_back(std::exchange(aMessage, {}));
          starts = !std::exchange(mIsBusy, true);
          if (!starts) {
            return;
          }
        }
      }
      if (starts) {
        SendNext();
        return;
      }
      ++mOwner.mQueueFull;
      mOwner.ReportSendResult(std::move(aMessage.mOnSent), false);
    }

    /// Whether the queue takes another message of @p aBytes bytes. Needs mMutex.
    bool HasRoom(std::size_t aBytes) const
    {
      const auto& options = mOwner.mOptions;
      return mQueue.size() < options.mMaxQueuedMessagesPerPeer &&
             mQueuedBytes + aBytes <= options.mMaxQueuedBytesPerPeer;
    }

    /// Starts the next send and fails expired messages. The caller must own mIsBusy, so
    /// that only one thread at a time runs this function.
    void SendNext()
    {
      std::vector<OutgoingMessage> expired;
      nng_msg* message = nullptr;
      {
        std::unique_lock lock(mMutex);
        // OnSent(), which posted this call, may not have returned yet.
        mSendIdle.wait(lock, [&] { return !mIsInFlight; });
        if (mIsClosed) {
          return;
        }
        const auto now = BootClock::now();
        while (!mQueue.empty() && !message) {
          auto head = std::move(mQueue.front());
          mQueue.pop_front();
          mQueuedBytes -= head.mBytes.size();
          const auto left = ToMilliseconds(head.mDeadline - now);
          message = left > 0 ? MakeMessage(head.mBytes) : nullptr;
          if (!message) {
            expired.push_back(std::move(head));
            continue;
          }
          nng_aio_set_timeout(mSendAio, static_cast<nng_duration>(left));
          mCurrentBytes = head.mBytes.size();
          mCurrentOnSent = std::move(head.mOnSent);
        }
        mIsBusy = message != nullptr;
        mIsInFlight = mIsBusy;
      }
      for (auto& item : expired) {
        mOwner.ReportSendResult(std::move(item.mOnSent), false);
      }
      if (message) {
        // Waits until nng has finished the previous callback: overlapping callbacks made
        // nng_close() hang.
        nng_aio_wait(mSendAio);
        nng_aio_set_msg(mSendAio, message);
        nng_send_aio(mSocket, mSendAio);
      }
    }

    /// Returns null if out of memory.
    static nng_msg* MakeMessage(const std::string& aBytes)
    {
      nng_msg* message = nullptr;
      if (nng_msg_alloc(&message, aBytes.size()) != 0) {
        return nullptr;
      }
      std::copy(aBytes.begin(), aBytes.end(), static_cast<char*>(nng_msg_body(message)));
      return message;
    }

    /// nng callback of a send; runs on an nng thread. nng would complete a send started
    /// here in place, so that under load this function would never return. The next send
    /// is therefore started on the executor.
    static void OnSent(void* aSelf)
    {
      auto& self = *static_cast<Peer*>(aSelf);
      const bool isSent = nng_aio_result(self.mSendAio) == 0;
      if (!isSent) {
        nng_msg_free(nng_aio_get_msg(self.mSendAio));
        nng_aio_set_msg(self.mSendAio, nullptr);
      } else {
        ++self.mOwner.mMessagesOut;
        self.mOwner.mBytesOut += self.mCurrentBytes;
      }
      self.mOwner.ReportSendResult(std::exchange(self.mCurrentOnSent, {}), isSent);
      self.mOwner.Post([peer = self.shared_from_this()](State&) { peer->SendNext(); });
      const std::lock_guard lock(self.mMutex);
      self.mIsInFlight = false;
      self.mSendIdle.notify_all();
    }

    /// Fails the queued messages and releases the socket. Must not be called on an nng
    /// thread.
    void Close()
    {
      std::deque<OutgoingMessage> waiting;
      {
        const std::lock_guard lock(mMutex);
        mIsClosed = true;
        waiting.swap(mQueue);
      }
      if (mHasSocket) {
        // A running send ends with an error.
        nng_close(mSocket);
      }
      {
        std::unique_lock lock(mMutex);
        mSendIdle.wait(lock, [&] { return !mIsInFlight; });
      }
      if (mSendAio) {
        nng_aio_stop(mSendAio);
        nng_aio_free(mSendAio);
        mSendAio = nullptr;
      }
      for (auto& item : waiting) {
        mOwner.ReportSendResult(std::move(item.mOnSent), false);
      }
    }

    State& mOwner;
    const std::string mEndpoint;
    nng_socket mSocket = NNG_SOCKET_INITIALIZER;
    bool mHasSocket = false;
    nng_aio* mSendAio = nullptr;
    /// Guards the members below except mCurrentOnSent and mCurrentBytes, which belong to
    /// the owner of mIsBusy.
    std::mutex mMutex;
    std::condition_variable mSendIdle;
    std::deque<OutgoingMessage> mQueue;
    std::size_t mQueuedBytes = 0;
    /// Whether a send is running or about to be started. The thread that sets the flag
    /// owns it and passes the ownership on to the callback of the send.
    bool mIsBusy = false;
    /// Whether mSendAio is in use.
    bool mIsInFlight = false;
    bool mIsClosed = false;
    /// Callback and size of the message that is being sent.
    SentFn mCurrentOnSent;
    std::size_t mCurrentBytes = 0;
  };

  State(FleetTransportOptions aOptions, FleetTransportHooks aHooks)
    : mOptions(aOptions)
    , mHooks(std::move(aHooks))
  {
  }

  // ---- executor ----

  /// Runs @p aFn on the executor unless the transport has been stopped by then.
  template<class Fn>
  void Post(Fn aFn)
  {
    mHooks.mExecutor([self = shared_from_this(), fn = std::move(aFn)]() mutable {
      const HookScope scope(*self);
      if (scope.mIsEntered) {
        fn(*self);
      }
    });
  }

  /// Marks a hook as running while the scope exists. If the transport is stopped,
  /// mIsEntered is false and the hook must not run.
  struct HookScope
  {
    explicit HookScope(State& aState)
      : mState(aState)
    {
      const std::lock_guard lock(mState.mHookMutex);
      mIsEntered = !mState.mIsStopped;
      if (mIsEntered) {
        ++mState.mRunningHooks;
        sRunningHookTransport = &mState;
      }
    }
    HookScope(const HookScope&) = delete;
    HookScope& operator=(const HookScope&) = delete;
    ~HookScope()
    {
      if (!mIsEntered) {
        return;
      }
      const std::lock_guard lock(mState.mHookMutex);
      --mState.mRunningHooks;
      sRunningHookTransport = nullptr;
      mState.mHooksIdle.notify_all();
    }

    State& mState;
    bool mIsEntered = false;
  };

  /// Counts a failure and passes the result to @p aOnSent on the executor.
  void ReportSendResult(SentFn aOnSent, bool aIsSent)
  {
    mSendFailures += aIsSent ? 0 : 1;
    if (aOnSent) {
      Post([onSent = std::move(aOnSent), aIsSent](State&) { onSent(aIsSent); });
    }
  }

  // ---- sending ----

  void Send(const std::string& aEndpoint, std::string aBytes, SentFn aOnSent)
  {
    OutgoingMessage message{ std::move(aBytes), std::move(aOnSent),
                             BootClock::now() + mOptions.mSendTimeout };
    const auto peer = FindOrOpenPeer(aEndpoint);
    if (!peer) {
      ReportSendResult(std::move(message.mOnSent), false);
      return;
    }
    peer->Enqueue(std::move(message));
  }

  /// Returns null if the transport is stopped or the peer cannot be opened, for example
  /// because the endpoint is invalid.
  std::shared_ptr<Peer> FindOrOpenPeer(const std::string& aEndpoint)
  {
    const std::lock_guard lock(mPeerMutex);
    if (mArePeersClosed) {
      return nullptr;
    }
    auto& peer = mPeers[aEndpoint];
    if (!peer) {
      auto opened = std::make_shared<Peer>(*this, aEndpoint);
      if (opened->Open() != 0) {
        opened->Close();
        mPeers.erase(aEndpoint);
        return nullptr;
      }
      peer = std::move(opened);
    }
    return peer;
  }

  void RemovePeer(const std::string& aEndpoint)
  {
    std::shared_ptr<Peer> peer;
    {
      const std::lock_guard lock(mPeerMutex);
      const auto found = mPeers.find(aEndpoint);
      if (found == mPeers.end()) {
        return;
      }
      peer = std::move(found->second);
      mPeers.erase(found);
    }
    peer->Close();
  }

  // ---- receiving ----

  Result<void> Listen(const std::string& aEndpoint)
  {
    if (const int code = nng_pull0_open(&mPullSocket)) {
      return NngFailure("open", aEndpoint, code);
    }
    mHasPullSocket = true;
    nng_pipe_notify(mPullSocket, NNG_PIPE_EV_ADD_PRE, &State::OnPipe, this);
    nng_pipe_notify(mPullSocket, NNG_PIPE_EV_REM_POST, &State::OnPipe, this);
    if (const int code = nng_aio_alloc(&mReceiveAio, &State::OnReceived, this)) {
      return NngFailure("allocate", aEndpoint, code);
    }
    nng_listener listener;
    if (const int code = nng_listener_create(&listener, mPullSocket, aEndpoint.c_str())) {
      return NngFailure("create listener", aEndpoint, code);
    }
    nng_listener_set_size(listener, NNG_OPT_RECVMAXSZ, kMaxFleetMessageBytes);
    if (const int code = nng_listener_start(listener, 0)) {
      return NngFailure("listen", aEndpoint, code);
    }
    int port = 0;
    if (const int code = nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port)) {
      return NngFailure("read port", aEndpoint, code);
    }
    mPort = static_cast<std::uint16_t>(port);
    mLocalAddress = SourceAddress(listener);
    StartReceive();
    return {};
  }

  /// The address for outgoing connections: the IP address that @p aListener is bound to,
  /// because receivers compare it with the sender's. Empty if it is not bound to one.
  static std::optional<nng_sockaddr> SourceAddress(nng_listener aListener)
  {
    nng_sockaddr address{};
    const int code = nng_listener_get_addr(aListener, NNG_OPT_LOCADDR, &address);
    if (code != 0 || address.s_family != NNG_AF_INET || address.s_in.sa_addr == 0) {
      return std::nullopt;
    }
    address.s_in.sa_port = 0;
    return address;
  }

  void StartReceive()
  {
    {
      std::unique_lock lock(mReceiveMutex);
      // OnReceived(), which posted this call, may not have returned yet.
      mReceiveIdle.wait(lock, [&] { return !mIsReceiving; });
      if (mIsReceiveClosed) {
        return;
      }
      mIsReceiving = true;
    }
    nng_aio_wait(mReceiveAio);
    nng_recv_aio(mPullSocket, mReceiveAio);
  }

  /// nng callback for a new or closed connection; records the remote address.
  static void OnPipe(nng_pipe aPipe, nng_pipe_ev aEvent, void* aSelf)
  {
    auto& self = *static_cast<State*>(aSelf);
    const int id = nng_pipe_id(aPipe);
    if (aEvent == NNG_PIPE_EV_ADD_PRE) {
      nng_sockaddr address{};
      if (nng_pipe_get_addr(aPipe, NNG_OPT_REMADDR, &address) == 0) {
        const std::lock_guard lock(self.mReceiveMutex);
        self.mAddressesByPipe[id] = ToAddress(address);
      }
      return;
    }
    const std::lock_guard lock(self.mReceiveMutex);
    self.mClosedPipes.push_back(id);
    if (self.mClosedPipes.size() > kMaxClosedPipeAddresses) {
      self.mAddressesByPipe.erase(self.mClosedPipes.front());
      self.mClosedPipes.pop_front();
    }
  }

  /// nng callback of a receive; runs on an nng thread. Starts the next receive on the
  /// executor for the reason given at Peer::OnSent(). As a result, a slow executor slows
  /// the senders down.
  static void OnReceived(void* aSelf)
  {
    auto& self = *static_cast<State*>(aSelf);
    const int code = nng_aio_result(self.mReceiveAio);
    if (code == 0) {
      self.ReadMessage();
    } else if (code != NNG_ECLOSED) {
      self.Post([](State& aState) { aState.StartReceive(); });
    }
    const std::lock_guard lock(self.mReceiveMutex);
    self.mIsReceiving = false;
    self.mReceiveIdle.notify_all();
  }

  /// Takes the received message from nng and posts its delivery.
  void ReadMessage()
  {
    nng_msg* message = nng_aio_get_msg(mReceiveAio);
    nng_aio_set_msg(mReceiveAio, nullptr);
    std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                      nng_msg_len(message));
    const int pipe = nng_pipe_id(nng_msg_get_pipe(message));
    nng_msg_free(message);
    ++mMessagesIn;
    mBytesIn += bytes.size();
    RemoteAddress address;
    {
      const std::lock_guard lock(mReceiveMutex);
      const auto found = mAddressesByPipe.find(pipe);
      if (found != mAddressesByPipe.end()) {
        address = found->second;
      }
    }
    Post([bytes = std::move(bytes), address = std::move(address)](State& aState) {
      aState.StartReceive();
      aState.Deliver(bytes, address);
    });
  }

  /// Decodes a message and passes it to mOnMessage if its sender is accepted.
  void Deliver(std::string_view aBytes, const RemoteAddress& aAddress)
  {
    HandleError(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(envelope, DecodeFleet(aBytes, &mDecodeCounters));
        if (mHooks.mAccepts(envelope.mSender, envelope.mIncarnation, aAddress.mIp)) {
          mHooks.mOnMessage(std::move(envelope), aAddress.mText);
        } else {
          ++mNotAccepted;
        }
        return {};
      },
      [](const Error&) {});
  }

  // ---- stopping ----

  void CloseReceive()
  {
    {
      const std::lock_guard lock(mReceiveMutex);
      mIsReceiveClosed = true;
    }
    if (!mHasPullSocket) {
      return;
    }
    nng_close(mPullSocket);
    {
      std::unique_lock lock(mReceiveMutex);
      mReceiveIdle.wait(lock, [&] { return !mIsReceiving; });
    }
    if (mReceiveAio) {
      nng_aio_stop(mReceiveAio);
      nng_aio_free(mReceiveAio);
      mReceiveAio = nullptr;
    }
    mHasPullSocket = false;
  }

  void ClosePeers()
  {
    std::map<std::string, std::shared_ptr<Peer>> peers;
    {
      const std::lock_guard lock(mPeerMutex);
      mArePeersClosed = true;
      peers.swap(mPeers);
    }
    for (auto& [endpoint, peer] : peers) {
      peer->Close();
    }
  }

  void Stop()
  {
    {
      std::unique_lock lock(mHookMutex);
      mIsStopped = true;
      // A hook that stops the transport must not wait for itself.
      const int ownHooks = sRunningHookTransport == this ? 1 : 0;
      mHooksIdle.wait(lock, [&] { return mRunningHooks <= ownHooks; });
    }
    const std::lock_guard lock(mStopMutex);
    CloseReceive();
    ClosePeers();
  }

  const FleetTransportOptions mOptions;
  const FleetTransportHooks mHooks;
  /// Serialises calls of Stop().
  std::mutex mStopMutex;

  /// Guards the three members below.
  std::mutex mHookMutex;
  std::condition_variable mHooksIdle;
  bool mIsStopped = false;
  int mRunningHooks = 0;
  /// The transport whose hook is running on this thread.
  static thread_local const State* sRunningHookTransport;

  /// Guards mPeers and mArePeersClosed.
  std::mutex mPeerMutex;
  std::map<std::string, std::shared_ptr<Peer>> mPeers;
  bool mArePeersClosed = false;

  nng_socket mPullSocket = NNG_SOCKET_INITIALIZER;
  bool mHasPullSocket = false;
  nng_aio* mReceiveAio = nullptr;
  std::atomic<std::uint16_t> mPort{ 0 };
  /// Set by Listen(), before the first message is sent; empty if the kernel chooses.
  std::optional<nng_sockaddr> mLocalAddress;
  /// Guards the members down to mIsReceiveClosed.
  std::mutex mReceiveMutex;
  std::condition_variable mReceiveIdle;
  /// Remote addresses by pipe id (a pipe is nng's term for a connection).
  std::map<int, RemoteAddress> mAddressesByPipe;
  /// Ids of closed pipes whose addresses are kept, oldest first.
  std::deque<int> mClosedPipes;
  /// Whether mReceiveAio is in use.
  bool mIsReceiving = false;
  bool mIsReceiveClosed = false;

  std::atomic<std::uint64_t> mMessagesIn{ 0 };
  std::atomic<std::uint64_t> mBytesIn{ 0 };
  std::atomic<std::uint64_t> mMessagesOut{ 0 };
  std::atomic<std::uint64_t> mBytesOut{ 0 };
  std::atomic<std::uint64_t> mSendFailures{ 0 };
  std::atomic<std::uint64_t> mQueueFull{ 0 };
  std::atomic<std::uint64_t> mNotAccepted{ 0 };
  FleetDecodeCounters mDecodeCounters;
};

thread_local const FleetTransport::State* FleetTransport::State::sRunningHookTransport =
  nullptr;

FleetTransport::FleetTransport(FleetTransportOptions aOptions, FleetTransportHooks aHooks)
  : mState(std::make_shared<State>(aOptions, std::move(aHooks)))
{
}

FleetTransport::~FleetTransport()
{
  mState->Stop();
}

Result<void>
FleetTransport::Start(const std::string& aEndpoint)
{
  return mState->Listen(aEndpoint);
}

std::uint16_t
FleetTransport::Port() const
{
  return mState->mPort;
}

void
FleetTransport::Send(const std::string& aEndpoint, std::string aBytes, SentFn aOnSent)
{
  mState->Send(aEndpoint, std::move(aBytes), std::move(aOnSent));
}

void
FleetTransport::RemovePeer(const std::string& aEndpoint)
{
  mState->RemovePeer(aEndpoint);
}

void
FleetTransport::Stop()
{
  mState->Stop();
}

FleetTransportCounters
FleetTransport::Counters() const
{
  return { mState->mMessagesIn, mState->mBytesIn,      mState->mMessagesOut,
           mState->mBytesOut,   mState->mSendFailures, mState->mQueueFull,
           mState->mNotAccepted };
}

const FleetDecodeCounters&
FleetTransport::DecodeCounters() const
{
  return mState->mDecodeCounters;
}

} // namespace wasabispar
