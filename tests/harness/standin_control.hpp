/// @file
/// @brief Handles of the stand-in processes: start, control and record.
#pragma once

#include "tests/harness/child_process.hpp"
#include "tests/harness/http_call.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace wasabispar::harness {

/// @brief An upstream group to start. The defaults are those of `standin_upstream`.
struct UpstreamSpec
{
  std::string mName = "upstream";
  std::string mIndex = "index";
  std::string mDataCentre = "dc1";
  std::size_t mInstances = 3;
  std::size_t mSearchers = 3;
  std::size_t mSlots = 2;
  std::size_t mConnectionLimit = 25;
  double mConnectionCostMs = 6;
  std::size_t mShards = 3;
  std::size_t mReplicas = 2;
  std::uint64_t mVersion = 1;
  double mBaseMs = 2;
  double mJitterMs = 1;
  double mStragglerShare = 0;
  double mStragglerFactor = 20;
  std::uint64_t mSeed = 1;
  std::size_t mQueue = 64;
};

/// @brief A running `standin_upstream`.
class UpstreamProcess
{
public:
  explicit UpstreamProcess(UpstreamSpec aSpec, const std::string& aLogPath = {});

  const UpstreamSpec& Spec() const { return mSpec; }
  /// @brief The name of instance @p aNumber.
  std::string InstanceName(std::size_t aNumber) const;
  Endpoint Instance(std::size_t aNumber) const;
  /// @brief The numbers of the instances that hold @p aShard at the start version.
  std::vector<std::size_t> Holders(const std::string& aShard) const;
  /// @brief Changes settings of one instance, or of all for `*`. Throws when the
  /// stand-in refuses.
  void Set(const std::string& aInstance, const boost::json::object& aSettings) const;
  boost::json::object Record() const;
  ChildProcess& Process() { return mProcess; }

private:
  UpstreamSpec mSpec;
  ChildProcess mProcess;
  Endpoint mControl;
  std::vector<Endpoint> mInstances;
};

/// @brief A running `standin_platform`.
class PlatformProcess
{
public:
  explicit PlatformProcess(const std::string& aLogPath = {});

  Endpoint Address() const { return mAddress; }
  /// @brief Writes a key. Empty when @p aExpected is not the key's revision.
  std::optional<std::uint64_t> Put(const std::string& aKey, const std::string& aValue,
                                   std::optional<std::uint64_t> aExpected = {}) const;
  std::optional<std::uint64_t> Delete(const std::string& aKey,
                                      std::optional<std::uint64_t> aExpected = {}) const;
  void PutList(const boost::json::object& aList) const;
  /// @brief Modes `normal`, `down` and `stale`; see PlatformService.
  void SetMode(const std::string& aMode) const;
  void Control(const boost::json::object& aSettings) const;
  boost::json::object Record() const;
  ChildProcess& Process() { return mProcess; }

private:
  ChildProcess mProcess;
  Endpoint mAddress;
  Endpoint mControl;
};

/// @brief A number in a record; 0 when it is absent.
std::uint64_t
RecordNumber(const boost::json::object& aRecord, std::string_view aName);

/// @brief The part of a group's record for one instance; empty when there is none.
boost::json::object
InstanceRecord(const boost::json::object& aRecord, const std::string& aInstance);

/// @brief The largest count of executions of one body id in a group's record.
std::uint64_t
MaxExecutionsOfOneBody(const boost::json::object& aRecord);

} // namespace wasabispar::harness
