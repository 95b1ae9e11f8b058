/// @file
/// @brief What the tests against wasabispard share: a small system and a load on it.
#pragma once

#include "bench/load_generator.hpp"
#include "tests/harness/cluster.hpp"

#include <string>

namespace wasabispar::harness {

constexpr const char* kSearchProfile = "search";
constexpr const char* kExecuteProfile = "execute";
constexpr auto kReadyTimeout = std::chrono::seconds(30);

/// @brief One group of 6 instances with 3 shards in 2 replicas: `s0` on instances 0 and
/// 1, `s1` on 2 and 3, `s2` on 4 and 5.
UpstreamSpec
SmallGroup();

/// @brief Three VMs over SmallGroup() with both profiles. Throws when it does not
/// become ready.
class SmallSystem
{
public:
  explicit SmallSystem(ClusterSpec aSpec = {});

  Cluster& System() { return *mCluster; }
  UpstreamProcess& Upstream() { return mCluster->Upstream(); }
  VmProcess& Vm(std::size_t aNumber) { return mCluster->Vm(aNumber); }
  /// @brief A load over all VMs that checks each answer.
  bench::LoadSpec Load(std::chrono::milliseconds aDuration, double aRate = 60);
  /// @brief True when VM @p aNumber answers @p aProfile with the status @p aCode.
  bool Answers(std::size_t aNumber, const std::string& aProfile, unsigned aCode);
  /// @brief True when all VMs do.
  bool AllAnswer(const std::string& aProfile, unsigned aCode);
  /// @brief False when a VM has ended, by a crash or as the test asked it to.
  bool AllRunning();
  /// @brief The largest number of connections that an instance held, and the number
  /// that instances refused.
  std::uint64_t MaxConnections();
  std::uint64_t RefusedConnections();

private:
  std::unique_ptr<Cluster> mCluster;
};

/// @brief The report as text, for a failed check.
std::string
Describe(const bench::LoadReport& aReport);

} // namespace wasabispar::harness
