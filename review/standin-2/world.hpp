// The stand-ins of a small deployment: the platform's store, searchers, the processes of
// the entry machines, and the record of what was sent, answered and run.
#pragma once

#include "http.hpp"

#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

// ---- record ----

class Record
{
public:
  explicit Record(const std::string& aPath)
    : mFile(aPath)
  {
  }
  template<class... Parts>
  void Line(const Parts&... aParts)
  {
    std::ostringstream text;
    text.setf(std::ios::fixed);
    text.precision(3);
    text << Now();
    ((text << ' ' << aParts), ...);
    const std::lock_guard lock(mMutex);
    mFile << text.str() << '\n';
    mFile.flush();
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
};

inline std::string
Base64(const std::string& aText)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    const auto byte = [&aText](std::size_t aAt) {
      return aAt < aText.size() ? static_cast<unsigned char>(aText[aAt]) : 0U;
    };
    const unsigned group = byte(i) << 16 | byte(i + 1) << 8 | byte(i + 2);
    out += kDigits[group >> 18 & 63];
    out += kDigits[group >> 12 & 63];
    out += i + 1 < aText.size() ? kDigits[group >> 6 & 63] : '=';
    out += i + 2 < aText.size() ? kDigits[group & 63] : '=';
  }
  return out;
}

inline std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  auto at = aTarget.find('?');
  while (at != std::string::npos) {
    const auto next = aTarget.find('&', at + 1);
    const auto pair =
      aTarget.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aName) {
      return equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
    at = next;
  }
  return {};
}

inline bool
Respond(Connection& aConnection, const std::string& aStatus, const std::string& aBody,
        const std::string& aHeaders = "")
{
  return aConnection.Write("HTTP/1.1 " + aStatus + "\r\n" + aHeaders +
                           "Content-Length: " + std::to_string(aBody.size()) +
                           "\r\n\r\n" + aBody);
}

// ---- the platform's store ----

/// Serves kv-range, kv-key and kv-watch from memory. Keeps all of its history.
class Store
{
public:
  explicit Store(const std::string& aIp)
    : mIp(aIp)
  {
  }

  /// Opens one more port of the store; returns it. The answers on it together are sent
  /// at @p bytesPerSecond at most, which stands for the link of a machine.
  int AddPort(const std::string& aVm, double aBytesPerSecond = 0)
  {
    auto& link = *mLinks.emplace_back(std::make_unique<Link>());
    link.mVm = aVm;
    link.mBytesPerSecond = aBytesPerSecond;
    mServers.push_back(std::make_unique<Server>(
      mIp, [this, &link](Connection& aConnection) { Serve(aConnection, link); }));
    return mServers.back()->Port();
  }
  /// Partitions a machine from the store: its calls are neither answered nor refused.
  void Cut(const std::string& aVm, bool aIsCut)
  {
    for (auto& link : mLinks) {
      if (link->mVm == aVm) {
        link->mIsCut = aIsCut;
      }
    }
  }
  /// Ends a port: its connections are reset, and new ones too.
  void End(const std::string& aVm)
  {
    for (auto& link : mLinks) {
      if (link->mVm == aVm) {
        link->mIsEnded = true;
        const std::lock_guard lock(link->mMutex);
        for (const int socket : link->mSockets) {
          ::shutdown(socket, SHUT_RDWR);
        }
      }
    }
  }
  /// Drops the history of changes that is older than this, in seconds.
  void SetRetention(double aSeconds) { mRetentionS = aSeconds; }
  /// Writes an item; the return is the acknowledgement.
  double Put(const std::string& aKey, const std::string& aValue)
  {
    const auto encoded = Base64(aValue);
    const std::lock_guard lock(mMutex);
    ++mRevision;
    auto& item = mItems[aKey];
    item.mCreated = item.mRevision == 0 ? mRevision : item.mCreated;
    item.mRevision = mRevision;
    item.mJson = ItemJson(aKey, encoded, item);
    mEvents.push_back({ mRevision, aKey, item.mJson, Now() });
    mChanged.notify_all();
    return Now();
  }
  double Remove(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    if (mItems.erase(aKey) > 0) {
      ++mRevision;
      mEvents.push_back({ mRevision, aKey,
                          "{\"key\":\"" + aKey + "\",\"revision\":" +
                            std::to_string(mRevision) + ",\"compacted\":true}",
                          Now() });
      mChanged.notify_all();
    }
    return Now();
  }
  /// The machines that sent a watch in the last @p seconds.
  std::set<std::string> Readers(double aSeconds)
  {
    const std::lock_guard lock(mMutex);
    std::set<std::string> readers;
    for (const auto& [vm, at] : mLastWatch) {
      if (Now() - at < aSeconds) {
        readers.insert(vm);
      }
    }
    return readers;
  }

private:
  struct Item
  {
    std::uint64_t mRevision = 0;
    std::uint64_t mCreated = 0;
    /// The item as it is sent.
    std::string mJson;
  };
  struct Event
  {
    std::uint64_t mRevision = 0;
    std::string mKey;
    std::string mJson;
    double mAt = 0;
  };
  /// The way to one machine.
  struct Link
  {
    std::string mVm;
    double mBytesPerSecond = 0;
    std::atomic<bool> mIsCut{ false };
    std::atomic<bool> mIsEnded{ false };
    std::set<int> mSockets;
    std::mutex mMutex;
    /// When the link has sent all that it was given.
    double mFreeAt = 0;

