/// @file
/// @brief The time for which an upstream has asked this VM to send it nothing, and the
/// slow start after it.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/random.hpp"

#include <cstddef>
#include <optional>

namespace wasabispar {

/// @brief Settings of QuietPeriod.
struct QuietPeriodOptions
{
  /// A longer request is shortened to this, so that a faulty upstream is not lost for the
  /// life of its process.
  Duration mMaxPeriod = std::chrono::minutes(10);
  /// The period is extended by a random part of itself up to this, in permille, because
  /// many VMs may have been asked at the same moment.
  std::uint32_t mMaxExtensionPermille = 250;
  /// After the period, the number of exchanges at a time starts at one and doubles each
  /// time that this has passed.
  Duration mDoublingTime = std::chrono::milliseconds(500);
};

/// @brief Follows the requests of one upstream to be left alone. Not thread-safe.
///
/// Invariant: a later request never shortens the period.
class QuietPeriod
{
public:
  explicit QuietPeriod(QuietPeriodOptions aOptions = {})
    : mOptions(aOptions)
  {
  }

  /// @brief The upstream asked for @p aDuration of quiet; zero and less have no effect.
  void Request(Duration aDuration, TimePoint aNow, const RandomFn& aRandom);
  /// @brief Whether the upstream must not get a request now.
  bool IsQuiet(TimePoint aNow) const { return mUntil && aNow < *mUntil; }
  /// @brief The end of the last period; empty if there was none.
  std::optional<TimePoint> Until() const { return mUntil; }
  /// @brief The number of exchanges at a time that are allowed, at most @p aLimit: none
  /// during the period, then rising from one.
  std::size_t MaxExchanges(std::size_t aLimit, TimePoint aNow) const;

private:
  QuietPeriodOptions mOptions;
  std::optional<TimePoint> mUntil;
};

} // namespace wasabispar
