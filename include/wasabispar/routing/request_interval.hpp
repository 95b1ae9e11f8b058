/// @file
/// @brief The mean time between the requests of this VM to one service.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <optional>

namespace wasabispar {

/// @brief Exponentially weighted mean of the time between requests. Not thread-safe.
class RequestInterval
{
public:
  /// @brief A request arrived.
  void OnRequest(TimePoint aNow);
  /// @brief The mean; zero before the second request.
  Duration Mean() const { return mMean.value_or(Duration{}); }

private:
  std::optional<TimePoint> mLastRequestAt;
  std::optional<Duration> mMean;
};

} // namespace wasabispar