    /// When the link has sent so many bytes more. Late wake-ups do not slow it down.
    double TakeTime(std::size_t aBytes)
    {
      constexpr double kLateS = 0.1;
      const std::lock_guard lock(mMutex);
      mFreeAt = std::max(mFreeAt, Now() - kLateS);
      mFreeAt += static_cast<double>(aBytes) / mBytesPerSecond;
      return mFreeAt;
    }
  };

  std::string mIp;
  double mRetentionS = 1e9;
  std::vector<std::unique_ptr<Link>> mLinks;
  std::vector<std::unique_ptr<Server>> mServers;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 10;
  std::map<std::string, Item> mItems;
  std::deque<Event> mEvents;
  /// The newest revision that the history does not contain any more.
  std::uint64_t mDroppedRevision = 0;
  std::map<std::string, double> mLastWatch;

  static std::string ItemJson(const std::string& aKey, const std::string& aEncoded,
                              const Item& aItem)
  {
    return "{\"key\":\"" + aKey + "\",\"value\":\"" + aEncoded +
           "\",\"revision\":" + std::to_string(aItem.mRevision) +
           ",\"created_rev\":" + std::to_string(aItem.mCreated) + ",\"lease_id\":0}";
  }

  /// Sends an answer at the speed of the link; nothing while the machine is cut off.
  static bool Send(Connection& aConnection, Link& aLink, const std::string& aStatus,
                   const std::string& aBody)
  {
    const auto text = "HTTP/1.1 " + aStatus +
                      "\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
    if (aLink.mBytesPerSecond <= 0) {
      return !aLink.mIsCut && aConnection.Write(text);
    }
    constexpr std::size_t kPiece = 16384;
    for (std::size_t at = 0; at < text.size(); at += kPiece) {
      const auto piece = text.substr(at, kPiece);
      Sleep(aLink.TakeTime(piece.size()) - Now());
      if (aLink.mIsCut || !aConnection.Write(piece)) {
        return false;
      }
    }
    return true;
  }

  void Serve(Connection& aConnection, Link& aLink)
  {
    {
      const std::lock_guard lock(aLink.mMutex);
      aLink.mSockets.insert(aConnection.Fd());
    }
    if (!aLink.mIsEnded) {
      ServeCalls(aConnection, aLink);
    }
    const std::lock_guard lock(aLink.mMutex);
    aLink.mSockets.erase(aConnection.Fd());
  }

  void ServeCalls(Connection& aConnection, Link& aLink)
  {
    Message request;
    while (aConnection.Read(request, 60)) {
      if (aLink.mIsCut) {
        // What was sent is lost; the machine notices by its own timeout.
        while (aConnection.Read(request, 60)) {
        }
        return;
      }
      const auto target = request.Target();
      const auto path = target.substr(0, target.find('?'));
      std::string status = "200 OK";
      std::string body = "{}";
      if (path == "/api/kv-range") {
        body = Range(target);
      } else if (path == "/api/kv-key") {
        const std::lock_guard lock(mMutex);
        const auto found = mItems.find(QueryValue(target, "key"));
        if (found == mItems.end()) {
          status = "404 Not Found";
        } else {
          body = found->second.mJson;
        }
      } else if (path == "/api/kv-watch") {
        const auto events = Watch(target, aLink.mVm);
        status = events ? status : "410 Gone";
        body = events.value_or(body);
      } else {
        status = "404 Not Found";
      }
      if (!Send(aConnection, aLink, status, body)) {
        // Silent, not closed, if the machine was cut off meanwhile.
        while (aLink.mIsCut && aConnection.Read(request, 60)) {
        }
        return;
      }
    }
  }

