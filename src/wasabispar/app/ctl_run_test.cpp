/// @file
/// @brief Tests of arguments, exit codes and files of wasabisparctl.
#include "wasabispar/app/ctl_documents.hpp"
#include "wasabispar/app/ctl_options.hpp"
#include "wasabispar/app/ctl_run.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <map>
#include <sstream>

using namespace wasabispar;

namespace {

/// The outside of the process: replies by `address path`, files by name.
struct Outside
{
  std::map<std::string, std::string> mReplies;
  std::map<std::string, std::string> mFiles;
  std::string mVmVariable;
  std::vector<std::string> mFetched;

  CtlResult Run(const std::vector<std::string>& aArguments)
  {
    CtlHooks hooks;
    hooks.mEnvironment = [this](const std::string& aName) -> std::optional<std::string> {
      return aName == "WASABISPARCTL_VM" && !mVmVariable.empty()
               ? std::optional(mVmVariable)
               : std::nullopt;
    };
    hooks.mFetch = [this](const Endpoint& aVm, const std::string& aPath, Duration) {
      return Reply(aVm.Text() + " " + aPath);
    };
    hooks.mReadFile = [this](const std::string& aFile) -> std::optional<std::string> {
      const auto found = mFiles.find(aFile);
      return found == mFiles.end() ? std::nullopt : std::optional(found->second);
    };
    hooks.mWriteFile = [this](const std::string& aFile, const std::string& aContent) {
      mFiles[aFile] = aContent;
      return aFile != "/no/such/directory";
    };
    return RunCtl(aArguments, hooks);
  }

