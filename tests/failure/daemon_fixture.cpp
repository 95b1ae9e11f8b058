/// @file
/// @brief Implements the small system of the tests.
#include "tests/failure/daemon_fixture.hpp"

#include "tests/standins/index_layout.hpp"

#include <algorithm>
#include <stdexcept>

namespace wasabispar::harness {

namespace json = boost::json;

UpstreamSpec
SmallGroup()
{
  UpstreamSpec spec;
  spec.mInstances = 6;
  spec.mSearchers = 2;
  spec.mShards = 3;
  spec.mReplicas = 2;
  return spec;
}

SmallSystem::SmallSystem(ClusterSpec aSpec)
{
  if (aSpec.mVms.empty()) {
    aSpec.mVms = MakeVms(3);
  }
  if (aSpec.mUpstreams.empty()) {
    aSpec.mUpstreams = { SmallGroup() };
  }
  mCluster = std::make_unique<Cluster>(std::move(aSpec));
  const auto& index = Upstream().Spec().mIndex;
  mCluster->PublishProfile(kSearchProfile, SearchProfile(index));
  mCluster->PublishProfile(kExecuteProfile, ExecuteProfile(index));
  if (!mCluster->WaitReady(kSearchProfile, kReadyTimeout)) {
    throw std::runtime_error("the system did not become ready");
  }
}

bench::LoadSpec
SmallSystem::Load(std::chrono::milliseconds aDuration, double aRate)
{
  bench::LoadSpec load;
  for (std::size_t vm = 0; vm < mCluster->VmCount(); ++vm) {
    load.mVms.push_back(Vm(vm).Caller());
  }
  load.mProfile = kSearchProfile;
  load.mCallers = { { "caller-a", 1 }, { "caller-b", 1 } };
  load.mRatePerSecond = aRate;
  load.mDuration = aDuration;
  const auto& spec = Upstream().Spec();
  for (std::size_t more = 0; more <= 1; ++more) {
    const auto names = standins::ShardNames(spec.mShards + more);
    load.mMaps[spec.mVersion + more] = { names.begin(), names.end() };
  }
  return load;
}

bool
SmallSystem::Answers(std::size_t aNumber, const std::string& aProfile, unsigned aCode)
{
  const auto reply =
    Query(Vm(aNumber).Caller(), aProfile, "probe", std::chrono::seconds(2));
  return reply.Code() == aCode;
}

bool
SmallSystem::AllAnswer(const std::string& aProfile, unsigned aCode)
{
  for (std::size_t vm = 0; vm < mCluster->VmCount(); ++vm) {
    if (!Answers(vm, aProfile, aCode)) {
      return false;
    }
  }
  return true;
}

bool
SmallSystem::AllRunning()
{
  bool running = true;
  for (std::size_t vm = 0; vm < mCluster->VmCount(); ++vm) {
    const auto end = Vm(vm).Process().WaitForEnd(std::chrono::milliseconds(0));
    running = running && !end;
  }
  return running;
}

std::uint64_t
SmallSystem::MaxConnections()
{
  std::uint64_t most = 0;
  // Named, because a range-for does not extend the life of an inner temporary.
  const auto record = Upstream().Record();
  for (const auto& entry : record.at("instances").as_array()) {
    most = std::max(most, RecordNumber(entry.as_object(), "connections_max"));
  }
  return most;
}

std::uint64_t
SmallSystem::RefusedConnections()
{
  std::uint64_t refused = 0;
  // Named, because a range-for does not extend the life of an inner temporary.
  const auto record = Upstream().Record();
  for (const auto& entry : record.at("instances").as_array()) {
    refused += RecordNumber(entry.as_object(), "connections_refused");
  }
  return refused;
}

std::string
Describe(const bench::LoadReport& aReport)
{
  return json::serialize(ToJson(aReport));
}

} // namespace wasabispar::harness
