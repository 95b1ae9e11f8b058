/// @file
/// @brief Runs one case: standin CASE PROGRAM FOLDER RECORD TROUBLE.
#include "cases.hh"
#include "fleet.hh"

#include <cstdio>
#include <functional>
#include <map>

int
main(int aCount, char** aArguments)
{
  using namespace standin;
  const std::map<std::string, std::function<void(const CaseOptions&)>> cases{
    { "lapsed-entries", RunLapsedEntries },
    { "crashing-request", RunCrashingRequest },
    { "stale-pages", RunStalePages },
    { "late-removal", RunLateRemoval },
    { "silent-connections", RunSilentConnections },
  };
  const auto found = aCount == 6 ? cases.find(aArguments[1]) : cases.end();
  if (found == cases.end()) {
    std::fprintf(stderr, "usage: standin CASE PROGRAM FOLDER RECORD TROUBLE\n");
    return static_cast<int>(Verdict::CouldNotRun);
  }
  const CaseOptions options{ aArguments[2], aArguments[3], aArguments[4],
                             std::string(aArguments[5]) != "0" };
  found->second(options);
  return static_cast<int>(Verdict::CouldNotRun);
}