  std::string Range(const std::string& aTarget)
  {
    const std::lock_guard lock(mMutex);
    const auto prefix = QueryValue(aTarget, "path_prefix");
    std::string items;
    for (const auto& [key, item] : mItems) {
      if (key.starts_with(prefix)) {
        items += (items.empty() ? "" : ",") + item.mJson;
      }
    }
    return "{\"items\":[" + items +
           "],\"has_more\":false,\"at\":" + std::to_string(mRevision) + "}";
  }

  /// Empty if the history from which the watch continues is gone.
  std::optional<std::string> Watch(const std::string& aTarget, const std::string& aVm)
  {
    const auto prefix = QueryValue(aTarget, "path_prefix");
    const auto after = std::stoull(QueryValue(aTarget, "after"));
    const auto wait =
      std::chrono::milliseconds(std::stoll(QueryValue(aTarget, "wait_ms")));
    const auto until = Clock::now() + wait;
    std::unique_lock lock(mMutex);
    mLastWatch[aVm] = Now();
    while (true) {
      while (!mEvents.empty() && mEvents.front().mAt < Now() - mRetentionS) {
        mDroppedRevision = mEvents.front().mRevision;
        mEvents.pop_front();
      }
      if (after < mDroppedRevision) {
        return std::nullopt;
      }
      std::string events;
      for (const auto& event : mEvents) {
        if (event.mRevision > after && event.mKey.starts_with(prefix)) {
          events += (events.empty() ? "" : ",") + event.mJson;
        }
      }
      if (!events.empty() || Clock::now() >= until) {
        return "{\"events\":[" + events + "],\"at\":" + std::to_string(mRevision) + "}";
      }
      mChanged.wait_until(lock, until);
    }
  }
};

// ---- searchers ----

struct SearcherOptions
{
  std::string mId;
  std::string mService;
  std::string mZone;
  std::string mIp = "127.0.0.1";
  int mSlots = 4;
  double mWorkS = 0.005;
};

/// Runs requests and answers them with a signature; answers 421 to a request for another
/// instance.
class Searcher
{
public:
  using RunFn = std::function<void(const Searcher&, const Message&)>;
  /// Handles the request instead of the searcher; returns whether it did, and sets
  /// whether the connection stays open.
  using HandleFn = std::function<bool(Connection&, const Message&, bool& aIsOpen)>;

  Searcher(SearcherOptions aOptions, RunFn aOnRun, HandleFn aHandle = {}, int aPort = 0)
    : mOptions(std::move(aOptions))
    , mOnRun(std::move(aOnRun))
    , mHandle(std::move(aHandle))
    , mServer(
        mOptions.mIp, [this](Connection& aConnection) { Serve(aConnection); }, aPort)
  {
  }
  const SearcherOptions& Options() const { return mOptions; }
  int Port() const { return mServer.Port(); }
  std::string Address() const { return mOptions.mIp + ":" + std::to_string(Port()); }
  std::string Entry(const std::string& aState, int aSequence, long long aBorn) const
  {
    return "{\"service\":\"" + mOptions.mService + "\",\"address\":\"" + Address() +
           "\",\"zone\":\"" + mOptions.mZone +
           "\",\"version\":\"v1\",\"capacity\":" + std::to_string(mOptions.mSlots) +
           ",\"state\":\"" + aState +
           "\",\"warmup_left_ms\":0,\"sequence\":" + std::to_string(aSequence) +
           ",\"born\":" + std::to_string(aBorn) + "}";
  }
  std::string Seal(const std::string& aRequest) const
  {
    return mOptions.mId + "." + aRequest;
  }

private:
  SearcherOptions mOptions;
  RunFn mOnRun;
  HandleFn mHandle;
  Server mServer;

  void Serve(Connection& aConnection)
  {
    Message request;
    while (aConnection.Read(request, 30)) {
      bool isOpen = true;
      if (request.Target() == "/healthz") {
        if (!Respond(aConnection, "200 OK", "",
                     "X-Instance-Id: " + mOptions.mId + "\r\n")) {
          return;
        }
        continue;
      }
      const auto expected = request.Header("x-expected-instance");
      if (!expected.empty() && expected != mOptions.mId) {
        if (!Respond(aConnection, "421 Misdirected Request", "",
                     "X-Instance-Id: " + mOptions.mId + "\r\n")) {
          return;
        }
        continue;
      }
      if (mHandle && mHandle(aConnection, request, isOpen)) {
        if (!isOpen) {
          return;
        }
        continue;
      }
      mOnRun(*this, request);
      Sleep(mOptions.mWorkS);
      const auto id = request.Header("x-request-id");
      if (!Respond(aConnection, "200 OK", "0123456789abcdef",
                   "X-Request-Id: " + id + "\r\nX-Response-Seal: " + Seal(id) + "\r\n")) {
        return;
      }
    }
  }
};

