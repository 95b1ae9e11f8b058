/// @file
/// @brief The subcommand table and the command line on Boost.Program_options.
#include "wasabispar/app/ctl_options.hpp"

#include "wasabispar/app/ctl_table.hpp"

#include <boost/program_options.hpp>

#include <algorithm>
#include <sstream>

namespace wasabispar {

namespace options = boost::program_options;

namespace {

constexpr const char* kVmVariable = "WASABISPARCTL_VM";
constexpr const char* kDefaultVm = "127.0.0.1:7071";
constexpr std::int64_t kMaxTimeoutMs = 600000;
constexpr std::int64_t kMaxWorst = 1000;

/// One subcommand.
struct Subcommand
{
  std::string mName;
  CtlCommand mCommand;
  /// Arguments as the usage line shows them.
  std::string mUsage;
  std::size_t mMinimum;
  std::size_t mMaximum;
  /// Whether it can ask a VM.
  bool mUsesVm;
  std::string mSummary;
  std::string mHelp;
};

const std::vector<Subcommand>&
Subcommands()
{
  constexpr std::size_t kAnyNumber = 10000;
  static const std::vector<Subcommand> kSubcommands{
    { "status", CtlCommand::Status, "", 0, 0, true, "State of the fleet as a VM sees it.",
      "Shows the VMs by data centre with state and configuration revision, the share of\n"
      "VMs in force (those at the highest revision), the data centres that cannot be\n"
      "reached, and rejected profile documents. Each --vm is shown.\n"
      "Exit code 3: a VM is not ready, a VM is not in force, or a data centre cannot be\n"
      "reached.\n" },
    { "profiles", CtlCommand::Profiles, "", 0, 0, true,
      "Who uses which profile; retired and unused ones.",
      "Shows the requests for each profile, summed over all --vm, with one column for\n"
      "each VM. Marks retired profiles that are still asked for, with the callers, and\n"
      "profiles that nobody uses. A VM counts from its start, so ask all VMs before you\n"
      "delete a profile.\n" },
    { "upstreams", CtlCommand::Upstreams, "", 0, 0, true,
      "Upstreams with load, latency, connections and versions.",
      "Shows each upstream: why it gets no or less work (avoided), requests in flight "
      "and\n"
      "their limit (slots), mean latency, connections (open, share of this VM, limit of\n"
      "the upstream) and the index versions that it holds. Each --vm is shown.\n" },
    { "explain", CtlCommand::Explain, "REQUEST-ID", 1, 1, true,
      "What happened to a request.",
      "Shows the sub-requests of a query, why each was sent, and why shards are "
      "missing.\n"
      "REQUEST-ID is the header Wasabispar-Request-Id of the answer. The VM that "
      "answered\n"
      "keeps the record; with several --vm each one is asked in turn.\n"
      "Exit code 1: no VM has the record.\n"
      "With --log, the logs of wasabispar-edge are read instead, and the cause of the\n"
      "request's end is named; REQUEST-ID is the caller's id. One file for each VM, or\n"
      "several that are rotated (edge.log.1, edge.log). `explain --log FILE... --worst "
      "N`\n"
      "lists the N requests with the worst ends.\n"
      "Exit code 1: no file names the request; 2: a file is unusable.\n" },
    { "check", CtlCommand::Check, "FILE...", 1, kAnyNumber, false,
      "Checks profile documents offline.",
      "Checks profile documents with the rules of the VMs. The name of a file without\n"
      "directory and extension is the name of the profile. Prints the field or the line\n"
      "of an error.\n"
      "Exit code 1: a file cannot be read; 3: a document is invalid.\n" },
    { "diff", CtlCommand::Diff, "OLD [NEW]", 1, 2, true, "Compares two catalogues.",
      "OLD and NEW are saved outputs of `catalogue`. The word `live` stands for the\n"
      "catalogue of the first --vm that answers, also when NEW is left out.\n"
      "Exit code 0 also when they differ; 1: a file or VM cannot be read; 3: a file is "
      "no\n"
      "output of `catalogue`.\n" },
    { "catalogue", CtlCommand::Catalogue, "", 0, 0, true,
      "The profiles in effect, to save.",
      "Prints the profiles in effect with their revisions, one a line, from the first\n"
      "--vm that answers. Save it for `diff`.\n" },
    { "burn", CtlCommand::Burn, "", 0, 0, true, "Burn rates of the error budgets.",
      "Shows for each profile the burn rates over 5 minutes, 30 minutes, 1 hour and 6\n"
      "hours, the alerts, and a plot of the last 60 minutes. Each --vm is shown.\n"
      "--svg FILE writes the plots as a picture.\n"
      "Exit code 3: an alert (page: 14.4 over 1 hour and 5 minutes; ticket: 6 over 6\n"
      "hours and 30 minutes).\n" },
    { "completion", CtlCommand::Print, "bash", 1, 1, false, "Prints a completion script.",
      "Use it with: source <(wasabisparctl completion bash)\n" },
  };
  return kSubcommands;
}

const Subcommand*
FindSubcommand(const std::string& aName)
{
  const auto& all = Subcommands();
  const auto found = std::find_if(
    all.begin(), all.end(), [&](const auto& aEntry) { return aEntry.mName == aName; });
  return found == all.end() ? nullptr : &*found;
}

/// The values of the flags as given.
struct Flags
{
  std::string mCommand;
  std::vector<std::string> mArguments;
  std::vector<std::string> mVms;
  std::vector<std::string> mLogFiles;
  /// 0: not given.
  std::int64_t mWorst = 0;
  std::string mSvgFile;
  std::int64_t mTimeoutMs = 2000;
};

options::options_description
Described(Flags& aFlags)
{
  options::options_description described("options");
  auto add = described.add_options();
  add("help", "Print the help of the program or of the subcommand.");
  add("version", "Print the version.");
  add("vm", options::value(&aFlags.mVms)->value_name("IP:PORT"),
      "Operator address of a VM; may be given several times. Default: the environment "
      "variable WASABISPARCTL_VM (several with commas), else 127.0.0.1:7071.");
  add("json", options::bool_switch(), "Print the raw reports, one a line for each VM.");
  add("timeout-ms",
      options::value(&aFlags.mTimeoutMs)->value_name("MS")->default_value(2000),
      "Longest wait for each VM, 1 to 600000.");
  add("log", options::value(&aFlags.mLogFiles)->multitoken()->value_name("FILE..."),
      "With `explain`, after the request id: logs of wasabispar-edge to read.");
  add("worst", options::value(&aFlags.mWorst)->value_name("N"),
      "With `explain --log` and no request id: list the N requests with the worst ends, "
      "1 to 1000.");
  add("svg", options::value(&aFlags.mSvgFile)->value_name("FILE"),
      "With `burn`: write the plots as a picture.");
  return described;
}

boost::leaf::error_id
Usage(const std::string& aWhere, const std::string& aCause)
{
  return Fail({ Step::Settings, aWhere, Outcome::NotRun, aCause });
}

Result<options::variables_map>
ParseFlags(const std::vector<std::string>& aArguments, Flags& aFlags)
{
  auto all = Described(aFlags);
  all.add_options()("command", options::value(&aFlags.mCommand))(
    "argument", options::value(&aFlags.mArguments));
  options::positional_options_description positional;
  positional.add("command", 1).add("argument", -1);
  using Style = options::command_line_style::style_t;
  constexpr int kStyle = Style::unix_style & ~Style::allow_guessing;
  try {
    options::variables_map values;
    options::store(options::command_line_parser(aArguments)
                     .options(all)
                     .positional(positional)
                     .style(kStyle)
                     .run(),
                   values);
    options::notify(values);
    return values;
  } catch (const options::error& error) {
    return Usage("command line", error.what());
  }
}

Result<std::vector<Endpoint>>
ParseVms(std::vector<std::string> aTexts, const EnvironmentFn& aEnvironment)
{
  if (aTexts.empty()) {
    std::istringstream list(aEnvironment(kVmVariable).value_or(kDefaultVm));
    for (std::string text; std::getline(list, text, ',');) {
      aTexts.push_back(text);
    }
  }
  std::vector<Endpoint> vms;
  for (const auto& text : aTexts) {
    BOOST_LEAF_AUTO(vm, Endpoint::Parse(text));
    vms.push_back(std::move(vm));
  }
  if (vms.empty()) {
    return Usage(kVmVariable, "names no operator address");
  }
  return vms;
}

Result<void>
CheckUsage(const Subcommand& aSubcommand, const Flags& aFlags, bool aAsJson)
{
  const auto count = aFlags.mArguments.size();
  const bool isWorst = aFlags.mWorst != 0 &&
                       aSubcommand.mCommand == CtlCommand::Explain &&
                       !aFlags.mLogFiles.empty();
  if (aFlags.mWorst != 0 && !isWorst) {
    return Usage("--worst", "only with explain --log");
  }
  if (aFlags.mWorst < 0 || aFlags.mWorst > kMaxWorst) {
    return Usage("--worst", "must be 1 to 1000");
  }
  const auto minimum = isWorst ? 0 : aSubcommand.mMinimum;
  const auto maximum = isWorst ? 0 : aSubcommand.mMaximum;
  if (count < minimum || count > maximum) {
    return Usage(aSubcommand.mName,
                 "usage: wasabisparctl " + aSubcommand.mName + " " + aSubcommand.mUsage);
  }
  if (!aFlags.mSvgFile.empty() && aSubcommand.mCommand != CtlCommand::Burn) {
    return Usage("--svg", "only with burn");
  }
  if (!aFlags.mLogFiles.empty() && aSubcommand.mCommand != CtlCommand::Explain) {
    return Usage("--log", "only with explain");
  }
  if (!aFlags.mLogFiles.empty() && !aFlags.mVms.empty()) {
    return Usage("--log", "not together with --vm");
  }
  if (!aFlags.mVms.empty() && !aSubcommand.mUsesVm) {
    return Usage("--vm", "not used by " + aSubcommand.mName);
  }
  if (aSubcommand.mCommand == CtlCommand::Print &&
      (aAsJson || aFlags.mArguments.front() != "bash")) {
    return Usage(aSubcommand.mName, "usage: wasabisparctl completion bash");
  }
  if (aFlags.mTimeoutMs < 1 || aFlags.mTimeoutMs > kMaxTimeoutMs) {
    return Usage("--timeout-ms", "must be 1 to 600000");
  }
  return {};
}

std::string
OptionsText()
{
  Flags unused;
  std::ostringstream text;
  text << Described(unused);
  return text.str();
}

} // namespace

Result<CtlRequest>
ParseCtl(const std::vector<std::string>& aArguments, const EnvironmentFn& aEnvironment)
{
  Flags flags;
  CtlRequest request;
  BOOST_LEAF_AUTO(values, ParseFlags(aArguments, flags));
  const auto* subcommand = FindSubcommand(flags.mCommand);
  if (!flags.mCommand.empty() && !subcommand) {
    return Usage(flags.mCommand, "no such subcommand; see wasabisparctl --help");
  }
  if (values.count("help") > 0) {
    request.mText = CtlHelp(flags.mCommand);
    return request;
  }
  if (values.count("version") > 0) {
    request.mText = "wasabisparctl " WASABISPAR_VERSION "\n";
    return request;
  }
  if (!subcommand) {
    return Usage("command line", "no subcommand; see wasabisparctl --help");
  }
  request.mAsJson = values["json"].as<bool>();
  BOOST_LEAF_CHECK(CheckUsage(*subcommand, flags, request.mAsJson));
  if (subcommand->mCommand == CtlCommand::Print) {
    request.mText = CtlCompletion();
    return request;
  }
  request.mCommand = subcommand->mCommand;
  request.mArguments = flags.mArguments;
  request.mLogFiles = flags.mLogFiles;
  request.mWorstCount = static_cast<std::size_t>(flags.mWorst);
  request.mSvgFile = flags.mSvgFile;
  request.mTimeout = std::chrono::milliseconds(flags.mTimeoutMs);
  if (subcommand->mUsesVm && flags.mLogFiles.empty()) {
    BOOST_LEAF_ASSIGN(request.mVms, ParseVms(flags.mVms, aEnvironment));
  }
  return request;
}

std::string
CtlHelp(const std::string& aCommand)
{
  if (const auto* subcommand = FindSubcommand(aCommand)) {
    return "usage: wasabisparctl " + subcommand->mName + " " + subcommand->mUsage +
           (subcommand->mUsage.empty() ? "" : " ") + "[options]\n\n" + subcommand->mHelp +
           "\n" + OptionsText();
  }
  CtlTable table({ "subcommand", "" });
  for (const auto& subcommand : Subcommands()) {
    table.Add({ subcommand.mName + " " + subcommand.mUsage, subcommand.mSummary });
  }
  return "usage: wasabisparctl SUBCOMMAND [arguments] [options]\n\n" + table.Text() +
         "\n" + OptionsText() +
         "\nExit codes: 0 fine; 1 not reachable or not found; 2 wrong usage; 3 the "
         "report "
         "shows a problem.\n`wasabisparctl SUBCOMMAND --help` tells more.\n";
}

std::string
CtlCompletion()
{
  std::string names;
  for (const auto& subcommand : Subcommands()) {
    names += (names.empty() ? "" : " ") + subcommand.mName;
  }
  return R"(_wasabisparctl() {
  local word=${COMP_WORDS[COMP_CWORD]}
  local previous=${COMP_WORDS[COMP_CWORD-1]}
  local subcommand=${COMP_WORDS[1]}
  COMPREPLY=()
  case $previous in
    --vm|--timeout-ms|--worst) return ;;
    --svg|--log) COMPREPLY=($(compgen -f -- "$word")); return ;;
  esac
  if [[ $word == -* ]]; then
    COMPREPLY=($(compgen -W "--help --version --vm --json --timeout-ms --svg --log --worst" -- "$word"))
  elif [[ $COMP_CWORD -eq 1 ]]; then
    COMPREPLY=($(compgen -W ")" +
         names + R"(" -- "$word"))
  elif [[ $subcommand == check || $subcommand == diff || " ${COMP_WORDS[*]} " == *" --log "* ]]; then
    COMPREPLY=($(compgen -f -- "$word"))
  elif [[ $subcommand == completion ]]; then
    COMPREPLY=($(compgen -W "bash" -- "$word"))
  fi
}
complete -F _wasabisparctl wasabisparctl
)";
}

} // namespace wasabispar
