/// @file
/// @brief Text form of a query trace.
#include "wasabispar/query/query_trace.hpp"

#include <array>
#include <iomanip>
#include <sstream>

namespace wasabispar {

namespace {

constexpr std::array<std::string_view, 4> kKindTexts{ "first", "hedge", "retry",
                                                      "forced-retry" };
constexpr std::array<std::string_view, 6> kReplyStateTexts{ "open",      "counted",
                                                            "failed",    "mismatch",
                                                            "cancelled", "discarded" };

void
WriteTime(std::ostream& aOut, TimePoint aStart, TimePoint aAt)
{
  aOut << std::fixed << std::setprecision(1) << ToDoubleMilliseconds(aAt - aStart)
       << "ms";
}

void
WriteSubRequest(std::ostream& aOut, const SubRequestTrace& aSub, TimePoint aStart)
{
  aOut << "sub " << aSub.mSubRequestId << " shard=" << aSub.mShard.Text()
       << " version=" << aSub.mVersion.Value() << " upstream=" << aSub.mUpstream.Text()
       << " kind=" << ToText(aSub.mKind) << " start=";
  WriteTime(aOut, aStart, aSub.mStart);
  aOut << " end=";
  if (aSub.mEnd) {
    WriteTime(aOut, aStart, *aSub.mEnd);
  } else {
    aOut << "-";
  }
  aOut << " status=" << (aSub.mStatus ? ToText(*aSub.mStatus) : "-")
       << " fate=" << ToText(aSub.mReplyState);
  if (!aSub.mReasonText.empty()) {
    aOut << " why=\"" << aSub.mReasonText << "\"";
  }
  for (const auto& skipped : aSub.mSkipped) {
    aOut << " skipped=" << skipped.mUpstream.Text() << ":" << ToText(skipped.mReason);
  }
  aOut << "\n";
}

} // namespace

std::string_view
ToText(SubRequestKind aKind)
{
  return kKindTexts[static_cast<std::size_t>(aKind)];
}

std::string_view
ToText(ReplyState aState)
{
  return kReplyStateTexts[static_cast<std::size_t>(aState)];
}

std::string
ToText(const QueryTrace& aTrace)
{
  std::ostringstream out;
  out << "query " << aTrace.mRequest.Text() << " vm=" << aTrace.mVm.Text()
      << " index=" << aTrace.mIndex.Text() << " versions=";
  for (std::size_t i = 0; i < aTrace.mVersions.size(); ++i) {
    out << (i > 0 ? "," : "") << aTrace.mVersions[i].Value();
  }
  if (aTrace.mEnd) {
    out << " end=";
    WriteTime(out, aTrace.mStart, *aTrace.mEnd);
  }
  out << " ignored-replies=" << aTrace.mIgnoredReplies << "\n";
  for (const auto& sub : aTrace.mSubRequests) {
    WriteSubRequest(out, sub, aTrace.mStart);
  }
  for (const auto& missing : aTrace.mMissing) {
    out << "missing " << missing.mShard.Text() << " why=\"" << missing.mReasonText
        << "\"\n";
  }
  out << "verdict " << aTrace.mSummary << "\n";
  return out.str();
}

} // namespace wasabispar
