/// @file
/// @brief Decides when a request with several parts is answered, keeps waiting or fails.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wasabispar {

/// @brief The next action for a request.
enum class FanOutDecision : std::uint8_t
{
  /// Wait for further parts.
  Wait,
  /// Answer with the parts that have been received.
  Answer,
  /// The required number of parts can no longer be reached.
  Fail,
  /// The deadline has passed.
  Timeout,
};

/// @brief Tracks which parts of one request are open, answered or lost.
///
/// A complete answer is sent at once. An incomplete answer that has the required number
/// of parts is sent when no part is open any more, or at the last time at which the
/// answer is still on time: a late answer is worth less to the caller than an answer with
/// a part missing. With fewer parts the request waits until its deadline as long as the
/// required number can still be reached, and fails as soon as it can't.
class FanOutState
{
public:
  /// @param aParts number of parts, at least 1.
  /// @param aRequired minimum number of parts of an answer; capped at @p aParts.
  /// @param aAnswerBy last time at which an answer still reaches the caller on time;
  /// capped at @p aDeadline.
  /// @param aDeadline time at which the request ends without an answer.
  FanOutState(std::size_t aParts, std::size_t aRequired, TimePoint aAnswerBy,
              TimePoint aDeadline);

  /// @brief The part @p aPart was answered.
  void OnAnswered(std::size_t aPart) { mParts[aPart] = PartState::Answered; }
  /// @brief The part @p aPart can't be answered any more. Ignored after its answer.
  void OnLost(std::size_t aPart);
  /// @brief Whether the part @p aPart is neither answered nor lost.
  bool IsOpen(std::size_t aPart) const { return mParts[aPart] == PartState::Open; }

  /// @brief The action for the request at @p aNow.
  FanOutDecision Decide(TimePoint aNow) const;
  /// @brief When to call Decide() again if no part changes until then.
  TimePoint NextDecisionTime(TimePoint aNow) const;
  /// @brief Number of answered parts.
  std::size_t Answered() const { return Count(PartState::Answered); }
  /// @brief Number of all parts.
  std::size_t Parts() const { return mParts.size(); }
  /// @brief Minimum number of parts of an answer.
  std::size_t Required() const { return mRequired; }
  /// @brief Last time at which an answer is on time.
  TimePoint AnswerBy() const { return mAnswerBy; }
  /// @brief Time at which the request ends without an answer.
  TimePoint Deadline() const { return mDeadline; }

private:
  enum class PartState : std::uint8_t
  {
    Open,
    Answered,
    Lost,
  };
  /// Number of parts in state @p aState.
  std::size_t Count(PartState aState) const;

  std::vector<PartState> mParts;
  std::size_t mRequired;
  TimePoint mAnswerBy;
  TimePoint mDeadline;
};

} // namespace wasabispar
