/// @file
/// @brief WorstRequests.
#include "wasabispar/app/log_worst.hpp"

namespace wasabispar {

namespace {

/// 0: not a failure.
int
SeverityOf(RequestFate aFate)
{
  switch (aFate) {
    case RequestFate::Lost:
      return 7;
    case RequestFate::Timeout:
      return 6;
    case RequestFate::UpstreamFailed:
      return 5;
    case RequestFate::Rejected:
      return 4;
    case RequestFate::Unrouted:
      return 3;
    case RequestFate::Partial:
      return 2;
    case RequestFate::Late:
      return 1;
    case RequestFate::Answered:
    case RequestFate::CallerLeft:
    case RequestFate::Unknown:
      break;
  }
  return 0;
}

} // namespace

void
WorstRequests::Add(const LoggedRequest& aRequest)
{
  const auto severity = SeverityOf(FateOf(aRequest));
  if (severity == 0 || mMaximum == 0) {
    return;
  }
  const Rank rank{ severity, aRequest.mEnd->mTookUs };
  if (mKept.size() == mMaximum) {
    if (rank <= mKept.begin()->first) {
      return;
    }
    mKept.erase(mKept.begin());
  }
  mKept.emplace(rank, ExplainRequest(aRequest));
}

std::vector<RequestExplanation>
WorstRequests::Take()
{
  std::vector<RequestExplanation> worst;
  for (auto entry = mKept.rbegin(); entry != mKept.rend(); ++entry) {
    worst.push_back(std::move(entry->second));
  }
  mKept.clear();
  return worst;
}

} // namespace wasabispar
