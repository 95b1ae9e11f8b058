/// @file
/// @brief HttpSession: writes responses, within the memory budget if there is one.
#include "wasabispar/net/http_session.hpp"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace wasabispar {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::asio::ip::tcp;

namespace {

/// Time for which the rest of a rejected request is read and dropped: enough for a body
/// of 1 MB at 5 Mbit/s, a quarter of the slowest link of the platform.
constexpr auto kDiscardTime = std::chrono::seconds(2);
constexpr std::size_t kDiscardChunkBytes = 4096;

} // namespace

void
HttpSession::Write(HttpResponse aResponse, unsigned aHttpVersion, bool aKeepAlive)
{
  mDisconnectNotifier = nullptr;
  if (mIsPeerClosed) {
    FinishResponse(false);
    return;
  }
  const bool keepsOpen = aKeepAlive && !aResponse.mCloseConnection && !mServer->mDraining;
  auto write =
    std::make_shared<PendingWrite>(std::move(aResponse), aHttpVersion, keepsOpen);
  if (mServer->mMemory) {
    mPendingWrite = std::move(write);
    WriteWithinBudget();
    return;
  }
  mStream.expires_after(mServer->Options().mReadTimeout);
  asio::async_write(
    mStream, write->mRest,
    [self = shared_from_this(), write](beast::error_code aError, std::size_t) {
      self->FinishResponse(!aError && write->mKeepAlive);
    });
}

void
HttpSession::WriteWithinBudget()
{
  // Bounded by mWriteTimer: the timeout of mStream would close the connection in a way
  // that lets the bytes in the socket's buffer still look like a response.
  mStream.expires_never();
  mPendingWrite->mLastProgress = BootClock::now();
  ArmWriteTimer();
  WriteSome();
}

void
HttpSession::WriteSome()
{
  mStream.async_write_some(mPendingWrite->mRest,
                           [self = shared_from_this(), write = mPendingWrite](
                             beast::error_code aError, std::size_t aBytes) {
                             self->OnWritten(*write, aError, aBytes);
                           });
}

void
HttpSession::OnWritten(PendingWrite& aWrite, beast::error_code aError, std::size_t aBytes)
{
  // The connection may have been reset after the socket had taken these bytes.
  const bool isReset = mPendingWrite.get() != &aWrite;
  aWrite.mWrittenBytes += aBytes;
  aWrite.mRest.consume(aBytes);
  if (aError || isReset || aWrite.IsDone()) {
    FinishResponse(!aError && !isReset && aWrite.mKeepAlive);
    return;
  }
  aWrite.mLastProgress = BootClock::now();
  ArmWriteTimer();
  if (mServer->mWaitingSessions.Contains(this)) {
    mServer->mWaitingSessions.Touch(this);
  } else {
    CountAsWaiting();
  }
  WriteSome();
}

void
HttpSession::CountAsWaiting()
{
  const auto& budget = mServer->mMemory->Waiting();
  mWaitingBytes = ByteBudget::Reservation(budget);
  // A response that is larger than the whole share is written without being counted. The
  // share for answers, which is as large, admits none.
  while (!mWaitingBytes.Grow(mPendingWrite->mBytes) && mServer->ResetLongestWaiting()) {
  }
  mServer->mWaitingSessions.Touch(this);
  mPendingWrite->mReservedMemory = nullptr;
}

void
HttpSession::ArmWriteTimer()
{
  mWriteTimer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(
    mServer->Options().mReadTimeout));
  mWriteTimer.async_wait(
    [weak = weak_from_this(), number = mPendingWrite.get()](beast::error_code aError) {
      const auto self = weak.lock();
      if (!aError && self && number && self->mPendingWrite.get() == number) {
        self->ResetWriting("no-progress");
      }
    });
}

void
HttpSession::ResetWriting(std::string_view aReason)
{
  if (!mPendingWrite) {
    return;
  }
  const auto write = std::exchange(mPendingWrite, nullptr);
  mWaitingBytes = {};
  mServer->mWaitingSessions.Remove(this);
  // With a zero linger time the close drops what the socket has not sent yet and resets
  // the connection, so that the caller cannot take the part for a complete response.
  beast::error_code ignored;
  mStream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
  Close();
  if (mServer->mOptions.mOnReset) {
    mServer->mOptions.mOnReset({ aReason, mPeer, write->mBytes, write->mWrittenBytes,
                                 BootClock::now() - write->mLastProgress });
  }
}

void
HttpSession::FinishResponse(bool aKeepAlive)
{
  if (mServer->mMemory) {
    mWriteTimer.cancel();
    mPendingWrite = nullptr;
    mWaitingBytes = {};
    mServer->mWaitingSessions.Remove(this);
  }
  if (mHandling) {
    mHandling = false;
    --mServer->mRunningRequests;
  }
  if (aKeepAlive) {
    AwaitRequest();
    return;
  }
  beast::error_code ignored;
  mStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  if (std::exchange(mIsBodyUnread, false) && !ignored) {
    mWriteTimer.expires_after(kDiscardTime);
    mWriteTimer.async_wait([weak = weak_from_this()](beast::error_code aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        self->Close();
      }
    });
    DiscardRest(mServer->Options().mMaxBodyBytes);
    return;
  }
  Close();
}

void
HttpSession::DiscardRest(std::size_t aMaxBytes)
{
  mBuffer.clear();
  mStream.socket().async_read_some(
    mBuffer.prepare(kDiscardChunkBytes),
    [self = shared_from_this(), aMaxBytes](beast::error_code aError, std::size_t aBytes) {
      if (aError || aBytes >= aMaxBytes) {
        self->Close();
      } else {
        self->DiscardRest(aMaxBytes - aBytes);
      }
    });
}

} // namespace wasabispar
