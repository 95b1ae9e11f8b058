/// @file
/// @brief LogCollector.
#include "wasabispar/app/log_collector.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace wasabispar {

namespace {

/// More than the upstreams of the largest deployment that is planned (26,000).
constexpr std::size_t kMaxUpstreams = 100000;
/// A trace has at most 256 entries.
constexpr std::size_t kMaxSteps = 1024;
constexpr std::size_t kMaxDataCentres = 1000;
/// Time by which the line `start` may follow other lines of its process. A VM has 0.084
/// of a core, which delays the main thread.
constexpr std::int64_t kStartLineDelayMs = 2000;

constexpr std::array<std::string_view, 6> kUpstreamEvents{
  "upstream-changed", "upstream-announced-leaving", "upstream-quiet",
  "upstream-limit",   "upstream-limit-ended",       "upstream-cold",
};

constexpr std::array<std::string_view, 9> kVmEvents{
  "config-in-force", "evacuation-started",  "evacuation-ended",
  "store-lost",      "connection-pressure", "connection-pressure-ended",
  "store-regained",  "process-paused",      "drain",
};

std::string
TextOf(const LogLine& aLine, std::string_view aKey)
{
  return aLine.Text(aKey).value_or("");
}

} // namespace

void
LogCollector::BeginVm(const std::string& aName)
{
  FlushSteps();
  mVm = {};
  mVm.mName = aName;
}

bool
LogCollector::OnLine(std::string_view aLine)
{
  const auto line = LogLine::Parse(aLine);
  if (!line) {
    return false;
  }
  ++mLineCount;
  const auto event = line->Event();
  if (event == "request-step") {
    OnStep(*line);
  } else if (event == "request-end") {
    OnRequestEnd(*line);
  } else if (event == "request-unrouted") {
    OnUnrouted(*line);
  } else if (event == "start") {
    OnStart(*line);
  } else if (event == "memory-full") {
    mRejectedForMemory[mVm.mName] += line->Number("rejected").value_or(0);
  } else if (std::ranges::find(kUpstreamEvents, event) != kUpstreamEvents.end()) {
    OnUpstream(*line);
  } else if (std::ranges::find(kVmEvents, event) != kVmEvents.end()) {
    OnVmState(*line);
  }
  return true;
}

void
LogCollector::OnStart(const LogLine& aLine)
{
  FlushSteps();
  const auto name = TextOf(aLine, "vm");
  mVm.mIsMixed = mVm.mIsMixed || (mVm.mHasStart && mVm.mName != name);
  mVm.mName = name;
  mVm.mHasStart = true;
  mVm.mIsIncomplete = false;
  ForgetEarlierProcess(aLine.TimeMs());
}

/// The store may be read on the worker before the main thread writes the line `start`.
void
LogCollector::ForgetEarlierProcess(std::optional<std::int64_t> aStartedAtMs)
{
  const auto since = aStartedAtMs ? *aStartedAtMs - kStartLineDelayMs
                                  : std::numeric_limits<std::int64_t>::max();
  mVm.mHistory.DropBefore(since);
  for (auto& [dataCentre, events] : mVm.mEvacuations) {
    events.DropBefore(since);
  }
  for (auto& [id, upstream] : mVm.mUpstreams) {
    upstream.mHistory.DropBefore(since);
  }
  std::erase_if(mVm.mUpstreams,
                [](const auto& aEntry) { return aEntry.second.mHistory.IsEmpty(); });
}

void
LogCollector::OnStep(const LogLine& aLine)
{
  const auto request = TextOf(aLine, "request");
  if (request != mStepsOf) {
    FlushSteps();
    mStepsOf = request;
  }
  const auto part = aLine.Number("part");
  if (part && mSteps.size() < kMaxSteps) {
    mSteps.push_back({ TextOf(aLine, "step"), static_cast<std::size_t>(*part),
                       TextOf(aLine, "service"), TextOf(aLine, "upstream"),
                       aLine.Number("at_us").value_or(0),
                       aLine.Number("figure").value_or(0) });
  }
}