// ---- entry machines ----

struct VmOptions
{
  std::string mName;
  std::string mIp;
  std::string mZone;
  int mMemoryMb = 512;
  int mMbps = 140;
  double mCpuShare = 0.5;
  int mStorePort = 0;
  std::string mSeeds;
  /// Further settings, lines of the form a.b=value.
  std::string mMore;
};

/// The ports of all machines, which are the same on each.
struct Ports
{
  int mHttp = 0;
  int mReadiness = 0;
  int mAdmin = 0;
  int mFirst = 0;
};

/// Free ports on the first address of the machines; the others have the same.
inline Ports
FreePorts()
{
  return { FreePort("127.0.8.10"), FreePort("127.0.8.10"), FreePort("127.0.8.10"),
           FreePort("127.0.8.10") };
}

/// One process of the deploy file's `run` line.
class Vm
{
public:
  Vm(std::string aRoot, std::string aFolder, VmOptions aOptions, Ports aPorts)
    : mRoot(std::move(aRoot))
    , mFolder(std::move(aFolder))
    , mOptions(std::move(aOptions))
    , mPorts(aPorts)
  {
    WriteSettings();
  }
  ~Vm() { End(); }

  const VmOptions& Options() const { return mOptions; }
  pid_t Pid() const { return mPid; }
  const Ports& PortsOf() const { return mPorts; }
  void Start()
  {
    const auto settings = Settings();
    const auto log = mFolder + "/" + mOptions.mName + ".log";
    const auto program = mRoot + "/target/wasabispar-edge";
    mPid = ::fork();
    if (mPid == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(fd, 1);
      ::dup2(fd, 2);
      if (::chdir(mRoot.c_str()) != 0) {
        std::_Exit(127);
      }
      ::setenv("WASABISPAR_CONFIG", settings.c_str(), 1);
      ::execl(program.c_str(), program.c_str(), nullptr);
      std::_Exit(127);
    }
  }
  /// Changes the store's address in the settings.
  void SetStorePort(int aPort)
  {
    mOptions.mStorePort = aPort;
    WriteSettings();
  }
  void Signal(int aSignal) const
  {
    if (mPid > 0) {
      ::kill(mPid, aSignal);
    }
  }
  /// Whether the process has ended by itself; sets @p status as waitpid does.
  bool HasEnded(int& aStatus)
  {
    if (mPid > 0 && ::waitpid(mPid, &aStatus, WNOHANG) == mPid) {
      mPid = -1;
      return true;
    }
    return false;
  }
  void End()
  {
    if (mPid > 0) {
      ::kill(mPid, SIGKILL);
      ::waitpid(mPid, nullptr, 0);
      mPid = -1;
    }
  }
  bool IsReady() const
  {
    Connection connection;
    Message answer;
    return connection.Connect(mOptions.mIp, mPorts.mReadiness) &&
           connection.Write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n") &&
           connection.Read(answer, 1) && answer.Status() == 200;
  }
  /// A memory figure of the process in MB, from /proc; 0 if it cannot be read.
  double MemoryMb(const std::string& aField = "VmRSS:") const
  {
    std::ifstream file("/proc/" + std::to_string(mPid) + "/status");
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with(aField)) {
        return std::atof(line.c_str() + aField.size()) / 1024;
      }
    }
    return 0;
  }

