/// @file
/// @brief A searcher: its entry in the store, its slots and its answers.
#pragma once

#include "http.hpp"
#include "record.hpp"
#include "store.hpp"

#include <unistd.h>

#include <memory>
#include <string>

namespace review {

/// @brief A run of a request by a searcher.
struct Run
{
  std::string mSearcher;
  std::string mRequestId;
  std::string mPath;
  std::int64_t mAt = 0;
};

/// @brief All runs and arrivals of a case. Thread-safe.
class Runs
{
public:
  void Add(Run aRun)
  {
    const std::lock_guard lock(mMutex);
    mRuns.push_back(std::move(aRun));
  }
  std::vector<Run> All() const
  {
    const std::lock_guard lock(mMutex);
    return mRuns;
  }

private:
  mutable std::mutex mMutex;
  std::vector<Run> mRuns;
};

inline std::int64_t
UnixMs()
{
  return std::chrono::duration_cast<Milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

class Searcher
{
public:
  /// @brief Decides how a request is answered that has arrived here; the default is a
  /// success. Runs before the work is recorded as run.
  using Behaviour = std::function<std::optional<Response>(const Request&, Searcher&)>;

  Searcher(Record& aRecord, Runs& aRuns, std::string aId, std::string aService,
           std::int64_t aWorkMs)
    : mRecord(aRecord)
    , mRuns(aRuns)
    , mId(std::move(aId))
    , mService(std::move(aService))
    , mWorkMs(aWorkMs)
    , mBorn(UnixMs())
    , mServer({ "127.0.0.1", 0 },
              [this](const Request& aRequest) { return Handle(aRequest); })
  {
  }

  const std::string& Id() const { return mId; }
  std::string Key() const { return "servers/" + mId; }
  std::string Entry(const std::string& aState = "ready", int aWarmupLeftMs = 0) const
  {
    return R"({"service":")" + mService + R"(","address":")" + mServer.Where().Text() +
           R"(","zone":"harju-a","version":"v1","capacity":2,"state":")" + aState +
           R"(","warmup_left_ms":)" + std::to_string(aWarmupLeftMs) +
           R"(,"sequence":1,"born":)" + std::to_string(mBorn) + "}";
  }
  void SetBehaviour(Behaviour aBehaviour)
  {
    const std::lock_guard lock(mMutex);
    mBehaviour = std::move(aBehaviour);
  }
  void Crash()
  {
    mRecord.Line("searcher " + mId + ": ends");
    mServer.Stop();
  }
  void StartAgain()
  {
    mBorn = UnixMs();
    mServer.Start();
    mRecord.Line("searcher " + mId + ": starts again");
  }
  /// @brief Does the work of a request and records the run.
  void Work(const Request& aRequest)
  {
    const auto id = aRequest.Header("X-Request-Id");
    mRuns.Add({ mId, id, aRequest.Path(), mRecord.Now() });
    mRecord.Line("searcher " + mId + ": runs " + id + " " + aRequest.mMethod + " " +
                 aRequest.mTarget + " " + aRequest.mBody);
    Sleep(mWorkMs);
  }
  Response Success(const Request& aRequest) const
  {
    Response response;
    response.mBody =
      "answer of " + mId + " (" + mService + ") to " + aRequest.Header("X-Request-Id");
    return Sealed(aRequest, std::move(response));
  }
  static Response Sealed(const Request& aRequest, Response aResponse)
  {
    const auto id = aRequest.Header("X-Request-Id");
    aResponse.mHeaders["X-Request-Id"] = id;
    aResponse.mHeaders["X-Response-Seal"] = "seal." + id;
    return aResponse;
  }
  /// @brief A rejection of a request that has not run.
  static Response NotRun(const Request& aRequest, unsigned aStatus)
  {
    Response response;
    response.mStatus = aStatus;
    response.mHeaders["X-Request-Id"] = aRequest.Header("X-Request-Id");
    response.mHeaders["X-Not-Executed"] = "1";
    return response;
  }

private:
  Response Handle(const Request& aRequest)
  {
    if (aRequest.Path() == "/healthz") {
      Response healthy;
      healthy.mHeaders["X-Instance-Id"] = mId;
      return healthy;
    }
    if (aRequest.Header("X-Expected-Instance") != mId) {
      auto response = NotRun(aRequest, 421);
      response.mHeaders["X-Instance-Id"] = mId;
      return response;
    }
    Behaviour behaviour;
    {
      const std::lock_guard lock(mMutex);
      behaviour = mBehaviour;
    }
    if (behaviour) {
      if (auto response = behaviour(aRequest, *this)) {
        return *response;
      }
    }
    Work(aRequest);
    return Success(aRequest);
  }

  Record& mRecord;
  Runs& mRuns;
  std::string mId;
  std::string mService;
  std::int64_t mWorkMs;
  std::int64_t mBorn;
  std::mutex mMutex;
  Behaviour mBehaviour;
  HttpServer mServer;
};

} // namespace review
