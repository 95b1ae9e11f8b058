/// @file
/// @brief Client of the platform: configuration values (read and watch) and the list of
/// VMs and upstreams. It only reads; it decides neither when to call nor what to adopt.
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
  Revision mRevision;
  bool mDeleted = false;
  std::string mValue;
};

/// @brief Values at a revision of the platform.
struct PlatformValues
{
  Revision mRevision;
  std::vector<PlatformItem> mItems;
};

struct PlatformVm
{
  VmId mVm;
  DataCentreId mDataCentre;
  RegionId mRegion;
  Endpoint mFleet;
  bool mLeaving = false;
};

struct PlatformUpstream
{
  UpstreamId mUpstream;
  IndexName mIndex;
  DataCentreId mDataCentre;
  Endpoint mAddress;
  bool mLeaving = false;
  /// Most connections that the upstream accepts, over all VMs.
  std::uint32_t mConnectionLimit = 0;
};

/// @brief The platform's list; it lags behind what is live.
struct PlatformInventory
{
  std::vector<PlatformVm> mVms;
  std::vector<PlatformUpstream> mUpstreams;
};

/// @brief Parses the body of a values or watch response.
Result<PlatformValues>
ParsePlatformValues(std::string_view aBody, const std::string& aPeer);

/// @brief Parses the body of a list response.
Result<PlatformInventory>
ParsePlatformInventory(std::string_view aBody, const std::string& aPeer);

/// @brief Makes calls to the platform. Callbacks run on the io_context.
class PlatformClient
{
public:
  using ValuesFn = std::function<void(std::optional<PlatformValues>, Error)>;
  /// The body as received, so that it can be passed on to other VMs.
  using InventoryFn = std::function<void(std::optional<std::string> aBody, Error)>;

  PlatformClient(boost::asio::io_context& aContext, Endpoint aPlatform);

  /// @brief Reads all values whose key starts with @p aPrefix.
  void ReadValues(const std::string& aPrefix, ValuesFn aDone);
  /// @brief Waits up to @p aWait for values that changed after @p aAfter.
  void WatchValues(const std::string& aPrefix, Revision aAfter, Duration aWait,
                   ValuesFn aDone);
  /// @brief Reads the list; parse the body with ParsePlatformInventory().
  void ReadInventory(InventoryFn aDone);

  /// @brief Calls made since the start; each one counts against the platform's limit.
  std::uint64_t Calls() const { return mCalls; }

private:
  boost::asio::io_context& mContext;
  Endpoint mPlatform;
  std::atomic<std::uint64_t> mCalls{ 0 };

  void FetchValues(const std::string& aTarget, Duration aTimeout, ValuesFn aDone);
};

} // namespace wasabispar