private:
  std::string mRoot;
  std::string mFolder;
  VmOptions mOptions;
  Ports mPorts;
  pid_t mPid = -1;

  std::string Settings() const { return mFolder + "/" + mOptions.mName + ".conf"; }
  void WriteSettings() const
  {
    const auto address = [this](int aPort) {
      return mOptions.mIp + ":" + std::to_string(aPort);
    };
    std::ofstream file(Settings() + ".new");
    file << "node_name=" << mOptions.mName << "\nrole=query\nmachine_class=edge\n"
         << "serves=edge,control_plane\nip=" << mOptions.mIp
         << "\nzone=" << mOptions.mZone
         << "\nregion=" << mOptions.mZone.substr(0, mOptions.mZone.find('-')) << "\n"
         << "zones.harju-a=harju\nzones.tartu-a=tartu\nzones.parnu-a=parnu\n"
         << "zones.harju-b=harju\nzones.tartu-b=tartu\nzones.parnu-b=parnu\n"
         << "bind_addrs.http=" << address(mPorts.mHttp)
         << "\nbind_addrs.readiness=" << address(mPorts.mReadiness)
         << "\nbind_addrs.admin=" << address(mPorts.mAdmin)
         << "\nport_range=" << mPorts.mFirst << "," << mPorts.mFirst + 15
         << "\nseed_nodes=" << mOptions.mSeeds
         << "\nbootstrap=true\nin_tolerance=false\nlimits.cpu_share="
         << mOptions.mCpuShare << "\n"
         << "limits.cpu_cores=1\nlimits.memory_mb=" << mOptions.mMemoryMb
         << "\nlimits.max_fds=8192\nlimits.bandwidth_mbps=" << mOptions.mMbps
         << "\nlimits.disk_mb=0\n"
         << "discovery=platform\nentry_mode=vip\nheartbeat_ms=1200\n"
         << "platform.address=127.0.0.1:" << mOptions.mStorePort
         << "\nplatform.form=read\nplatform.reads_per_s=6000\nplatform.retention_s=20\n"
         << "platform.max_value_bytes=1048576\n"
         << mOptions.mMore;
    file.close();
    // In one step, so that no reader sees half of it.
    std::filesystem::rename(Settings() + ".new", Settings());
  }
};

/// The parameters of the kimonoliit-search-grown deployment.
inline const char* const kGrownParameters =
  "parameters.seed_staleness_s=3\nparameters.addr_reuse_s=2\n"
  "parameters.stable_ms=6000\nparameters.ack_ms=10000\nparameters.sync_s=6\n"
  "parameters.drain_ms=5000\nparameters.grace_s=6\nparameters.loss_slack_ms=200\n"
  "parameters.config_apply_ms=5000\nparameters.downgrade_ms=250\n"
  "parameters.skew_max_ms=20000\nparameters.retry_budget=0.2\n"
  "parameters.retry_window_s=10\nparameters.budget_slack=208\n"
  "parameters.recovery_s=15\n";

/// The parameters of the kimonoliit-search deployment.
inline const char* const kSmallParameters =
  "parameters.seed_staleness_s=3\nparameters.addr_reuse_s=2\n"
  "parameters.stable_ms=5000\nparameters.ack_ms=6000\nparameters.sync_s=4\n"
  "parameters.drain_ms=3000\nparameters.grace_s=6\nparameters.loss_slack_ms=200\n"
  "parameters.config_apply_ms=3000\nparameters.downgrade_ms=250\n"
  "parameters.skew_max_ms=15000\nparameters.retry_budget=0.2\n"
  "parameters.retry_window_s=10\nparameters.budget_slack=58\n"
  "parameters.recovery_s=12\n";

// ---- common parts of a case ----

/// What a case's main() gets from run.sh.
struct CaseContext
{
  std::string mRoot;
  std::string mFolder;
  std::string mTemporary;
  bool mHasTrouble = true;

  static CaseContext FromEnvironment()
  {
    CaseContext context;
    context.mRoot = std::getenv("CASE_ROOT");
    context.mFolder = std::getenv("CASE_FOLDER");
    context.mTemporary = std::getenv("CASE_TEMPORARY");
    const char* trouble = std::getenv("TROUBLE");
    context.mHasTrouble = !trouble || std::string(trouble) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    Now();
    return context;
  }
};

/// Ends the case at once; the destructors would wait for the threads of stand-ins.
[[noreturn]] inline void
Exit(std::vector<std::unique_ptr<Vm>>& aVms, int aCode)
{
  for (auto& vm : aVms) {
    vm->End();
  }
  std::fflush(stdout);
  std::_Exit(aCode);
}

/// Waits until all machines are ready; false after @p timeout seconds.
inline bool
AwaitReady(const std::vector<std::unique_ptr<Vm>>& aVms, double aTimeout)
{
  const auto until = Now() + aTimeout;
  for (const auto& vm : aVms) {
    while (!vm->IsReady()) {
      if (Now() > until) {
        return false;
      }
      Sleep(0.05);
    }
  }
  return true;
}

} // namespace review
