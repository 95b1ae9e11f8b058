/// @file
/// @brief A platform, upstream groups and wasabispard processes that form one system.
#pragma once

#include "tests/harness/standin_control.hpp"
#include "tests/harness/tcp_relay.hpp"

#include <memory>
#include <string>
#include <vector>

namespace wasabispar::harness {

/// @brief One entry VM to start.
struct VmSpec
{
  std::string mName = "vm1";
  std::string mDataCentre = "dc1";
  std::string mRegion = "region1";
  /// True: the other VMs reach its fleet port through a relay.
  bool mRelayFleet = false;
};

struct ClusterSpec
{
  std::vector<VmSpec> mVms;
  std::vector<UpstreamSpec> mUpstreams;
  std::size_t mWorkers = 1;
  int mDrainDelayMs = 300;
  int mGraceMs = 5000;
  std::string mLogLevel = "warning";
  /// Passed to each wasabispard in addition.
  std::vector<std::string> mFlags;
  /// True: an upstream instance is reached through a relay; see Cluster::InstanceRelay.
  bool mRelayUpstreams = false;
  /// The program; a measurement can start another one with the same flags.
  std::string mProgram = "wasabispard";
};

/// @brief A running wasabispard.
class VmProcess
{
public:
  VmProcess(const VmSpec& aVm, const ClusterSpec& aCluster, const Endpoint& aPlatform);

  const VmSpec& Spec() const { return mSpec; }
  Endpoint Caller() const { return mCaller; }
  Endpoint Operator() const { return mOperator; }
  /// @brief The address for the platform's list: the relay's when there is one.
  Endpoint Fleet() const;
  ChildProcess& Process() { return mProcess; }
  /// @brief Empty unless the VM was specified with a relay.
  TcpRelay* FleetRelay() { return mRelay.get(); }
  /// @brief The sum of all samples of a metric on the operator port whose labels
  /// contain @p aLabel.
  double Metric(const std::string& aName, const std::string& aLabel = {}) const;

private:
  VmSpec mSpec;
  ChildProcess mProcess;
  Endpoint mCaller;
  Endpoint mOperator;
  Endpoint mFleet;
  std::unique_ptr<TcpRelay> mRelay;
};

/// @brief `count` VMs of one data centre, named `vm1` and so on.
std::vector<VmSpec>
MakeVms(std::size_t aCount, const std::string& aDataCentre = "dc1",
        const std::string& aRegion = "region1");

/// @brief Starts all processes on construction and ends them on destruction.
class Cluster
{
public:
  explicit Cluster(ClusterSpec aSpec);

  PlatformProcess& Platform() { return *mPlatform; }
  UpstreamProcess& Upstream(std::size_t aNumber = 0) { return *mUpstreams.at(aNumber); }
  std::size_t VmCount() const { return mVms.size(); }
  VmProcess& Vm(std::size_t aNumber) { return *mVms.at(aNumber); }
  TcpRelay& InstanceRelay(std::size_t aUpstream, std::size_t aInstance);

  /// @brief Adds VMs of another cluster, with the addresses at which this one reaches
  /// them, to the list and publishes it.
  void SetForeignVms(boost::json::array aVms);
  /// @brief Publishes the list of the VMs that were not removed and of the upstreams.
  void PublishList();
  /// @brief Marks an upstream instance as leaving in the list and publishes it.
  void MarkLeaving(const std::string& aInstance);
  void PublishProfile(const std::string& aName, const boost::json::object& aProfile);
  /// @brief Waits until each VM is ready and answers a query of @p aProfile with full
  /// coverage on its caller port. False when it takes longer.
  bool WaitReady(const std::string& aProfile, std::chrono::milliseconds aTimeout);
  /// @brief Ends VM @p aNumber with SIGKILL, starts it again and publishes the list.
  void RestartVm(std::size_t aNumber);

private:
  boost::json::object VmList() const;
  boost::json::object UpstreamEntry(const UpstreamProcess& aGroup,
                                    std::size_t aGroupNumber,
                                    std::size_t aInstance) const;

  ClusterSpec mSpec;
  std::unique_ptr<PlatformProcess> mPlatform;
  std::vector<std::unique_ptr<UpstreamProcess>> mUpstreams;
  std::vector<std::vector<std::unique_ptr<TcpRelay>>> mInstanceRelays;
  std::vector<std::unique_ptr<VmProcess>> mVms;
  std::vector<std::string> mLeaving;
  boost::json::array mForeignVms;
};

/// @brief The entry of a VM in the platform's list, reached at @p aFleet.
boost::json::object
VmEntry(const VmSpec& aVm, const Endpoint& aFleet);

/// @brief A search profile that any caller may use, as JSON for PublishProfile().
boost::json::object
SearchProfile(const std::string& aIndex);

/// @brief The same for executions.
boost::json::object
ExecuteProfile(const std::string& aIndex);

/// @brief Sends one query to a caller port.
CallReply
Query(const Endpoint& aCaller, const std::string& aProfile, const std::string& aText,
      Duration aTimeout = kCallTimeout, const std::string& aCallerId = "caller-a");

} // namespace wasabispar::harness
