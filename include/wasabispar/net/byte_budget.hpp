/// @file
/// @brief A bound on the memory that messages of one direction take together.
///
/// Failure pattern: a server in trouble sends bytes without end. The bound of one answer
/// does not bound the memory of a process that reads from hundreds of upstreams at once.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace wasabispar {

/// @brief Bytes that may be reserved at the same time. Used on one worker.
///
/// Invariant: the bytes of all reservations are at most the limit.
class ByteBudget : public std::enable_shared_from_this<ByteBudget>
{
public:
  /// @brief Bytes taken from a budget until the reservation is destroyed. Without a
  /// budget it is unlimited.
  class Reservation
  {
  public:
    Reservation() = default;
    explicit Reservation(std::shared_ptr<ByteBudget> aBudget);
    Reservation(Reservation&& aOther) noexcept;
    Reservation& operator=(Reservation&& aOther) noexcept;
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    ~Reservation();

    /// @brief Takes @p aBytes more, first of those reserved ahead; false, with nothing
    /// taken, if the budget has fewer.
    bool Grow(std::uint64_t aBytes);
    /// @brief Reserves the whole length of a message for later calls of Grow(); false,
    /// with nothing reserved, if the budget has fewer bytes.
    bool ReserveAhead(std::uint64_t aBytes);

  private:
    friend class ByteBudget;
    void Release();

    std::shared_ptr<ByteBudget> mBudget;
    /// Includes mWhole.
    std::uint64_t mBytes = 0;
    /// Bytes that were reserved ahead.
    std::uint64_t mWhole = 0;
    /// The part of mWhole that Grow() has not taken yet.
    std::uint64_t mAhead = 0;
  };

  /// @brief Receives the bytes that were waited for. It may run in any destructor of a
  /// reservation, so it must only post what is to be done.
  using GrantFn = std::function<void(Reservation)>;
  /// @brief A place in the queue for bytes.
  using PlaceId = std::uint64_t;

  explicit ByteBudget(std::uint64_t aLimit)
    : mLimit(aLimit)
  {
  }
  /// @brief The sum of all reservations.
  std::uint64_t Reserved() const { return mReserved; }
  /// @brief The part of Reserved() that was not reserved ahead: of messages that may need
  /// more.
  std::uint64_t ReservedAsRead() const { return mReserved - mWhole; }
  std::uint64_t Limit() const { return mLimit; }
  /// @brief Bytes that can still be reserved.
  std::uint64_t Available() const { return mLimit - mReserved; }

  /// @brief Whether a long message may be reserved ahead now. The last quarter of the
  /// budget is left to those whose length is not known, unless it is the only one.
  bool MayReserveAhead(std::uint64_t aBytes) const;
  /// @brief Calls @p aGrant once, when @p aBytes can be reserved ahead, after those that
  /// have waited longer. @p aBytes must be at most the limit.
  PlaceId Await(std::uint64_t aBytes, GrantFn aGrant);
  /// @brief Gives up a place; does nothing if the bytes were granted.
  void Leave(PlaceId aPlace);
  /// @brief The sum of the bytes that are waited for.
  std::uint64_t WaitingBytes() const { return mWaitingBytes; }

private:
  struct Waiting
  {
    std::uint64_t mBytes;
    GrantFn mGrant;
  };

  void GrantWaiting();

  std::uint64_t mLimit;
  std::uint64_t mReserved = 0;
  /// The part of mReserved that was reserved ahead.
  std::uint64_t mWhole = 0;
  std::uint64_t mWaitingBytes = 0;
  /// By place, which is the order in which they are granted.
  std::map<PlaceId, Waiting> mWaiting;
  PlaceId mLastPlace = 0;
};

} // namespace wasabispar
