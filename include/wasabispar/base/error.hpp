/// @file
/// @brief Errors that carry the step and the peer at which they arose, and whether the
/// request that they refuse ran.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace wasabispar {

/// @brief Whether a request ran. Shown to the caller with each refusal.
enum class Outcome
{
  /// No byte of the request reached an upstream, or the upstream said it refused it.
  NotRun,
  /// The request may have run.
  OutcomeUnknown,
  /// The request ran.
  Ran,
};

/// @brief `not-run`, `outcome-unknown` or `ran`.
std::string_view
ToText(Outcome aOutcome);

/// @brief The step of processing at which an error arose.
enum class Step
{
  Settings,
  ParseRequest,
  FindProfile,
  Admission,
  ChooseSnapshot,
  Connect,
  Send,
  Receive,
  UpstreamReply,
  Forward,
  Ticket,
  Quarantine,
  Deadline,
  Configuration,
  Platform,
  FleetMessage,
  Shutdown,
};

/// @brief The step in lower case with dashes, for example `choose-snapshot`.
std::string_view
ToText(Step aStep);

/// @brief An error with its step, its peer and its cause.
struct Error
{
  Step mStep = Step::Settings;
  /// Address or id of the other side; empty when there is none.
  std::string mPeer;
  Outcome mOutcome = Outcome::NotRun;
  std::string mCause;
};

/// @brief One line: `step peer: cause (outcome)`.
std::string
ToText(const Error& aError);

/// @brief A value or an Error.
template<class T>
using Result = boost::leaf::result<T>;

/// @brief Starts an error; use as `return Fail(Error{...});`.
inline boost::leaf::error_id
Fail(Error aError)
{
  return boost::leaf::new_error(std::move(aError));
}

/// @brief Runs @p aTry, a function that returns Result<T>, and passes an error to
/// @p aOnError, a function that takes `const Error&` and returns T.
template<class TryFn, class ErrorFn>
auto
HandleError(TryFn&& aTry, ErrorFn&& aOnError)
{
  return boost::leaf::try_handle_all(
    std::forward<TryFn>(aTry), [&](const Error& aError) { return aOnError(aError); },
    [&] {
      return aOnError(
        Error{ Step::Settings, {}, Outcome::OutcomeUnknown, "unclassified error" });
    });
}

} // namespace wasabispar
