/// @file
/// @brief Reservations of a byte budget.
#include "wasabispar/net/byte_budget.hpp"

#include <utility>

namespace wasabispar {

ByteBudget::Reservation::Reservation(std::shared_ptr<ByteBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

ByteBudget::Reservation::Reservation(Reservation&& aOther) noexcept
  : mBudget(std::move(aOther.mBudget))
  , mBytes(std::exchange(aOther.mBytes, 0))
{
}

ByteBudget::Reservation&
ByteBudget::Reservation::operator=(Reservation&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mBudget = std::move(aOther.mBudget);
    mBytes = std::exchange(aOther.mBytes, 0);
  }
  return *this;
}

ByteBudget::Reservation::~Reservation()
{
  Release();
}

bool
ByteBudget::Reservation::Grow(std::uint64_t aBytes)
{
  if (!mBudget) {
    return true;
  }
  if (aBytes > mBudget->mLimit - mBudget->mReserved) {
    return false;
  }
  mBudget->mReserved += aBytes;
  mBytes += aBytes;
  return true;
}

void
ByteBudget::Reservation::Release()
{
  if (mBudget) {
    mBudget->mReserved -= mBytes;
  }
  mBytes = 0;
}

} // namespace wasabispar
