/// @file
/// @brief One connection of HttpServer.
#pragma once

#include "wasabispar/net/http_server_state.hpp"
#include "wasabispar/net/message_head.hpp"
#include "wasabispar/net/message_parser.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabispar {

/// @brief One connection. Except for construction, Start(), Stop() and Abort(), it is
/// used only on the worker of the connection.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(std::shared_ptr<HttpServer::State> aServer,
              boost::asio::ip::tcp::socket aSocket);
  ~HttpSession();
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void Start();
  /// @brief Closes the connection after a short delay unless a request is running.
  void Stop();
  void Abort();
  /// @brief Resets the connection, whose response has not been written completely, and
  /// frees its memory.
  void ResetWriting(std::string_view aReason);

private:
  using ErrorCode = boost::beast::error_code;

  /// Sends the response of one request. Closes the connection if destroyed before a
  /// response was sent.
  class Responder;

  /// A response that is being written.
  struct PendingWrite
  {
    using Buffers = std::array<boost::asio::const_buffer, 2>;

    PendingWrite(HttpResponse aResponse, unsigned aHttpVersion, bool aKeepAlive)
      : mHead(ResponseHead(aResponse, aHttpVersion, aKeepAlive))
      , mBody(MayHaveBody(aResponse.mStatus) ? std::move(aResponse.mBody) : std::string())
      , mRest(Buffers{ boost::asio::buffer(mHead), boost::asio::buffer(mBody) })
      , mReservedMemory(std::move(aResponse.mReservedMemory))
      , mBytes(mHead.size() + mBody.size())
      , mKeepAlive(aKeepAlive)
    {
    }

    PendingWrite(const PendingWrite&) = delete;
    PendingWrite& operator=(const PendingWrite&) = delete;

    bool IsDone() const { return mWrittenBytes == mBytes; }

    std::string mHead;
    std::string mBody;
    /// What of mHead and mBody has not been written yet.
    boost::beast::buffers_suffix<Buffers> mRest;
    /// Of the answer that is passed on; null from the time at which the response counts
    /// as waiting.
    std::shared_ptr<const void> mReservedMemory;
    /// Bytes of the head and the body.
    std::uint64_t mBytes = 0;
    std::uint64_t mWrittenBytes = 0;
    TimePoint mLastProgress{};
    bool mKeepAlive = false;
  };

  std::shared_ptr<HttpServer::State> mServer;
  boost::beast::tcp_stream mStream;
  boost::beast::flat_buffer mBuffer;
  std::optional<RequestParser> mParser;
  boost::asio::steady_timer mIdleTimer;
  /// Bounds the time to read a request. The timeout of mStream is not used for it,
  /// because it closes the connection before the rejection can be reported.
  boost::asio::steady_timer mReadTimer;
  /// Bounds the time without progress of a PendingWrite, and of DiscardRest().
  boost::asio::steady_timer mWriteTimer;
  /// Number of requests of which the first byte was read.
  std::uint64_t mRequestNumber = 0;
  std::string mPeer;
  /// True from the first to the last byte of a request.
  bool mReading = false;
  /// True from the last byte of a request to the last byte of its response. Such a
  /// request is counted in the server's mRunningRequests.
  bool mHandling = false;
  /// Whether a read of the first bytes of the next request is pending. The read also
  /// detects that the client disconnects while its request is handled.
  bool mIsReadPending = false;
  /// Whether the client has closed the connection.
  bool mIsPeerClosed = false;
  /// Whether the client may still be sending the body of a request that was rejected.
  bool mIsBodyUnread = false;
  /// Notifier of the request that is being handled; null between requests.
  std::shared_ptr<DisconnectNotifier> mDisconnectNotifier;
  /// Null while no response is being written within a budget. The pending operation
  /// shares it.
  std::shared_ptr<PendingWrite> mPendingWrite;
  /// The bytes of mPendingWrite in MemoryBudget::Waiting(); none until it waits.
  ByteBudget::Reservation mWaitingBytes;

  /// Bounds what the kernel holds for the connection. For servers with a memory budget.
  void LimitSocketBuffers();
  /// Waits for the next request, which may already be in the buffer.
  void AwaitRequest();
  void ArmIdleTimer(Duration aTimeout);
  /// Reads the first bytes of the next request. Uses the plain socket, because the
  /// timeout of mStream applies to whole requests.
  void AwaitBytes();
  void OnBytes(ErrorCode aError, std::size_t aBytes);
  void ReadRequest();
  /// Reads what is left of the request and handles it.
  void ReadWhole();
  /// Reads the header, and the body if the memory budget admits the request.
  void ReadWithinBudget();
  void OnRead(ErrorCode aError);
  /// Whether the request that was read is one of TRACE with a body. RFC 9110, 9.3.8
  /// forbids it, so an upstream may take its body for the next request.
  bool IsTraceWithContent();
  /// Reports the request that is being read and closes the connection after @p aTimeout,
  /// unless the request is complete by then.
  void ArmReadTimer(Duration aTimeout);
  /// Responds to and reports a request that violates a limit or does not parse. Closes
  /// the connection without a response if it is lost or was closed by the read timer.
  void RejectRequest(ErrorCode aError);
  /// Rejects a request that does not fit into the memory budget.
  void RejectForMemory();
  void Reject(unsigned aStatus, std::string_view aReason,
              std::vector<HttpHeader> aHeaders = {});
  void Handle();
  HttpRespondFn MakeResponder(unsigned aHttpVersion, bool aKeepAlive);
  void Write(HttpResponse aResponse, unsigned aHttpVersion, bool aKeepAlive);
  /// Writes mPendingWrite.
  void WriteWithinBudget();
  void WriteSome();
  void OnWritten(PendingWrite& aWrite, ErrorCode aError, std::size_t aBytes);
  /// The socket did not take the whole response: counts it as waiting, and resets the
  /// connections that have waited longest as far as it does not fit.
  void CountAsWaiting();
  void ArmWriteTimer();
  void FinishResponse(bool aKeepAlive);
  /// Reads and drops what the client still sends, for a short time. Closing the
  /// connection at once would reset it, and the client might lose the response.
  void DiscardRest(std::size_t aMaxBytes);
  void Close();
};

} // namespace wasabispar
