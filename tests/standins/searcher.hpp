/// @file
/// @brief One searcher: a fixed number of slots and a bounded queue before them.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace wasabispar::standins {

/// @brief A unit of work for one slot. Exactly one of the functions is called last:
/// mFinished, mTooLate or mCancelled.
struct SearcherJob
{
  std::string mRequestId;
  /// The job does not start after this time.
  TimePoint mDeadline = TimePoint::max();
  /// False: a cancellation leaves a started job alone.
  bool mStopWhenCancelled = true;
  /// Called at the start; returns the time that the job needs.
  std::function<Duration()> mStarted;
  std::function<void()> mFinished;
  std::function<void()> mTooLate;
  std::function<void()> mCancelled;
};

using SearcherJobPtr = std::shared_ptr<SearcherJob>;

/// @brief Runs jobs in order of arrival, at most one for each slot.
class Searcher
{
public:
  Searcher(boost::asio::io_context& aContext, std::size_t aSlots);

  /// @brief False when the queue holds @p aQueueLimit jobs and no slot is free.
  bool Submit(const SearcherJobPtr& aJob, std::size_t aQueueLimit);
  /// @brief Cancels all jobs of @p aRequestId. Returns their number.
  std::size_t Cancel(const std::string& aRequestId);
  /// @brief Drops one job without a call of its functions.
  void Abandon(const SearcherJobPtr& aJob);
  /// @brief Drops all jobs, as the crash of the process does.
  void Clear();
  std::size_t Running() const { return mRunning.size(); }
  std::size_t Queued() const { return mQueue.size(); }

private:
  void StartNext();

  boost::asio::io_context& mContext;
  std::size_t mSlots;
  std::deque<SearcherJobPtr> mQueue;
  std::map<SearcherJobPtr, std::unique_ptr<boost::asio::steady_timer>> mRunning;
};

} // namespace wasabispar::standins
