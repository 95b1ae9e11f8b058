/// @file
/// @brief The cases of the review that are scripts.
#pragma once

#include <string>

namespace standin {

struct CaseOptions
{
  /// Path of the program of an entry VM.
  std::string mProgram;
  /// Temporary folder for settings and logs.
  std::string mFolder;
  std::string mRecordPath;
  /// False to leave out the disruption.
  bool mHasTrouble = true;
};

/// The cases run until they end the program with a verdict.
///
/// The entries of a service that lapsed in an outage are back, and stay unused.
void
RunLapsedEntries(const CaseOptions& aOptions);

/// A request that crashes its searchers comes again and again.
void
RunCrashingRequest(const CaseOptions& aOptions);

/// The pages of a VM's first read are not equally old.
void
RunStalePages(const CaseOptions& aOptions);

/// Searchers of many shards are taken away at once, without a report.
void
RunLateRemoval(const CaseOptions& aOptions);

/// The VMs' open connections to the store go silent while a route is moved.
void
RunSilentConnections(const CaseOptions& aOptions);

} // namespace standin
