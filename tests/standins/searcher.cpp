/// @file
/// @brief Implements the searcher.
#include "tests/standins/searcher.hpp"

#include <utility>
#include <vector>

namespace wasabispar::standins {

Searcher::Searcher(boost::asio::io_context& aContext, std::size_t aSlots)
  : mContext(aContext)
  , mSlots(aSlots)
{
}

bool
Searcher::Submit(const SearcherJobPtr& aJob, std::size_t aQueueLimit)
{
  if (mRunning.size() >= mSlots && mQueue.size() >= aQueueLimit) {
    return false;
  }
  mQueue.push_back(aJob);
  StartNext();
  return true;
}

void
Searcher::StartNext()
{
  while (mRunning.size() < mSlots && !mQueue.empty()) {
    const auto job = mQueue.front();
    mQueue.pop_front();
    if (BootClock::now() > job->mDeadline) {
      job->mTooLate();
      continue;
    }
    auto timer = std::make_unique<boost::asio::steady_timer>(mContext, job->mStarted());
    timer->async_wait([this, job](const boost::system::error_code& aError) {
      if (!aError && mRunning.erase(job) > 0) {
        job->mFinished();
        StartNext();
      }
    });
    mRunning.emplace(job, std::move(timer));
  }
}

std::size_t
Searcher::Cancel(const std::string& aRequestId)
{
  std::vector<SearcherJobPtr> cancelled;
  std::erase_if(mQueue, [&](const SearcherJobPtr& aJob) {
    const bool match = aJob->mRequestId == aRequestId;
    if (match) {
      cancelled.push_back(aJob);
    }
    return match;
  });
  std::erase_if(mRunning, [&](const auto& aEntry) {
    const auto& job = aEntry.first;
    const bool match = job->mStopWhenCancelled && job->mRequestId == aRequestId;
    if (match) {
      cancelled.push_back(job);
    }
    return match;
  });
  for (const auto& job : cancelled) {
    job->mCancelled();
  }
  StartNext();
  return cancelled.size();
}

void
Searcher::Abandon(const SearcherJobPtr& aJob)
{
  if (!aJob->mStopWhenCancelled) {
    return;
  }
  std::erase(mQueue, aJob);
  mRunning.erase(aJob);
  StartNext();
}

void
Searcher::Clear()
{
  mQueue.clear();
  mRunning.clear();
}

} // namespace wasabispar::standins
