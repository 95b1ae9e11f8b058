/// @file
/// @brief Reservations of a byte budget.
#include "wasabispar/net/byte_budget.hpp"

#include <algorithm>
#include <utility>

namespace wasabispar {

ByteBudget::Reservation::Reservation(std::shared_ptr<ByteBudget> aBudget)
  : mBudget(std::move(aBudget))
{
}

ByteBudget::Reservation::Reservation(Reservation&& aOther) noexcept
  : mBudget(std::move(aOther.mBudget))
  , mBytes(std::exchange(aOther.mBytes, 0))
  , mWhole(std::exchange(aOther.mWhole, 0))
  , mAhead(std::exchange(aOther.mAhead, 0))
{
}

ByteBudget::Reservation&
ByteBudget::Reservation::operator=(Reservation&& aOther) noexcept
{
  if (this != &aOther) {
    Release();
    mBudget = std::move(aOther.mBudget);
    mBytes = std::exchange(aOther.mBytes, 0);
    mWhole = std::exchange(aOther.mWhole, 0);
    mAhead = std::exchange(aOther.mAhead, 0);
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
  const auto fromAhead = std::min(aBytes, mAhead);
  const auto more = aBytes - fromAhead;
  if (more > mBudget->Available()) {
    return false;
  }
  mAhead -= fromAhead;
  mBudget->mReserved += more;
  mBytes += more;
  return true;
}

bool
ByteBudget::Reservation::ReserveAhead(std::uint64_t aBytes)
{
  if (!mBudget) {
    return true;
  }
  if (aBytes > mBudget->Available()) {
    return false;
  }
  mBudget->mReserved += aBytes;
  mBudget->mWhole += aBytes;
  mBytes += aBytes;
  mWhole += aBytes;
  mAhead += aBytes;
  return true;
}

void
ByteBudget::Reservation::Release()
{
  if (mBudget && mBytes > 0) {
    mBudget->mReserved -= std::exchange(mBytes, 0);
    mBudget->mWhole -= std::exchange(mWhole, 0);
    mAhead = 0;
    mBudget->GrantWaiting();
  }
}

bool
ByteBudget::MayReserveAhead(std::uint64_t aBytes) const
{
  constexpr std::uint64_t kNumerator = 3;
  constexpr std::uint64_t kDivisor = 4;
  const bool leavesQuarter = mWhole + aBytes <= mLimit / kDivisor * kNumerator;
  return aBytes <= Available() && (mWhole == 0 || leavesQuarter);
}

ByteBudget::PlaceId
ByteBudget::Await(std::uint64_t aBytes, GrantFn aGrant)
{
  const auto place = ++mLastPlace;
  mWaitingBytes += aBytes;
  mWaiting.emplace(place, Waiting{ aBytes, std::move(aGrant) });
  GrantWaiting();
  return place;
}

void
ByteBudget::Leave(PlaceId aPlace)
{
  const auto waiting = mWaiting.extract(aPlace);
  if (waiting) {
    mWaitingBytes -= waiting.mapped().mBytes;
    GrantWaiting();
  }
}

void
ByteBudget::GrantWaiting()
{
  while (!mWaiting.empty() && MayReserveAhead(mWaiting.begin()->second.mBytes)) {
    const auto first = mWaiting.extract(mWaiting.begin());
    mWaitingBytes -= first.mapped().mBytes;
    Reservation reservation(shared_from_this());
    reservation.ReserveAhead(first.mapped().mBytes);
    first.mapped().mGrant(std::move(reservation));
  }
}

} // namespace wasabispar
