/// @file
/// @brief Bound on the sends beyond the first of each request, over a sliding window.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstdint>
#include <deque>

namespace wasabispar {

/// @brief Settings of ExtraLoadWindow.
struct ExtraLoadOptions
{
  /// Extra sends for each request.
  double mRatio = 0.2;
  /// Extra sends of this VM in a window, whatever the number of requests.
  double mReserve = 0;
  Duration mWindow = std::chrono::seconds(10);
};

/// @brief What an extra send is for.
enum class ExtraSend : std::uint8_t
{
  Hedge,
  Retry,
};

/// @brief Counts the requests and the extra sends (hedges and retries) to one service.
/// In any window the extra sends stay within mRatio x requests + mReserve, so that the
/// sum over all VMs stays within the fleet's bound without messages between them. Not
/// thread-safe.
class ExtraLoadWindow
{
public:
  explicit ExtraLoadWindow(ExtraLoadOptions aOptions = {});

  void SetOptions(const ExtraLoadOptions& aOptions) { mOptions = aOptions; }
  /// @brief A request for the service arrived.
  void OnRequest(TimePoint aNow);
  /// @brief Takes one extra send. While there are retries, which a request cannot do
  /// without, a hedge leaves room for as many again.
  bool TryTake(ExtraSend aKind, TimePoint aNow);
  /// @brief Extra sends that would be granted to retries now.
  double RemainingSends(TimePoint aNow);

private:
  /// Events of one slice of time.
  struct Slice
  {
    std::int64_t mNumber = 0;
    std::uint32_t mRequests = 0;
    std::uint32_t mExtraSends = 0;
    /// Of mExtraSends.
    std::uint32_t mRetries = 0;
  };

  double MaxExtraSends() const;
  Slice& CurrentSlice(TimePoint aNow);
  void ExpireSlices(std::int64_t aNumber);

  ExtraLoadOptions mOptions;
  /// Oldest first. Invariant: the three counts below are the sums over the slices.
  std::deque<Slice> mSlices;
  std::uint64_t mRequests = 0;
  std::uint64_t mExtraSends = 0;
  std::uint64_t mRetries = 0;
};

} // namespace wasabispar
