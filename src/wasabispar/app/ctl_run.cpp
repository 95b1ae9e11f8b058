/// @file
/// @brief Fetches the reports and hands them to their renderers.
#include "wasabispar/app/ctl_run.hpp"

#include "wasabispar/app/ctl_burn.hpp"
#include "wasabispar/app/ctl_documents.hpp"
#include "wasabispar/app/ctl_explain.hpp"
#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/app/ctl_log_explain.hpp"
#include "wasabispar/app/ctl_options.hpp"
#include "wasabispar/app/ctl_profiles.hpp"
#include "wasabispar/app/ctl_status.hpp"
#include "wasabispar/app/ctl_upstreams.hpp"
#include "wasabispar/app/log_collector.hpp"
#include "wasabispar/app/log_worst.hpp"

#include <algorithm>

namespace wasabispar {

namespace json = boost::json;

namespace {

constexpr const char* kLive = "live";
constexpr unsigned kOk = 200;
/// Requests with the same id in the logs; callers use an id once.
constexpr std::size_t kMaxExplained = 16;

/// A report as received and parsed.
struct Fetched
{
  std::string mBody;
  json::object mReport;
};

/// One run; collects what is printed.
class Run
{
public:
  Run(CtlRequest aRequest, const CtlHooks& aHooks)
    : mRequest(std::move(aRequest))
    , mHooks(aHooks)
  {
  }

  CtlResult Execute()
  {
    switch (mRequest.mCommand) {
      case CtlCommand::Print:
        mResult.mOutput = mRequest.mText;
        break;
      case CtlCommand::Status:
        ShowEach("/v1/status", RenderStatus);
        break;
      case CtlCommand::Profiles:
        ShowProfiles();
        break;
      case CtlCommand::Upstreams:
        ShowEach("/v1/upstreams", RenderUpstreams);
        break;
      case CtlCommand::Explain:
        ShowExplain();
        break;
      case CtlCommand::Check:
        ShowChecks();
        break;
      case CtlCommand::Diff:
        ShowDiff();
        break;
      case CtlCommand::Catalogue:
        ShowCatalogue();
        break;
      case CtlCommand::Burn:
        ShowBurn();
        break;
    }
    return std::move(mResult);
  }

private:
  CtlRequest mRequest;
  const CtlHooks& mHooks;
  CtlResult mResult;

  void Fault(CtlExit aExit, const std::string& aText)
  {
    const bool isWorse =
      mResult.mExit == CtlExit::Fine || mResult.mExit == CtlExit::Problem;
    mResult.mExit = isWorse ? aExit : mResult.mExit;
    mResult.mErrors += "wasabisparctl: " + aText + "\n";
  }

  void Show(const CtlReport& aReport)
  {
    mResult.mOutput += aReport.mText;
    if (aReport.mHasProblem && mResult.mExit == CtlExit::Fine) {
      mResult.mExit = CtlExit::Problem;
    }
  }

  /// Empty with a cause when there is no report.
  std::optional<Fetched> Fetch(const Endpoint& aVm, const std::string& aPath,
                               std::string& aCause) const
  {
    auto result = mHooks.mFetch(aVm, aPath, mRequest.mTimeout);
    auto report = ParseReport(result.mResponse.mBody);
    if (result.mEnd != HttpExchangeEnd::Response) {
      aCause = "not reachable: " + result.mCause;
    } else if (result.mResponse.mStatus != kOk) {
      aCause = "status " + std::to_string(result.mResponse.mStatus);
      if (const auto* error = report ? report->if_contains("error") : nullptr) {
        aCause = error->is_object() ? TextIn(error->get_object(), "cause") : aCause;
      }
    } else if (!report) {
      aCause = "the answer is no report; is this an operator port?";
    } else {
      return Fetched{ std::move(result.mResponse.mBody), std::move(*report) };
    }
    aCause = aVm.Text() + ": " + aCause;
    return std::nullopt;
  }

  /// The reports of all VMs; a VM without report is a fault.
  std::vector<Fetched> FetchAll(const std::string& aPath)
  {
    std::vector<Fetched> reports;
    for (const auto& vm : mRequest.mVms) {
      std::string cause;
      if (auto report = Fetch(vm, aPath, cause)) {
        reports.push_back(std::move(*report));
      } else {
        Fault(CtlExit::NotFound, cause);
      }
    }
    return reports;
  }

  /// The report of the first VM that has it. Without any, each VM's cause is a fault.
  std::optional<Fetched> FetchFirst(const std::string& aPath)
  {
    std::vector<std::string> causes;
    for (const auto& vm : mRequest.mVms) {
      if (auto report = Fetch(vm, aPath, causes.emplace_back())) {
        return report;
      }
    }
    for (const auto& cause : causes) {
      Fault(CtlExit::NotFound, cause);
    }
    return std::nullopt;
  }

  void ShowEach(const std::string& aPath, CtlReport (*aRender)(const json::object&))
  {
    ShowReports(FetchAll(aPath), aRender);
  }

  void ShowReports(const std::vector<Fetched>& aReports,
                   CtlReport (*aRender)(const json::object&))
  {
    for (const auto& fetched : aReports) {
      auto report = aRender(fetched.mReport);
      if (mRequest.mAsJson) {
        report.mText = fetched.mBody + "\n";
      } else if (!mResult.mOutput.empty()) {
        report.mText = "\n" + report.mText;
      }
      Show(report);
    }
  }

  void ShowProfiles()
  {
    const auto fetched = FetchAll("/v1/profiles");
    std::vector<json::object> reports;
    std::string bodies;
    for (const auto& one : fetched) {
      reports.push_back(one.mReport);
      bodies += one.mBody + "\n";
    }
    if (!reports.empty()) {
      Show(mRequest.mAsJson ? CtlReport{ bodies, false } : RenderProfiles(reports));
    }
  }

