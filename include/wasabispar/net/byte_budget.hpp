/// @file
/// @brief A bound on the memory that messages of one direction take together.
///
/// Failure pattern: a server in trouble sends bytes without end. The bound of one answer
/// does not bound the memory of a process that reads from hundreds of upstreams at once.
#pragma once

#include <cstdint>
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

    /// @brief Takes @p aBytes more; false, with nothing taken, if the budget has fewer.
    bool Grow(std::uint64_t aBytes);

  private:
    void Release();

    std::shared_ptr<ByteBudget> mBudget;
    std::uint64_t mBytes = 0;
  };

  explicit ByteBudget(std::uint64_t aLimit)
    : mLimit(aLimit)
  {
  }
  /// @brief The sum of all reservations.
  std::uint64_t Reserved() const { return mReserved; }
  std::uint64_t Limit() const { return mLimit; }
  /// @brief Bytes that can still be reserved.
  std::uint64_t Available() const { return mLimit - mReserved; }

private:
  std::uint64_t mLimit;
  std::uint64_t mReserved = 0;
};

} // namespace wasabispar
