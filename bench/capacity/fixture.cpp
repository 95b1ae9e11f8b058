/// @file
/// @brief Fixture of the capacity benchmarks.
#include "fixture.hpp"

#include <malloc.h>

#include <algorithm>

namespace wasabispar::capacity {

std::size_t
HeapBytes()
{
  const auto info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

std::string
Numbered(std::string_view aPrefix, std::size_t aNumber)
{
  const auto digits = std::to_string(aNumber);
  return std::string(aPrefix) + "-" +
         std::string(5 - std::min<std::size_t>(5, digits.size()), '0') + digits;
}

VmIdentity
MakeVm(std::size_t aDataCentre, std::size_t aNumber)
{
  const auto centre = std::to_string(aDataCentre);
  const auto address = "tcp://10." + centre + "." + std::to_string(aNumber / 250) + "." +
                       std::to_string(aNumber % 250) + ":7400";
  return { VmId(Numbered("vm-dc" + centre, aNumber)),
           Incarnation(1'700'000'000'000 + aNumber), address,
           DataCentreId("harju-a-" + centre),
           RegionId("region-" + std::to_string(aDataCentre / 3)) };
}

std::vector<VmId>
LocalVms(std::size_t aLocal)
{
  std::vector<VmId> vms;
  for (std::size_t i = 0; i < aLocal; ++i) {
    vms.push_back(MakeVm(0, i).mVm);
  }
  return vms;
}

std::size_t
WireBytes(const FleetMessage& aMessage)
{
  const auto sender = MakeVm(0, 0);
  return Require([&] {
           return EncodeFleet(
             { sender.mVm, sender.mIncarnation, sender.mDataCentre, 0, aMessage });
         })
    .size();
}

UpstreamReport
MakeReport(std::size_t aNumber, std::size_t aShards)
{
  UpstreamReport report;
  report.mIndex = IndexName("counter-app");
  report.mSlots = 2 * kSearchersPerInstance;
  DeclaredVersion version;
  version.mVersion = SnapshotVersion(42);
  for (std::size_t i = 0; i < aShards; ++i) {
    version.mAllShards.emplace_back(Numbered("shard", i));
  }
  for (std::size_t i = 0; i < kSearchersPerInstance; ++i) {
    version.mHeldShards.push_back(
      version.mAllShards[(aNumber * kSearchersPerInstance + i) % aShards]);
  }
  report.mVersions.push_back(std::move(version));
  return report;
}

void
FillTable(UpstreamTable& aTable, std::size_t aCount, std::size_t aShards, TimePoint aNow)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const UpstreamId id(Numbered("counter-app", i));
    aTable.OnDeclared({ id, IndexName("counter-app"), DataCentreId("harju-a-0"),
                        "10.0.1.2:9000", false, 25 },
                      aNow);
    aTable.OnReport(id, MakeReport(i, aShards), aNow, aNow);
    for (int exchange = 0; exchange < 4; ++exchange) {
      aTable.OnExchangeStarted(id, aNow);
      ExchangeEnd end;
      end.mLatency = std::chrono::microseconds(400 + 100 * exchange);
      aTable.OnExchangeEnded(id, end, aNow);
    }
  }
}

} // namespace wasabispar::capacity