  void ShowBurn()
  {
    const auto fetched = FetchAll("/v1/burn");
    ShowReports(fetched, RenderBurn);
    if (mRequest.mSvgFile.empty() || fetched.empty()) {
      return;
    }
    std::vector<json::object> reports;
    for (const auto& one : fetched) {
      reports.push_back(one.mReport);
    }
    if (!mHooks.mWriteFile(mRequest.mSvgFile, BurnSvg(reports))) {
      Fault(CtlExit::NotFound, mRequest.mSvgFile + ": cannot be written");
    }
  }

  void ShowExplain()
  {
    if (mRequest.mWorstCount > 0) {
      ShowWorstFromLogs();
      return;
    }
    const auto& id = mRequest.mArguments.front();
    if (!mRequest.mLogFiles.empty()) {
      ShowExplainFromLogs(id);
      return;
    }
    if (!RequestId::Parse(id)) {
      Fault(CtlExit::Usage, id + ": not a request id, which looks like 5f-1");
      return;
    }
    if (const auto fetched = FetchFirst("/v1/explain/" + id)) {
      Show(mRequest.mAsJson ? CtlReport{ fetched->mBody + "\n", false }
                            : RenderExplain(fetched->mReport));
    }
  }

  void ShowExplainFromLogs(const std::string& aId)
  {
    std::vector<RequestExplanation> explanations;
    LogCollector collector(aId, [&explanations](const LoggedRequest& aRequest) {
      if (explanations.size() < kMaxExplained) {
        explanations.push_back(ExplainRequest(aRequest));
      }
    });
    ReadLogs(collector);
    if (explanations.empty()) {
      Fault(CtlExit::NotFound, NotFoundText(aId, collector.RejectedForMemory()));
    }
    Show(RenderLogExplanations(explanations, mRequest.mAsJson));
  }

  void ShowWorstFromLogs()
  {
    WorstRequests worst(mRequest.mWorstCount);
    LogCollector collector(
      {}, [&worst](const LoggedRequest& aRequest) { worst.Add(aRequest); });
    ReadLogs(collector);
    const auto explanations = worst.Take();
    Show(mRequest.mAsJson ? RenderLogExplanations(explanations, true)
                          : RenderWorstRequests(explanations));
  }

  void ReadLogs(LogCollector& aCollector)
  {
    std::string vm;
    for (const auto& file : OrderLogFiles(mRequest.mLogFiles)) {
      if (file.mVmKey != vm) {
        aCollector.BeginVm(file.mVmName);
        vm = file.mVmKey;
      }
      ReadLog(file.mName, aCollector);
    }
    aCollector.Finish();
  }

  /// A file without any event is not a log in the format that is read; an empty one is a
  /// log of a VM that has logged nothing yet.
  void ReadLog(const std::string& aFile, LogCollector& aCollector)
  {
    std::size_t lines = 0;
    std::size_t events = 0;
    const bool isRead = mHooks.mReadLines(aFile, [&](std::string_view aLine) {
      ++lines;
      events += aCollector.OnLine(aLine) ? 1 : 0;
    });
    if (!isRead) {
      Fault(CtlExit::Usage, aFile + ": cannot be read");
    } else if (lines > 0 && events == 0) {
      Fault(CtlExit::Usage, aFile + ": has no event in the keyvalue format");
    }
  }

  void ShowChecks()
  {
    std::vector<DocumentCheck> checks;
    for (const auto& file : mRequest.mArguments) {
      if (const auto document = mHooks.mReadFile(file)) {
        checks.push_back(CheckDocument(file, *document));
      } else {
        Fault(CtlExit::NotFound, file + ": cannot be read");
      }
    }
    Show(RenderChecks(checks, mRequest.mAsJson));
  }

  std::optional<std::string> CatalogueOf(const std::string& aSource)
  {
    if (aSource == kLive) {
      const auto fetched = FetchFirst("/v1/catalogue");
      return fetched ? std::optional(fetched->mBody) : std::nullopt;
    }
    auto content = mHooks.mReadFile(aSource);
    if (!content) {
      Fault(CtlExit::NotFound, aSource + ": cannot be read");
    }
    return content;
  }

  void ShowDiff()
  {
    const auto& arguments = mRequest.mArguments;
    const auto newSource = arguments.size() > 1 ? arguments[1] : std::string(kLive);
    const auto before = CatalogueOf(arguments[0]);
    const auto after = before ? CatalogueOf(newSource) : std::nullopt;
    if (!after) {
      return;
    }
    HandleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(changes,
                        DiffCatalogues(arguments[0], *before, newSource, *after));
        Show(RenderDiff(changes, mRequest.mAsJson));
        return true;
      },
      [this](const Error& aError) {
        Fault(CtlExit::Problem, aError.mPeer + ": " + aError.mCause);
        return false;
      });
  }

  void ShowCatalogue()
  {
    if (const auto fetched = FetchFirst("/v1/catalogue")) {
      Show({ mRequest.mAsJson ? fetched->mBody + "\n" : RenderCatalogue(fetched->mReport),
             false });
    }
  }
};

} // namespace

CtlResult
RunCtl(const std::vector<std::string>& aArguments, const CtlHooks& aHooks)
{
  return HandleError(
    [&]() -> Result<CtlResult> {
      BOOST_LEAF_AUTO(request, ParseCtl(aArguments, aHooks.mEnvironment));
      return Run(std::move(request), aHooks).Execute();
    },
    [](const Error& aError) {
      return CtlResult{ CtlExit::Usage,
                        {},
                        "wasabisparctl: " + aError.mPeer + ": " + aError.mCause + "\n" };
    });
}

} // namespace wasabispar