  /// A reply that starts with `404` has that status.
  HttpExchangeResult Reply(const std::string& aKey)
  {
    mFetched.push_back(aKey);
    HttpExchangeResult result;
    const auto found = mReplies.find(aKey);
    if (found == mReplies.end()) {
      result.mCause = "Connection refused";
      return result;
    }
    const bool isMissing = found->second.starts_with("404");
    result.mEnd = HttpExchangeEnd::Response;
    result.mResponse.mStatus = isMissing ? 404 : 200;
    result.mResponse.mBody = found->second.substr(isMissing ? 3 : 0);
    return result;
  }
};

bool
Has(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

std::string
ReadSource(const std::string& aFile)
{
  std::ifstream file(std::string(WASABISPAR_SOURCE_DIR) + "/" + aFile);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

std::string
Burn(const std::string& aAlert)
{
  return R"({"vm":"v","profiles":[{"profile":"p","latency_alert":")" + aAlert + R"("}]})";
}

std::string
CatalogueOf(const std::string& aProfiles)
{
  return R"({"vm":"vm1","revision":9,"profiles":[)" + aProfiles + "]}";
}

std::string
Entry(const std::string& aName, int aRevision, const std::string& aDocument)
{
  return R"({"profile":")" + aName + R"(","revision":)" + std::to_string(aRevision) +
         R"(,"status":"-","document":)" + aDocument + "}";
}

const std::vector<std::string> kTwoVms{ "--vm", "127.0.0.1:1", "--vm", "127.0.0.1:2" };

std::vector<std::string>
WithTwoVms(std::vector<std::string> aArguments)
{
  aArguments.insert(aArguments.end(), kTwoVms.begin(), kTwoVms.end());
  return aArguments;
}

} // namespace

TEST_CASE("wrong usage ends with 2 and asks no VM")
{
  // Guards against a script whose typing error passes for a fleet without problems.
  const std::vector<std::vector<std::string>> wrong{
    {},
    { "stats" },
    { "status", "extra" },
    { "status", "--jso" },
    { "status", "--vm", "localhost:7071" },
    { "status", "--svg", "x.svg" },
    { "status", "--timeout-ms", "0" },
    { "status", "--timeout-ms", "soon" },
    { "explain" },
    { "explain", "no-id" },
    { "check" },
    { "check", "a.json", "--vm", "127.0.0.1:1" },
    { "diff" },
    { "diff", "a", "b", "c" },
    { "completion", "fish" },
    { "completion", "bash", "--json" },
  };
  for (const auto& arguments : wrong) {
    CAPTURE(arguments.size());
    CAPTURE(arguments.empty() ? "" : arguments.back());
    Outside outside;
    const auto result = outside.Run(arguments);
    CHECK(result.mExit == CtlExit::Usage);
    CHECK(result.mErrors.starts_with("wasabisparctl: "));
    CHECK(outside.mFetched.empty());
  }
}

TEST_CASE("each subcommand has a help text, also without its arguments")
{
  // Guards against a subcommand that cannot be used without the pages.
  const auto program = Outside{}.Run({ "--help" });
  CHECK(program.mExit == CtlExit::Fine);
  for (const std::string name : { "status", "profiles", "upstreams", "explain", "check",
                                  "diff", "catalogue", "burn", "completion" }) {
    CAPTURE(name);
    CHECK(Has(program.mOutput, "\n" + name + " "));
    const auto help = Outside{}.Run({ name, "--help" });
    CHECK(help.mExit == CtlExit::Fine);
    CHECK(help.mOutput.starts_with("usage: wasabisparctl " + name));
    CHECK(Has(CtlCompletion(), name));
  }
}

TEST_CASE("the flag wins over the environment variable, which may name several VMs")
{
  // Guards against a report about another fleet than the one asked for.
  Outside outside;
  outside.mVmVariable = "127.0.0.1:3,127.0.0.1:4";
  outside.Run({ "status" });
  CHECK(outside.mFetched ==
        std::vector<std::string>{ "127.0.0.1:3 /v1/status", "127.0.0.1:4 /v1/status" });
  outside.mFetched.clear();
  outside.Run({ "status", "--vm", "127.0.0.1:5" });
  CHECK(outside.mFetched == std::vector<std::string>{ "127.0.0.1:5 /v1/status" });
  outside.mVmVariable = "vm1";
  CHECK(outside.Run({ "status" }).mExit == CtlExit::Usage);
}

TEST_CASE("a VM that does not answer ends with 1, the others are shown")
{
  // Guards against an incomplete report that passes for a whole one, and against one VM
  // that hides the reports of the others.
  Outside outside;
  outside.mReplies["127.0.0.1:2 /v1/burn"] = Burn("page");
  auto result = outside.Run(WithTwoVms({ "burn" }));
  CHECK(result.mExit == CtlExit::NotFound);
  CHECK(Has(result.mOutput, "profile p"));
  CHECK(Has(result.mErrors, "127.0.0.1:1: not reachable: Connection refused"));

  outside.mReplies["127.0.0.1:1 /v1/burn"] = "<html>";
  result = outside.Run(WithTwoVms({ "burn" }));
  CHECK(result.mExit == CtlExit::NotFound);
  CHECK(Has(result.mErrors, "127.0.0.1:1: the answer is no report"));
  CHECK(SystemCtlHooks().mFetch({ "127.0.0.1", 1 }, "/", std::chrono::seconds(1)).mEnd ==
        HttpExchangeEnd::ConnectFailed);
}

TEST_CASE("an alert ends with 3, also with raw reports")
{
  // Guards against a monitoring script that sees no alert once it asks for JSON.
  Outside outside;
  outside.mReplies["127.0.0.1:1 /v1/burn"] = Burn("none");
  outside.mReplies["127.0.0.1:2 /v1/burn"] = Burn("ticket");
  CHECK(outside.Run({ "burn", "--vm", "127.0.0.1:1" }).mExit == CtlExit::Fine);
  const auto result = outside.Run(WithTwoVms({ "burn", "--json" }));
  CHECK(result.mExit == CtlExit::Problem);
  CHECK(result.mOutput == Burn("none") + "\n" + Burn("ticket") + "\n");
  outside.Run({ "burn", "--vm", "127.0.0.1:1", "--svg", "out.svg" });
  CHECK(outside.mFiles["out.svg"].starts_with("<svg"));
  CHECK(
    outside.Run({ "burn", "--vm", "127.0.0.1:1", "--svg", "/no/such/directory" }).mExit ==
    CtlExit::NotFound);
}

TEST_CASE("explain asks each VM in turn until one has the record")
{
  // Guards against a record that is not found because another VM ran the request.
  Outside outside;
  outside.mReplies["127.0.0.1:1 /v1/explain/5f-1"] =
    R"(404{"error":{"cause":"ran on another VM"}})";
  auto result = outside.Run(WithTwoVms({ "explain", "5f-1" }));
  CHECK(result.mExit == CtlExit::NotFound);
  CHECK(Has(result.mErrors, "127.0.0.1:1: ran on another VM"));
  CHECK(Has(result.mErrors, "127.0.0.1:2: not reachable"));
  outside.mReplies["127.0.0.1:2 /v1/explain/5f-1"] =
    R"({"profile":"fitting","caller":"house-a","took_ms":60,"text":"verdict complete\n"})";
  result = outside.Run(WithTwoVms({ "explain", "5f-1" }));
  CHECK(result.mExit == CtlExit::Fine);
  CHECK(result.mErrors.empty());
  CHECK(result.mOutput ==
        "profile fitting, caller house-a, took 60.0 ms\nverdict complete\n");
}

TEST_CASE("check accepts the examples of the profile page")
{
  // Guards against a page whose examples the VMs reject.
  const auto page = ReadSource("docs/operators/profiles.md");
  int examples = 0;
  for (auto at = page.find("```json\n"); at != std::string::npos;
       at = page.find("```json\n", at + 1)) {
    const auto begin = at + 8;
    const auto document = page.substr(begin, page.find("```", begin) - begin);
    CAPTURE(document);
    CHECK(CheckDocument("profiles/example.json", document).mCause == "");
    ++examples;
  }
  CHECK(examples == 3);
}

TEST_CASE("check names file, field or line and ends with 3")
{
  // Guards against an invalid document that passes a check before its publication.
  Outside outside;
  outside.mFiles = { { "good.json", R"({"index":"kimonos"})" },
                     { "d/bad.json", R"({"index":"kimonos","deadline_ms":0})" },
                     { "torn.json", "{\"index\":\n\"kimonos\",,}" },
                     { "bad name.json", R"({"index":"kimonos"})" } };
  CHECK(outside.Run({ "check", "good.json" }).mOutput ==
        "good.json: valid, profile good\n");
  auto result = outside.Run({ "check", "good.json", "d/bad.json", "torn.json" });
  CHECK(result.mExit == CtlExit::Problem);
  CHECK(Has(result.mOutput, "d/bad.json: deadline_ms: must be an integer"));
  CHECK(Has(result.mOutput, "torn.json: line 2: "));
  CHECK(outside.Run({ "check", "bad name.json" }).mExit == CtlExit::Problem);
  CHECK(outside.Run({ "check", "absent.json", "good.json" }).mExit == CtlExit::NotFound);
  result = outside.Run({ "check", "--json", "d/bad.json" });
  CHECK(result.mExit == CtlExit::Problem);
  CHECK(result.mOutput.starts_with(
    R"([{"file":"d/bad.json","profile":"bad","valid":false,"cause":"deadline_ms: )"));
}

TEST_CASE("diff compares saved catalogues and the live one")
{
  // Guards against a change that a review before a publication does not show.
  const auto before = CatalogueOf(
    Entry("changed", 3, R"({"index":"kimonos","deadline_ms":900})") + "," +
    Entry("gone", 4, R"({"index":"decks"})") + "," + Entry("never-valid", 0, "null"));
  const auto after =
    CatalogueOf(Entry("changed", 8, R"({"index":"kimonos","deadline_ms":700})") + "," +
                Entry("gone", 9, "null"));
  Outside outside;
  outside.mFiles = { { "old.json", before }, { "new.json", after }, { "x", "{}" } };
  outside.mReplies["127.0.0.1:7071 /v1/catalogue"] = after;
  const auto saved = outside.Run({ "diff", "old.json", "new.json" });
  CHECK(saved.mExit == CtlExit::Fine);
  CHECK(Has(saved.mOutput, "profile changed\n  deadline_ms: 900 -> 700\n"));
  CHECK(Has(saved.mOutput, "profile gone: active -> retired\n"));
  CHECK_FALSE(Has(saved.mOutput, "never-valid"));
  CHECK(outside.Run({ "diff", "old.json" }).mOutput == saved.mOutput);
  CHECK(outside.Run({ "diff", "live", "new.json" }).mOutput == "no profile differs\n");
  CHECK(outside.Run({ "diff", "old.json", "x" }).mExit == CtlExit::Problem);
  CHECK(outside.Run({ "diff", "old.json", "absent" }).mExit == CtlExit::NotFound);

  // What `catalogue` prints is what `diff` reads.
  outside.mFiles["saved"] = outside.Run({ "catalogue" }).mOutput;
  CHECK(outside.Run({ "diff", "new.json", "saved" }).mOutput == "no profile differs\n");
  CHECK(Outside{}.Run({ "catalogue" }).mExit == CtlExit::NotFound);
}
