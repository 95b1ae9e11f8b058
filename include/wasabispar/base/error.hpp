/// @file
/// @brief The error type of the project. An error states the processing step, the peer
/// and whether the failed request ran.
#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <utility>

namespace wasabispar {

/// @brief Whether a request ran. Reported to the caller with each error.
enum class Outcome
{
  /// No byte of the request reached an upstream, or the upstream answered that it
  /// rejected the request.
  NotRun,
  /// The request may have run.
  OutcomeUnknown,
  /// The request ran.
  Ran,
};

/// @brief The text form: `not-run`, `outcome-unknown` or `ran`.
std::string_view
ToText(Outcome aOutcome);

/// @brief The processing step at which an error occurred.
enum class Step
{
  /// Reading flags, settings or addresses.
  Settings,
  ParseRequest,
  FindProfile,
  Admission,
  ChooseSnapshot,
  Connect,
  Send,
  Receive,
  /// Reading the reply of an upstream.
  UpstreamReply,
  /// Forwarding a request to another VM.
  Forward,
  /// Checking an execution ticket.
  Ticket,
  Quarantine,
  Deadline,
  /// Reading or applying the configuration.
  Configuration,
  /// Calling the platform.
  Platform,
  /// Encoding, decoding or transporting a message between VMs.
  FleetMessage,
  Shutdown,
};

/// @brief The text form in lower case with dashes, for example `choose-snapshot`.
std::string_view
ToText(Step aStep);

/// @brief A failure with the step, the peer and the cause.
struct Error
{
  Step mStep = Step::Settings;
  /// Address or id of the peer; empty if the step involves none.
  std::string mPeer;
  /// Whether the failed request ran.
  Outcome mOutcome = Outcome::NotRun;
  /// Human-readable cause.
  std::string mCause;
};

/// @brief Formats an error as one line: `step peer: cause (outcome)`.
std::string
ToText(const Error& aError);

/// @brief A value or an Error.
template<class T>
using Result = boost::leaf::result<T>;

/// @brief Returns @p aError from a function with a Result; use as
/// `return Fail(Error{...});`.
inline boost::leaf::error_id
Fail(Error aError)
{
  return boost::leaf::new_error(std::move(aError));
}

/// @brief Calls @p aTry, a function that returns Result<T>, and returns its value. On
/// failure, returns the T that @p aOnError makes of the `const Error&`.
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
