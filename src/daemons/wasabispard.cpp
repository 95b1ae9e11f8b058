/// @file
/// @brief The daemon's main(): parses settings, runs, returns the exit code.
#include "wasabispar/app/daemon.hpp"
#include "wasabispar/app/settings.hpp"

#include <cstdlib>
#include <iostream>

using namespace wasabispar;

namespace {

constexpr int kExitSettings = 2;

std::optional<std::string>
Environment(const std::string& aName)
{
  const char* value = std::getenv(aName.c_str());
  return value ? std::optional<std::string>(value) : std::nullopt;
}

int
Act(const SettingsRequest& aRequest)
{
  switch (aRequest.mAction) {
    case SettingsRequest::Action::PrintHelp:
      std::cout << SettingsHelp();
      return 0;
    case SettingsRequest::Action::PrintVersion:
      std::cout << "wasabispard " WASABISPAR_VERSION "\n";
      return 0;
    case SettingsRequest::Action::CheckSettings:
      std::cout << "settings are valid\n";
      return 0;
    case SettingsRequest::Action::Run:
      break;
  }
  ConfigureLog(aRequest.mSettings.mLogLevel, aRequest.mSettings.mLogFormat);
  return Daemon(aRequest.mSettings).Run();
}

} // namespace

int
main(int aCount, char** aValues)
{
  return HandleError(
    [&]() -> Result<int> {
      BOOST_LEAF_AUTO(request,
                      ParseSettings({ aValues + 1, aValues + aCount }, Environment));
      return Act(request);
    },
    [](const Error& aError) {
      std::cerr << "wasabispard: " << aError.mPeer << ": " << aError.mCause << "\n";
      return kExitSettings;
    });
}
