/// @file
/// @brief Read-only client of the platform: reads and watches configuration values, and
/// reads the list of VMs and upstreams. The caller decides when to call and which results
/// to use.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/base/ids.hpp"
#include "wasabispar/net/http_client.hpp"

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief One configuration value.
struct PlatformItem
{
  std::string mKey;
  /// Revision of the last change of this value.
  Revision mRevision;
  bool mDeleted = false;
  std::string mValue;
};

/// @brief The result of reading or watching configuration values.
struct PlatformValues
{
  /// Revision of the platform at which the values were read.
  Revision mRevision;
  std::vector<PlatformItem> mItems;
};

/// @brief A VM of the query tier in the platform's list.
struct PlatformVm
{
  VmId mVm;
  DataCentreId mDataCentre;
  RegionId mRegion;
  /// Address for messages from other VMs.
  Endpoint mFleet;
  /// The platform lists the VM as leaving.
  bool mLeaving = false;
};

/// @brief An upstream in the platform's list.
struct PlatformUpstream
{
  UpstreamId mUpstream;
  IndexName mIndex;
  DataCentreId mDataCentre;
  Endpoint mAddress;
  /// The platform lists the upstream as leaving.
  bool mLeaving = false;
  /// Maximum number of connections that the upstream accepts, from all VMs together.
  std::uint32_t mConnectionLimit = 0;
};

/// @brief The platform's list of VMs and upstreams. It lags behind the actual state.
struct PlatformInventory
{
  std::vector<PlatformVm> mVms;
  std::vector<PlatformUpstream> mUpstreams;
};

/// @brief Parses the body of a values or watch response. Fails with Step::Platform.
Result<PlatformValues>
ParsePlatformValues(std::string_view aBody, const std::string& aPeer);

/// @brief Parses the body of a list response. Fails with Step::Platform, or with
/// Step::Settings if an address is malformed.
Result<PlatformInventory>
ParsePlatformInventory(std::string_view aBody, const std::string& aPeer);

/// @brief Sends requests to the platform. Callbacks run on the io_context.
class PlatformClient
{
public:
  /// @brief Receives the values; if there are none, the error states why.
  using ValuesFn = std::function<void(std::optional<PlatformValues>, Error)>;
  /// @brief Receives the body as sent by the platform, so that it can be forwarded to
  /// other VMs; if there is none, the error states why.
  using InventoryFn = std::function<void(std::optional<std::string> aBody, Error)>;

  PlatformClient(boost::asio::io_context& aContext, Endpoint aPlatform);

  /// @brief Reads all values whose key starts with @p aPrefix.
  void ReadValues(const std::string& aPrefix, ValuesFn aDone);
  /// @brief Waits up to @p aWait for changes after revision @p aAfter of values whose key
  /// starts with @p aPrefix.
  void WatchValues(const std::string& aPrefix, Revision aAfter, Duration aWait,
                   ValuesFn aDone);
  /// @brief Reads the list of VMs and upstreams; ParsePlatformInventory() parses its
  /// body.
  void ReadInventory(InventoryFn aDone);

  /// @brief Number of requests sent so far; each counts against the platform's limit.
  std::uint64_t Calls() const { return mCalls; }

private:
  boost::asio::io_context& mContext;
  Endpoint mPlatform;
  std::atomic<std::uint64_t> mCalls{ 0 };

  void FetchValues(const std::string& aTarget, Duration aTimeout, ValuesFn aDone);
};

} // namespace wasabispar
