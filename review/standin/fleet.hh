/// @file
/// @brief Stand-ins of the platform: its store, searchers, entry VMs and clients.
#pragma once

#include "support.hh"

#include <condition_variable>
#include <deque>
#include <memory>

#include <sys/types.h>

namespace standin {

/// The figures of the small deployment kimonoliit-search.
constexpr double kHeartbeat = 1.2;
constexpr double kStable = 5.0;
constexpr double kDrain = 3.0;
constexpr std::size_t kPageSize = 50;

/// How a case ended; the exit status of its script.
enum class Verdict
{
  Held = 0,
  Broken = 1,
  CouldNotRun = 2,
};

/// The platform's store. Keeps its whole history.
class Store
{
public:
  explicit Store(Record& aRecord);
  int Port() const { return mPort; }
  void Put(const std::string& aKey, const std::string& aValue);
  void Delete(const std::string& aKey);
  /// While down, resets all connections.
  void SetDown(bool aIsDown);
  /// Answers nothing more on the connections that are open now; new ones work.
  void SilenceOpenConnections();
  /// Returns for a read with stale_read=1 how many seconds old it is; the argument is the
  /// key after which the page begins.
  void SetStaleness(std::function<double(const std::string&)> aStaleness);

private:
  struct Event
  {
    double mTime = 0;
    std::uint64_t mRevision = 0;
    std::string mKey;
    /// Empty when the key was removed.
    std::optional<std::string> mValue;
  };

  std::optional<Response> Handle(const Request& aRequest);
  Response Page(const Request& aRequest);
  std::optional<Response> Watch(const Request& aRequest);
  void Add(const std::string& aKey, std::optional<std::string> aValue);
  static std::string ItemJson(const Event& aEvent);

  Record& mRecord;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::vector<Event> mEvents;
  bool mIsDown = false;
  std::uint64_t mOutages = 0;
  std::function<double(const std::string&)> mStaleness;
  Server mServer;
  int mPort = 0;
};

/// A request at a searcher.
struct Arrival
{
  double mTime = 0;
  std::string mRequestId;
  std::string mSearcher;
  std::string mService;
  std::string mPath;
  bool mHasRun = false;
};

/// The searchers' view of a run.
class Arrivals
{
public:
  void Add(Arrival aArrival);
  std::vector<Arrival> All();

private:
  std::mutex mMutex;
  std::vector<Arrival> mItems;
};

/// One incarnation of a searcher.
class Searcher
{
public:
  /// Called when the searcher begins to run a request; returns true if it crashes.
  using CrashFn = std::function<bool(const Request&)>;

  Searcher(Store& aStore, Arrivals& aArrivals, std::string aId, std::string aService,
           std::string aZone, double aWork, CrashFn aCrashes = nullptr);
  const std::string& Id() const { return mId; }
  const std::string& Service() const { return mService; }
  /// Writes the entry.
  void Register(const std::string& aState);
  /// Removes the entry.
  void Deregister();
  /// Ends the process: resets its connections and stops to listen.
  void End();

private:
  std::optional<Response> Handle(const Request& aRequest);
  bool TakeSlot();
  void FreeSlot();

  Store& mStore;
  Arrivals& mArrivals;
  const std::string mId;
  const std::string mService;
  const std::string mZone;
  const double mWork;
  const CrashFn mCrashes;
  std::mutex mMutex;
  std::condition_variable mSlotFree;
  int mRunning = 0;
  int mQueued = 0;
  std::uint64_t mBorn = 0;
  std::atomic<std::uint64_t> mRuns{ 0 };
  Server mServer;
  int mPort = 0;
};

/// The entry VMs: their processes, and the platform's readiness checks once a second.
class Vms
{
public:
  Vms(Record& aRecord, const std::string& aProgram, const std::string& aFolder,
      std::size_t aCount, int aStorePort);
  std::size_t Count() const { return mVms.size(); }
  const std::string& Ip(std::size_t aVm) const { return mVms[aVm].mIp; }
  int CallerPort() const { return mCallerPort; }
  void Start(std::size_t aVm);
  /// Sends SIGTERM, then SIGKILL when the process is still there after the grace period.
  void Terminate(std::size_t aVm);
  double StartedAt(std::size_t aVm) const { return mVms[aVm].mStartedAt; }
  /// Whether the platform directs new connections to the VM.
  bool IsInRotation(std::size_t aVm) const { return mVms[aVm].mMisses < 2; }
  bool AwaitReady(double aTimeout);
  /// Whether a process ended that nobody ended.
  bool HasUnexpectedEnd();
  /// Ends the processes and the program, whose other threads may still wait for bytes.
  [[noreturn]] void Finish(Verdict aVerdict);

private:
  struct Vm
  {
    std::string mName;
    std::string mZone;
    std::string mIp;
    pid_t mPid = 0;
    double mStartedAt = 0;
    std::atomic<int> mMisses{ 2 };
  };
  void CheckReadiness();

  Record& mRecord;
  const std::string mProgram;
  const std::string mFolder;
  std::deque<Vm> mVms;
  int mCallerPort = 0;
  int mReadinessPort = 0;
  int mAdminPort = 0;
  int mFleetPort = 0;
  int mStorePort = 0;
};

/// One attempt of a client.
struct Attempt
{
  double mSentAt = 0;
  std::string mRequestId;
  std::size_t mVm = 0;
  std::string mTarget;
  int mStatus = 0;
  double mAnsweredAt = 0;
};

/// Clients that send requests at a steady rate, each on a new connection.
class Clients
{
public:
  explicit Clients(Vms& aVms);
  /// Sends one request to @p aVm, or to the next VM that is in rotation.
  Attempt Send(const std::string& aMethod, const std::string& aHost,
               const std::string& aTarget, const std::string& aBody, int aDeadlineMs,
               std::optional<std::size_t> aVm = std::nullopt);
  /// Sends a request each @p aInterval seconds until Stop(); a failed one is retried once
  /// at another VM.
  void StartLoad(const std::string& aHost, const std::string& aPrefix, int aDeadlineMs,
                 double aInterval);
  void Stop();
  std::vector<Attempt> All();

private:
  std::size_t NextVm();

  Vms& mVms;
  std::mutex mMutex;
  std::vector<Attempt> mAttempts;
  std::uint64_t mNextId = 1;
  std::size_t mNextVm = 0;
  std::atomic<bool> mIsStopped{ false };
  std::atomic<int> mOpen{ 0 };
  std::vector<std::thread> mLoads;
};

/// Writes what was sent, answered and run: a line for each attempt of a client.
void
RecordRequests(Record& aRecord, Vms& aVms, const std::vector<Attempt>& aAttempts,
               const std::vector<Arrival>& aArrivals);

} // namespace standin
