/// @file
/// @brief The VMs: processes of the deploy file's `run` line with their settings files.
#pragma once

#include "http.hpp"
#include "record.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

namespace review {

/// @brief Ports that are the same on all VMs of a case.
struct EdgePorts
{
  std::uint16_t mHttp = 0;
  std::uint16_t mReadiness = 0;
  std::uint16_t mAdmin = 0;
  std::uint16_t mFleet = 0;
};

inline std::string
VmIp(std::size_t aVm)
{
  return "127.0.0." + std::to_string(2 + aVm);
}

/// @brief A port that is free on the addresses of all VMs.
inline std::uint16_t
FreePort(std::size_t aVms, std::vector<int>& aHeld)
{
  while (true) {
    Address first{ VmIp(0), 0 };
    std::vector<int> held{ Listen(first) };
    for (std::size_t vm = 1; vm < aVms; ++vm) {
      Address address{ VmIp(vm), first.mPort };
      held.push_back(Listen(address));
    }
    bool isFree = true;
    for (const int socket : held) {
      isFree = isFree && socket >= 0;
      if (socket >= 0) {
        aHeld.push_back(socket);
      }
    }
    if (isFree) {
      return first.mPort;
    }
  }
}

inline EdgePorts
FreePorts(std::size_t aVms)
{
  std::vector<int> held;
  EdgePorts ports;
  ports.mHttp = FreePort(aVms, held);
  ports.mReadiness = FreePort(aVms, held);
  ports.mAdmin = FreePort(aVms, held);
  ports.mFleet = FreePort(aVms, held);
  for (const int socket : held) {
    ::close(socket);
  }
  return ports;
}

/// @brief One VM. Its process ends with the object.
class Edge
{
public:
  Edge(Record& aRecord, std::string aProgram, std::string aFolder, std::size_t aVm,
       std::size_t aVms, EdgePorts aPorts, Address aStore)
    : mRecord(aRecord)
    , mProgram(std::move(aProgram))
    , mBase(aFolder + "/vm-" + std::to_string(aVm))
    , mIp(VmIp(aVm))
    , mPorts(aPorts)
  {
    WriteSettings(aVm, aVms, aStore);
    Start();
  }
  ~Edge() { End(SIGKILL); }

  std::string Name() const { return mIp; }
  Address Callers() const { return { mIp, mPorts.mHttp }; }
  std::int64_t StartedAt() const { return mStartedAt; }

  void Start()
  {
    mStartedAt = mRecord.Now();
    mRecord.Line("vm " + mIp + ": started");
    mProcess = ::fork();
    if (mProcess == 0) {
      Execute();
    }
  }
  /// @brief Signals the process and waits for its end; kills it after the grace period.
  void End(int aSignal)
  {
    constexpr int kGraceMs = 6000;
    if (mProcess <= 0) {
      return;
    }
    mRecord.Line("vm " + mIp + ": signal " + std::to_string(aSignal));
    ::kill(mProcess, aSignal);
    for (int waited = 0; ::waitpid(mProcess, nullptr, WNOHANG) == 0; waited += 10) {
      if (waited == kGraceMs) {
        ::kill(mProcess, SIGKILL);
      }
      Sleep(10);
    }
    mRecord.Line("vm " + mIp + ": ended");
    mProcess = 0;
  }
  bool IsReady() const
  {
    HttpClient client({ mIp, mPorts.mReadiness });
    Request request{ "GET", "/api/readyz", { { "Host", mIp } }, {} };
    const auto response = client.Exchange(request, 1000);
    return response && response->mStatus == 200;
  }

private:
  void WriteSettings(std::size_t aVm, std::size_t aVms, const Address& aStore) const
  {
    const auto at = [this](std::uint16_t aPort) { return Address{ mIp, aPort }.Text(); };
    std::string seeds;
    for (std::size_t vm = 0; vm < aVms && vm < 3; ++vm) {
      seeds += (seeds.empty() ? "" : ",") + Address{ VmIp(vm), mPorts.mAdmin }.Text();
    }
    std::ofstream file(mBase + ".conf");
    file << "node_name=edge-harju-a-" << aVm + 1
         << "\nrole=query\nmachine_class=edge\nserves=edge,control_plane\nip=" << mIp
         << "\nzone=harju-a\nregion=harju\nzones.harju-a=harju"
         << "\nbind_addrs.http=" << at(mPorts.mHttp)
         << "\nbind_addrs.readiness=" << at(mPorts.mReadiness)
         << "\nbind_addrs.admin=" << at(mPorts.mAdmin) << "\nport_range=" << mPorts.mFleet
         << "," << mPorts.mFleet << "\nseed_nodes=" << seeds
         << "\nbootstrap=true\nin_tolerance=false\nlimits.cpu_share=0.25"
         << "\nlimits.cpu_cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100"
         << "\nlimits.bandwidth_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform"
         << "\nentry_mode=vip\nheartbeat_ms=1200"
         << "\ninvariants=base,drain,config,cost,retry,recover,scatter,platform"
         << "\nfault_tolerance.nodes=2\nparameters.seed_staleness_s=3"
         << "\nparameters.addr_reuse_s=2\nparameters.stable_ms=5000"
         << "\nparameters.ack_ms=6000\nparameters.sync_s=4\nparameters.drain_ms=3000"
         << "\nparameters.grace_s=6\nparameters.loss_slack_ms=200"
         << "\nparameters.config_apply_ms=3000\nparameters.downgrade_ms=250"
         << "\nparameters.skew_max_ms=15000\nparameters.retry_budget=0.2"
         << "\nparameters.retry_window_s=10\nparameters.budget_slack=58"
         << "\nparameters.recovery_s=12\nplatform.address=" << aStore.Text()
         << "\nplatform.form=read\nplatform.reads_per_s=2000\nplatform.retention_s=20"
         << "\nplatform.max_value_bytes=1048576\n";
  }

  [[noreturn]] void Execute() const
  {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((mBase + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    const auto config = "WASABISPAR_CONFIG=" + mBase + ".conf";
    char* const arguments[] = { const_cast<char*>(mProgram.c_str()), nullptr };
    char* const environment[] = { const_cast<char*>(config.c_str()), nullptr };
    ::execve(mProgram.c_str(), arguments, environment);
    ::_exit(127);
  }

  Record& mRecord;
  std::string mProgram;
  std::string mBase;
  std::string mIp;
  EdgePorts mPorts;
  pid_t mProcess = 0;
  std::int64_t mStartedAt = 0;
};

} // namespace review
