/// @file
/// @brief When a request over several parts is answered, waits on, or is given up.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief What to do with the request now.
enum class FanOutDecision : std::uint8_t
{
  Wait,
  /// Answer with the parts that are in.
  Answer,
  /// The required parts can no longer come.
  Fail,
  /// The deadline has passed.
  Timeout,
};

/// @brief Tracks the parts of one request.
///
/// A whole answer goes out at once. An answer with missing parts goes out when no further
/// part can come, or when waiting on would make it late: a late answer is worth less to
/// the caller than one without a part. Below the required number it waits until the
/// deadline while the number can still be reached, and is given up as soon as it cannot.
class FanOutState
{
public:
  /// @param aParts number of parts, at least 1.
  /// @param aRequired least number of parts of an answer.
  /// @param aAnswerBy last time at which an answer still reaches the caller on time.
  FanOutState(std::size_t aParts, std::size_t aRequired, TimePoint aAnswerBy,
              TimePoint aDeadline);

  void OnAnswered(std::size_t aPart) { mParts[aPart] = PartState::Answered; }
  /// @brief No answer can come for the part any more.
  void OnLost(std::size_t aPart);
  bool IsOpen(std::size_t aPart) const { return mParts[aPart] == PartState::Open; }

  FanOutDecision Decide(TimePoint aNow) const;
  /// @brief When to judge again if nothing happens.
  TimePoint NextDecisionTime(TimePoint aNow) const;
  std::size_t Answered() const { return Count(PartState::Answered); }
  std::size_t Parts() const { return mParts.size(); }
  std::size_t Required() const { return mRequired; }
  TimePoint AnswerBy() const { return mAnswerBy; }
  TimePoint Deadline() const { return mDeadline; }

private:
  enum class PartState : std::uint8_t
  {
    Open,
    Answered,
    Lost,
  };
  std::size_t Count(PartState aState) const;

  std::vector<PartState> mParts;
  std::size_t mRequired;
  TimePoint mAnswerBy;
  TimePoint mDeadline;
};

} // namespace wasabispar
