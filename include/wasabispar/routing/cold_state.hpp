/// @file
/// @brief Whether an upstream is cold: after its start or its return it sustains fewer
/// requests for a while.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstdint>
#include <optional>

namespace wasabispar {

/// @brief A service's settings for cold upstreams.
struct ColdBound
{
  /// How long an upstream is cold after its start.
  Duration mWarmup{};
  /// Requests per second that a cold upstream can sustain; 0: no limit.
  double mPerSecond = 0;

  bool IsSet() const { return mPerSecond > 0; }
  bool operator==(const ColdBound&) const = default;
};

/// @brief Follows what is known of one upstream. Not thread-safe.
///
/// Invariant: the upstream is cold until the latest time that a source named; a later
/// source never shortens it.
class ColdState
{
public:
  /// @brief The upstream, or its registry entry, states that it stays cold for @p aLeft
  /// from now on. Longer than an hour counts as an hour.
  void OnStated(Duration aLeft, TimePoint aNow);
  /// @brief An entry that was read when this VM started, and may be old, states @p aLeft.
  /// It has no effect if the incarnation is so old by the wall clock that the entry was
  /// likely written at its start.
  void OnStatedAtStart(Duration aLeft, std::uint64_t aStartedUnixMs,
                       std::uint64_t aNowUnixMs, TimePoint aNow);
  /// @brief A new incarnation was added while this VM was in service. It has no effect if
  /// the incarnation has run for longer than the warm-up; a start in the future counts as
  /// one just now, as wall clocks differ.
  void OnAdded(Duration aWarmup, std::uint64_t aStartedUnixMs, std::uint64_t aNowUnixMs,
               TimePoint aNow);
  /// @brief The evacuation of the upstream's data centre has ended.
  void OnEvacuationEnded(Duration aWarmup, TimePoint aNow);
  /// @brief The service's warm-up has changed. It applies from the last OnAdded() and
  /// OnEvacuationEnded() on.
  void SetWarmup(Duration aWarmup);

  bool IsCold(TimePoint aNow) const { return mUntil && aNow < *mUntil; }
  /// @brief The end of the last cold time; empty if there was none.
  std::optional<TimePoint> Until() const { return mUntil; }

private:
  /// When a young incarnation was added, and how long it had run by then.
  struct Start
  {
    TimePoint mAddedAt;
    Duration mAge{};
  };

  /// Cold for @p aLeft from @p aFrom on.
  void Extend(Duration aLeft, TimePoint aFrom);

  std::optional<TimePoint> mUntil;
  std::optional<Start> mStart;
  std::optional<TimePoint> mEvacuationEndedAt;
};

} // namespace wasabispar
