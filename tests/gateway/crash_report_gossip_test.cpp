/// @file
/// @brief Tests of the reports on requests that crash upstreams, as the processes of VMs
/// exchange them by gossip.
#include "wasabispar/base/random.hpp"
#include "wasabispar/fleet/gossip_store.hpp"
#include "wasabispar/gateway/crash_report_codec.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace wasabispar;
using namespace std::chrono_literals;

namespace {

const RequestPart kPart{ RequestFingerprint(7), ServiceFingerprint(1) };
const std::vector<std::string> kVms{ "10.0.0.1", "10.0.0.2", "10.0.0.3" };

/// What one process knows of the crashes.
struct Process
{
  CrashReporter mSelf;
  GossipStore mGossip;
  CrashLimiter mLimiter;

  explicit Process(CrashReporter aSelf)
    : mSelf(std::move(aSelf))
    , mGossip(mSelf.mVm, {}, SeededRandom(1))
  {
    std::vector<GossipPeer> peers;
    for (const auto& vm : kVms) {
      peers.push_back({ VmId(vm), "tcp://" + vm });
    }
    mGossip.SetPeers(std::move(peers));
  }

  void Receive(const VmId& aSender, const std::vector<GossipEntry>& aEntries,
               TimePoint aNow)
  {
    for (const auto& entry : mGossip.OnGossip(aSender, aEntries, aNow).mChanged) {
      const auto report = DecodeCrashReport(entry, aNow);
      REQUIRE(report);
      mLimiter.OnReport(CrashReporterOf(entry), *report, aNow);
    }
  }
};

/// Three VMs, whose processes can be restarted.
class Fleet
{
public:
  Fleet()
  {
    for (std::size_t vm = 0; vm < kVms.size(); ++vm) {
      mProcesses.push_back(nullptr);
      Restart(vm);
    }
  }

  /// Starts a process of the VM that knows nothing.
  void Restart(std::size_t aVm)
  {
    mProcesses[aVm] = std::make_unique<Process>(
      CrashReporter{ VmId(kVms[aVm]), Incarnation(++mLastIncarnation) });
  }
  /// Passes all that the first VM's process knows to the second one's.
  void Exchange(std::size_t aFrom, std::size_t aTo)
  {
    const auto& from = *mProcesses[aFrom];
    mProcesses[aTo]->Receive(from.mSelf.mVm, from.mGossip.FindByPrefix("", mNow), mNow);
  }
  /// An upstream crashes with the request at the VM, which reports it to the others.
  void Crash(std::size_t aVm)
  {
    mNow += 2s;
    auto& process = *mProcesses[aVm];
    const UpstreamIncarnation upstream{ UpstreamId("u"), ++mUpstreamStarts };
    process.mLimiter.OnSent(mUpstreamStarts, kPart, upstream, mNow);
    process.mLimiter.OnLost(mUpstreamStarts, mNow);
    process.mLimiter.OnConnectFailed(upstream, mNow);
    mNow += 2s;
    for (const auto& report : process.mLimiter.Tick(mNow)) {
      Publish(process, report);
    }
  }
  /// The request completes at the VM, which reports it to the others.
  void Complete(std::size_t aVm)
  {
    mNow += 2s;
    auto& process = *mProcesses[aVm];
    const UpstreamIncarnation upstream{ UpstreamId("u"), ++mUpstreamStarts };
    process.mLimiter.OnSent(mUpstreamStarts, kPart, upstream, mNow);
    process.mLimiter.OnCompleted(mUpstreamStarts, mNow);
    for (const auto& report : process.mLimiter.Tick(mNow)) {
      Publish(process, report);
    }
  }
  std::uint32_t Crashes(std::size_t aVm) const
  {
    return mProcesses[aVm]->mLimiter.SuccessiveCrashes(kPart.mRequest, mNow);
  }
  bool MaySend(std::size_t aVm) const
  {
    return mProcesses[aVm]->mLimiter.MaySend(kPart, mNow);
  }

private:
  void Publish(Process& aFrom, const RequestCrashReport& aReport)
  {
    const auto actions =
      aFrom.mGossip.Publish(CrashReportKey(aReport.mFingerprint, aFrom.mSelf), ++mVersion,
                            EncodeCrashReport(aReport, mNow), kCrashReportTtl, mNow);
    for (const auto& push : actions.mOutgoing) {
      for (const auto& process : mProcesses) {
        if (process->mSelf.mVm == push.mTo) {
          process->Receive(aFrom.mSelf.mVm, push.mMessage.mGossip, mNow);
        }
      }
    }
  }

  std::vector<std::unique_ptr<Process>> mProcesses;
  TimePoint mNow{ 1000s };
  std::uint64_t mLastIncarnation = 0;
  std::uint64_t mUpstreamStarts = 0;
  std::uint64_t mVersion = 0;
};

} // namespace

/// Guards against a request that crashes three more upstreams after each restart of the
/// VM that reported it (review/14).
TEST_CASE("a VM that restarts learns of the crashes that it reported before")
{
  Fleet fleet;
  for (int i = 0; i < 3; ++i) {
    CHECK(fleet.MaySend(0));
    fleet.Crash(0);
  }
  CHECK_FALSE(fleet.MaySend(0));
  fleet.Restart(0);
  fleet.Exchange(1, 0);
  CHECK_FALSE(fleet.MaySend(0));
}

/// Guards against VMs that send a blocked request again, because the VM that reported its
/// crashes restarted and saw another one.
TEST_CASE("a report after a restart does not replace the one before")
{
  Fleet fleet;
  for (int i = 0; i < 3; ++i) {
    fleet.Crash(0);
  }
  fleet.Restart(0);
  fleet.Crash(0);
  CHECK_FALSE(fleet.MaySend(1));
  CHECK_FALSE(fleet.MaySend(2));
  fleet.Restart(2);
  fleet.Exchange(1, 2);
  CHECK_FALSE(fleet.MaySend(2));
}

TEST_CASE("crashes before and after a restart add up")
{
  Fleet fleet;
  fleet.Crash(0);
  fleet.Restart(0);
  fleet.Exchange(1, 0);
  fleet.Crash(0);
  CHECK(fleet.MaySend(1));
  fleet.Restart(0);
  fleet.Exchange(2, 0);
  fleet.Crash(0);
  for (std::size_t vm = 0; vm < kVms.size(); ++vm) {
    CHECK_FALSE(fleet.MaySend(vm));
  }
}

/// Guards against a request that is blocked too early: a VM that starts counts crashes
/// that a completion had cleared, because their reporter restarted meanwhile.
TEST_CASE("a completion clears earlier crashes at a VM that starts later")
{
  Fleet fleet;
  fleet.Crash(1);
  fleet.Crash(1);
  fleet.Restart(1);
  fleet.Exchange(2, 1);
  fleet.Complete(0);
  CHECK(fleet.Crashes(2) == 0);
  fleet.Restart(2);
  fleet.Exchange(0, 2);
  CHECK(fleet.Crashes(2) == 0);
}
