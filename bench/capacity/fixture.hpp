/// @file
/// @brief Ids, sizes and measurements that the capacity benchmarks share.
#pragma once

#include "wasabispar/base/error.hpp"
#include "wasabispar/fleet/member.hpp"
#include "wasabispar/net/fleet_codec.hpp"
#include "wasabispar/upstream/upstream_table.hpp"

#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar::capacity {

/// Seed of all random choices of the benchmarks.
inline constexpr std::uint64_t kSeed = 20261204;
inline constexpr std::size_t kDataCentres = 9;
/// 3,300 VMs over 9 data centres.
inline constexpr std::size_t kLocalVms = 367;
/// 8,667 instances over 9 data centres, 3 searchers each.
inline constexpr std::size_t kLocalInstances = 963;
inline constexpr std::size_t kSearchersPerInstance = 3;

/// @brief Bytes of the heap that are in use.
std::size_t
HeapBytes();

/// @brief An id as `<prefix>-<number>`, with the number padded to 5 digits.
std::string
Numbered(std::string_view aPrefix, std::size_t aNumber);

/// @brief VM @p aNumber of data centre @p aDataCentre, below kDataCentres.
VmIdentity
MakeVm(std::size_t aDataCentre, std::size_t aNumber);

/// @brief VMs 0 to @p aLocal - 1 of data centre 0.
std::vector<VmId>
LocalVms(std::size_t aLocal);

/// @brief Type of the value of a Result.
template<class T>
struct ResultValue;
template<class T>
struct ResultValue<Result<T>>
{
  using Type = T;
};

/// @brief The value of the Result that @p aTry returns; ends the program on an error.
template<class TryFn>
auto
Require(TryFn&& aTry)
{
  using Value = typename ResultValue<decltype(aTry())>::Type;
  return HandleError(std::forward<TryFn>(aTry), [](const Error& aError) -> Value {
    std::cerr << ToText(aError) << '\n';
    std::abort();
  });
}

/// @brief Bytes of @p aMessage on the wire, envelope included.
std::size_t
WireBytes(const FleetMessage& aMessage);

/// @brief Report of instance @p aNumber: one version with @p aShards shards, of which it
/// holds kSearchersPerInstance.
UpstreamReport
MakeReport(std::size_t aNumber, std::size_t aShards);

/// @brief Declares @p aCount upstreams of one index and takes their reports.
void
FillTable(UpstreamTable& aTable, std::size_t aCount, std::size_t aShards, TimePoint aNow);

} // namespace wasabispar::capacity
