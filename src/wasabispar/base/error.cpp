/// @file
/// @brief Text forms of Outcome, Step and Error.
#include "wasabispar/base/error.hpp"

namespace wasabispar {

std::string_view
ToText(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::NotRun:
      return "not-run";
    case Outcome::OutcomeUnknown:
      return "outcome-unknown";
    case Outcome::Ran:
      return "ran";
  }
  return "outcome-unknown";
}

std::string_view
ToText(Step aStep)
{
  switch (aStep) {
    case Step::Settings:
      return "settings";
    case Step::ParseRequest:
      return "parse-request";
    case Step::FindProfile:
      return "find-profile";
    case Step::Admission:
      return "admission";
    case Step::ChooseSnapshot:
      return "choose-snapshot";
    case Step::Connect:
      return "connect";
    case Step::Send:
      return "send";
    case Step::Receive:
      return "receive";
    case Step::UpstreamReply:
      return "upstream-reply";
    case Step::Forward:
      return "forward";
    case Step::Ticket:
      return "ticket";
    case Step::Quarantine:
      return "quarantine";
    case Step::Deadline:
      return "deadline";
    case Step::Configuration:
      return "configuration";
    case Step::Platform:
      return "platform";
    case Step::FleetMessage:
      return "fleet-message";
    case Step::Shutdown:
      return "shutdown";
  }
  return "unknown";
}

std::string
ToText(const Error& aError)
{
  std::string text(ToText(aError.mStep));
  if (!aError.mPeer.empty()) {
    text += " " + aError.mPeer;
  }
  text += ": " + aError.mCause + " (" + std::string(ToText(aError.mOutcome)) + ")";
  return text;
}

} // namespace wasabispar
