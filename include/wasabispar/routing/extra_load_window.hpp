/// @file
/// @brief Budget for hedges and retries to one service over a sliding time window.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstdint>
#include <deque>

namespace wasabispar {

/// @brief Settings of ExtraLoadWindow.
struct ExtraLoadOptions
{
  /// Extra sends allowed for each request in the window.
  double mRatio = 0.2;
  /// Extra sends allowed in each window regardless of the number of requests.
  double mReserve = 0;
  /// Length of the sliding window.
  Duration mWindow = std::chrono::seconds(10);
};

/// @brief The purpose of a send beyond the first one of a request.
enum class ExtraSend : std::uint8_t
{
  /// The first upstream is overdue but has not failed.
  Hedge,
  /// The first upstream failed.
  Retry,
};

/// @brief Counts the requests and the extra sends (hedges and retries) of this VM to one
/// service and grants extra sends within a budget. Not thread-safe.
///
/// In any window the number of extra sends is at most mRatio x requests + mReserve,
/// rounded to a whole number. Because each VM keeps to its own budget, the whole fleet
/// stays within its limit on extra load without messages between the VMs.
///
/// Load pattern: in a large fleet a VM sends a service one request a second. Right after
/// a restart of all VMs, when most hedges and retries are needed, a budget that is
/// rounded down allows none of them for the first seconds. Therefore each VM rounds at a
/// threshold of its own: drawn at random, the budgets of all VMs add up to the whole.
class ExtraLoadWindow
{
public:
  /// @param aRounding the least fraction of a send that is rounded up to a whole one is
  /// 1 - @p aRounding. From 0 to below 1; uniformly random for each VM and service.
  explicit ExtraLoadWindow(ExtraLoadOptions aOptions = {}, double aRounding = 0);

  /// @brief Replaces the options; the counts of the current window are kept.
  void SetOptions(const ExtraLoadOptions& aOptions) { mOptions = aOptions; }
  /// @brief Counts a request for the service.
  void OnRequest(TimePoint aNow);
  /// @brief Takes one extra send from the budget; returns false when the budget does not
  /// allow it.
  ///
  /// Hedges leave part of the budget free for as many retries as the window already
  /// holds, up to a fixed fraction of the budget, because a request whose first send
  /// failed cannot be answered without a retry.
  bool TryTake(ExtraSend aKind, TimePoint aNow);
  /// @brief Extra sends that are left in the budget. Only retries may use all of them.
  double RemainingSends(TimePoint aNow);

private:
  /// Counts of one slice of the window.
  struct Slice
  {
    /// Start of the slice, in slice lengths since the epoch of the clock.
    std::int64_t mNumber = 0;
    std::uint32_t mRequests = 0;
    std::uint32_t mExtraSends = 0;
    /// Retries among mExtraSends.
    std::uint32_t mRetries = 0;
  };

  /// The budget: extra sends allowed for the requests in the window.
  double MaxExtraSends() const;
  /// The requests of the slices that lie within the window as a whole.
  std::uint64_t RequestsInWindow() const;
  /// Drops expired slices and returns the slice of @p aNow.
  Slice& CurrentSlice(TimePoint aNow);
  /// Drops the slices before the window that ends with slice @p aNumber.
  void ExpireSlices(std::int64_t aNumber);

  ExtraLoadOptions mOptions;
  double mRounding;
  /// Oldest first. Invariant: the three counts below are the sums over all slices.
  std::deque<Slice> mSlices;
  std::uint64_t mRequests = 0;
  std::uint64_t mExtraSends = 0;
  std::uint64_t mRetries = 0;
};

} // namespace wasabispar