void
LogCollector::OnRequestEnd(const LogLine& aLine)
{
  const auto request = TextOf(aLine, "request");
  if (request != mStepsOf) {
    FlushSteps();
  }
  LoggedEnd end;
  end.mOutcome = TextOf(aLine, "outcome");
  end.mRoute = TextOf(aLine, "route");
  end.mConfigVersion = TextOf(aLine, "config_version");
  end.mStatus = aLine.Number("status").value_or(0);
  end.mParts = aLine.Number("parts").value_or(0);
  end.mAnswered = aLine.Number("answered").value_or(0);
  end.mStepsOmitted = aLine.Number("steps_omitted").value_or(0);
  end.mTookUs = aLine.Number("took_us").value_or(0);
  end.mTimeMs = aLine.TimeMs();
  Report(request, std::move(end));
  mSteps.clear();
  mStepsOf.clear();
}

void
LogCollector::OnUnrouted(const LogLine& aLine)
{
  FlushSteps();
  LoggedEnd end;
  end.mIsRouted = false;
  end.mOutcome = TextOf(aLine, "outcome");
  end.mRoute = TextOf(aLine, "host");
  end.mConfigVersion = TextOf(aLine, "config_version");
  end.mTimeMs = aLine.TimeMs();
  Report(TextOf(aLine, "request"), std::move(end));
}

void
LogCollector::OnUpstream(const LogLine& aLine)
{
  const auto id = TextOf(aLine, "upstream");
  if (mVm.mUpstreams.size() >= kMaxUpstreams && !mVm.mUpstreams.contains(id)) {
    mVm.mIsIncomplete = true;
    return;
  }
  const bool isNew = !mVm.mUpstreams.contains(id);
  auto& upstream = mVm.mUpstreams[id];
  upstream.mService = aLine.Text("service").value_or(upstream.mService);
  upstream.mDataCentre = aLine.Text("data_centre").value_or(upstream.mDataCentre);
  auto fact = FactOf(aLine);
  fact.mSubject = TextOf(aLine, "change");
  fact.mNumber = aLine.Number("for_ms").value_or(0);
  // An update of its entry does not change whether an upstream takes requests.
  if (fact.mSubject != "updated" || isNew) {
    upstream.mHistory.Add(std::move(fact));
  }
}

void
LogCollector::OnVmState(const LogLine& aLine)
{
  auto fact = FactOf(aLine);
  if (aLine.Event().starts_with("evacuation-")) {
    const auto dataCentre = TextOf(aLine, "data_centre");
    if (mVm.mEvacuations.size() < kMaxDataCentres ||
        mVm.mEvacuations.contains(dataCentre)) {
      mVm.mEvacuations[dataCentre].Add(std::move(fact));
    }
    return;
  }
  fact.mSubject = aLine.Text("config_version").value_or(TextOf(aLine, "source"));
  fact.mNumber = aLine.Number("gap_ms").value_or(0);
  mVm.mHistory.Add(std::move(fact));
}

LogFact
LogCollector::FactOf(const LogLine& aLine) const
{
  LogFact fact;
  fact.mEvent = std::string(aLine.Event());
  fact.mRequest = TextOf(aLine, "request");
  fact.mTimeMs = aLine.TimeMs();
  fact.mLine = mLineCount;
  return fact;
}

void
LogCollector::Report(const std::string& aId, std::optional<LoggedEnd> aEnd)
{
  if (mRequestId.empty() || aId == mRequestId) {
    mOnRequest({ aId, mSteps, std::move(aEnd), &mVm });
  }
}

/// Drops the collected steps. Those of a request that is to be reported are reported
/// without an end, which a full pipe may have dropped.
void
LogCollector::FlushSteps()
{
  if (!mSteps.empty()) {
    Report(mStepsOf, std::nullopt);
  }
  mSteps.clear();
  mStepsOf.clear();
}

} // namespace wasabispar
