/// @file
/// @brief The flag table and its checks on Boost.Program_options.
#include "wasabispar/app/settings.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <charconv>
#include <set>

namespace wasabispar {

namespace options = boost::program_options;

namespace {

/// A flag with a whole number.
struct NumberFlag
{
  std::string mName;
  std::int64_t Settings::*mMember;
  std::int64_t mMinimum;
  std::int64_t mMaximum;
  std::int64_t mDefault;
  std::string mUnit;
  std::string mHelp;
};

/// A flag with text; an empty default means that the flag is required.
struct TextFlag
{
  std::string mName;
  std::string mDefault;
  std::string mAllowed;
  std::string mHelp;
  /// Stores the value; false if it is not allowed.
  std::function<bool(Settings&, const std::string&)> mStore;
};

const std::vector<NumberFlag>&
NumberFlags()
{
  static const std::vector<NumberFlag> kFlags{
    { "caller-port", &Settings::mCallerPort, 0, 65535, 7070, "port",
      "Port for callers; 0 lets the operating system choose." },
    { "operator-port", &Settings::mOperatorPort, 0, 65535, 7071, "port",
      "Port for operators: metrics, status, explain." },
    { "fleet-port", &Settings::mFleetPort, 0, 65535, 7072, "port",
      "Port for the other VMs." },
    { "workers", &Settings::mWorkers, 1, 64, 2, "threads",
      "Worker threads, each with its own event loop." },
    { "max-connections", &Settings::mMaxConnections, 1, 100000, 4096, "connections",
      "Most open connections on the caller port." },
    { "max-body-bytes", &Settings::mMaxBodyBytes, 1024, 16777216, 1048576, "bytes",
      "Largest request body on the caller port." },
    { "concurrency", &Settings::mConcurrency, 1, 100000, 512, "requests",
      "Most requests that run at the same time; the limit adapts below it." },
    { "queue-limit", &Settings::mQueueLimit, 1, 100000, 2048, "requests",
      "Most requests that wait for admission." },
    { "max-owners", &Settings::mMaxOwners, 1, 1000, 25, "VMs",
      "Most VMs of a data centre that hold connections to one upstream." },
    { "connection-reserve", &Settings::mConnectionReserve, 0, 1000, 4, "connections",
      "Part of an upstream's connection limit that is left free for connections whose "
      "loss it has not detected." },
    { "warm-connections", &Settings::mWarmConnections, 0, 100, 2, "connections",
      "Connections to each upstream that stay open without traffic." },
    { "suspicion-ms", &Settings::mSuspicionMs, 10, 60000, 250, "ms",
      "Time without a response after which a connection is checked with a probe on a new "
      "one." },
    { "state-poll-ms", &Settings::mStatePollMs, 50, 60000, 500, "ms",
      "Period of the state requests to each upstream that this VM owns." },
    { "extra-load-permille", &Settings::mExtraLoadPermille, 0, 1000, 50, "permille",
      "Most hedges and retries, in permille of the sub-requests needed; a profile may "
      "set less." },
    { "probe-period-ms", &Settings::mProbePeriodMs, 50, 60000, 500, "ms",
      "Period of the probes between VMs of a data centre." },
    { "settle-ms", &Settings::mSettleMs, 0, 60000, 2000, "ms",
      "Time after joining before this VM opens connections to upstreams." },
    { "start-wait-ms", &Settings::mStartWaitMs, 0, 60000, 3000, "ms",
      "Longest wait for the peers' configuration before this VM serves with the "
      "platform's." },
    { "list-poll-ms", &Settings::mListPollMs, 100, 600000, 2000, "ms",
      "Period of reading the platform's list of VMs and upstreams, on the VMs that hold "
      "the watch." },
    { "scheduled-freshness-s", &Settings::mScheduledFreshnessSeconds, 1, 86400, 300, "s",
      "Oldest confirmed contact with the platform at which scheduled profiles still "
      "run." },
    { "ticket-expiry-ms", &Settings::mTicketExpiryMs, 1000, 3600000, 120000, "ms",
      "Time for which an execution ticket is valid and its outcome is remembered." },
    { "tickets-per-caller", &Settings::mTicketsPerCaller, 1, 1000000, 10000, "tickets",
      "Most outstanding tickets of one caller on this VM." },
    { "drain-delay-ms", &Settings::mDrainDelayMs, 0, 600000, 3000, "ms",
      "Time between the stop signal and closing the listener, for the balancer to "
      "notice." },
    { "grace-ms", &Settings::mGraceMs, 0, 600000, 30000, "ms",
      "Longest time for running requests to finish after that." },
    { "explain-records", &Settings::mExplainRecords, 0, 1000000, 10000, "records",
      "Recent requests that can be explained." },
  };
  return kFlags;
}

bool
StoreName(std::string& aTarget, const std::string& aValue)
{
  aTarget = aValue;
  return !aValue.empty() && aValue.size() <= 64 &&
         std::all_of(aValue.begin(), aValue.end(), [](char aChar) {
           return std::isalnum(static_cast<unsigned char>(aChar)) || aChar == '-' ||
                  aChar == '_' || aChar == '.';
         });
}

template<class Id>
std::function<bool(Settings&, const std::string&)>
StoreId(Id Settings::*aMember)
{
  return [aMember](Settings& aSettings, const std::string& aValue) {
    std::string name;
    const bool allowed = StoreName(name, aValue);
    aSettings.*aMember = Id(name);
    return allowed;
  };
}

bool
StoreAddress(Settings& aSettings, const std::string& aValue)
{
  boost::system::error_code error;
  boost::asio::ip::make_address(aValue, error);
  aSettings.mListen = aValue;
  return !error;
}

bool
StorePlatform(Settings& aSettings, const std::string& aValue)
{
  return HandleError(
    [&]() -> Result<bool> {
      BOOST_LEAF_ASSIGN(aSettings.mPlatform, Endpoint::Parse(aValue));
      return aSettings.mPlatform.mPort != 0;
    },
    [](const Error&) { return false; });
}

bool
StoreLogLevel(Settings& aSettings, const std::string& aValue)
{
  if (aValue == "debug") {
    aSettings.mLogLevel = LogLevel::Debug;
  } else if (aValue == "info") {
    aSettings.mLogLevel = LogLevel::Info;
  } else if (aValue == "warning") {
    aSettings.mLogLevel = LogLevel::Warning;
  } else if (aValue == "error") {
    aSettings.mLogLevel = LogLevel::Error;
  } else {
    return false;
  }
  return true;
}

bool
StoreLogFormat(Settings& aSettings, const std::string& aValue)
{
  aSettings.mLogFormat = aValue == "json" ? LogFormat::Json : LogFormat::KeyValue;
  return aValue == "json" || aValue == "keyvalue";
}

const std::vector<TextFlag>&
TextFlags()
{
  static const std::string kNameRule = "1 to 64 letters, digits, '-', '_', '.'";
  static const std::vector<TextFlag> kFlags{
    { "vm", "", kNameRule, "Name of this VM, unique in the fleet.",
      StoreId(&Settings::mVm) },
    { "data-centre", "", kNameRule, "Data centre of this VM.",
      StoreId(&Settings::mDataCentre) },
    { "region", "", kNameRule, "Region of this VM.", StoreId(&Settings::mRegion) },
    { "platform", "", "ip:port", "Address of the platform's configuration service.",
      StorePlatform },
    { "listen", "127.0.0.1", "IP address", "Address of all three listeners.",
      StoreAddress },
    { "log-level", "info", "debug, info, warning, error",
      "Least severe level that is logged.", StoreLogLevel },
    { "log-format", "keyvalue", "keyvalue, json", "Format of a log line.",
      StoreLogFormat },
  };
  return kFlags;
}

std::string
RangeText(const NumberFlag& aFlag)
{
  return std::to_string(aFlag.mMinimum) + " to " + std::to_string(aFlag.mMaximum) + " " +
         aFlag.mUnit;
}

options::options_description
Describe()
{
  options::options_description description;
  auto add = description.add_options();
  for (const auto& flag : TextFlags()) {
    add(flag.mName.c_str(), options::value<std::string>());
  }
  for (const auto& flag : NumberFlags()) {
    add(flag.mName.c_str(), options::value<std::string>());
  }
  add("help", "")("version", "")("check-settings", "");
  return description;
}

boost::leaf::error_id
Refuse(const std::string& aFlag, const std::string& aValue, const std::string& aAllowed)
{
  return Fail({ Step::Settings, "--" + aFlag, Outcome::NotRun,
                (aValue.empty() ? "missing" : "value '" + aValue + "' is not allowed") +
                  "; allowed: " + aAllowed });
}

std::optional<std::string>
ValueOf(const options::variables_map& aValues, const EnvironmentFn& aEnvironment,
        const std::string& aFlag)
{
  if (aValues.count(aFlag) > 0) {
    return aValues[aFlag].as<std::string>();
  }
  return aEnvironment(EnvironmentName(aFlag));
}

Result<void>
StoreTextFlags(Settings& aSettings, const options::variables_map& aValues,
               const EnvironmentFn& aEnvironment)
{
  for (const auto& flag : TextFlags()) {
    const auto value = ValueOf(aValues, aEnvironment, flag.mName).value_or(flag.mDefault);
    if (!flag.mStore(aSettings, value)) {
      return Refuse(flag.mName, value, flag.mAllowed);
    }
  }
  return {};
}

Result<void>
StoreNumberFlags(Settings& aSettings, const options::variables_map& aValues,
                 const EnvironmentFn& aEnvironment)
{
  for (const auto& flag : NumberFlags()) {
    const auto text =
      ValueOf(aValues, aEnvironment, flag.mName).value_or(std::to_string(flag.mDefault));
    std::int64_t number = 0;
    const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() ||
        number < flag.mMinimum || number > flag.mMaximum) {
      return Refuse(flag.mName, text, RangeText(flag));
    }
    aSettings.*flag.mMember = number;
  }
  return {};
}

/// Ports that are not chosen by the operating system must differ.
Result<void>
CheckPortsDiffer(const Settings& aSettings)
{
  std::set<std::int64_t> ports;
  for (const auto& [flag, port] :
       { std::pair<std::string, std::int64_t>{ "caller-port", aSettings.mCallerPort },
         { "operator-port", aSettings.mOperatorPort },
         { "fleet-port", aSettings.mFleetPort } }) {
    if (port != 0 && !ports.insert(port).second) {
      return Refuse(flag, std::to_string(port), "a port that no other flag names");
    }
  }
  return {};
}

Result<options::variables_map>
ParseArguments(const std::vector<std::string>& aArguments)
{
  options::variables_map values;
  try {
    const auto description = Describe();
    const int style = options::command_line_style::unix_style &
                      ~options::command_line_style::allow_guessing;
    options::store(options::command_line_parser(aArguments)
                     .options(description)
                     .positional({})
                     .style(style)
                     .run(),
                   values);
  } catch (const options::error& error) {
    return Fail({ Step::Settings, "command line", Outcome::NotRun, error.what() });
  }
  return values;
}

} // namespace

std::string
EnvironmentName(const std::string& aFlag)
{
  std::string name = "WASABISPAR_";
  for (const char letter : aFlag) {
    name += letter == '-'
              ? '_'
              : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
  }
  return name;
}

Result<SettingsRequest>
ParseSettings(const std::vector<std::string>& aArguments,
              const EnvironmentFn& aEnvironment)
{
  BOOST_LEAF_AUTO(values, ParseArguments(aArguments));
  SettingsRequest request;
  if (values.count("help") > 0) {
    request.mAction = SettingsRequest::Action::PrintHelp;
    return request;
  }
  if (values.count("version") > 0) {
    request.mAction = SettingsRequest::Action::PrintVersion;
    return request;
  }
  if (values.count("check-settings") > 0) {
    request.mAction = SettingsRequest::Action::CheckSettings;
  }
  auto& settings = request.mSettings;
  BOOST_LEAF_CHECK(StoreTextFlags(settings, values, aEnvironment));
  BOOST_LEAF_CHECK(StoreNumberFlags(settings, values, aEnvironment));
  BOOST_LEAF_CHECK(CheckPortsDiffer(settings));
  return request;
}

std::string
SettingsHelp()
{
  std::string text = "wasabispard: the query tier on one VM.\n\n"
                     "Usage: wasabispard --vm NAME --data-centre NAME --region NAME "
                     "--platform IP:PORT [FLAG VALUE]...\n\n"
                     "Each flag has an environment variable, WASABISPAR_<FLAG> in upper "
                     "case with '_' for '-';\nthe flag wins. Exit codes: 0 stopped by "
                     "signal, 1 failed, 2 wrong settings.\n\n";
  for (const auto& flag : TextFlags()) {
    text += "  --" + flag.mName + " (" + flag.mAllowed + "; " +
            (flag.mDefault.empty() ? "required" : "default " + flag.mDefault) +
            ")\n      " + flag.mHelp + "\n";
  }
  for (const auto& flag : NumberFlags()) {
    text += "  --" + flag.mName + " (" + RangeText(flag) + "; default " +
            std::to_string(flag.mDefault) + ")\n      " + flag.mHelp + "\n";
  }
  text += "  --check-settings\n      Checks the settings and exits.\n"
          "  --version\n      Prints the version and exits.\n"
          "  --help\n      Prints this text and exits.\n";
  return text;
}

std::string
SettingsMarkdown()
{
  std::string text = "| flag | environment variable | range | default | meaning |\n"
                     "| --- | --- | --- | --- | --- |\n";
  const auto row = [&](const std::string& aName, const std::string& aRange,
                       const std::string& aDefault, const std::string& aHelp) {
    text += "| `--" + aName + "` | `" + EnvironmentName(aName) + "` | " + aRange + " | " +
            aDefault + " | " + aHelp + " |\n";
  };
  for (const auto& flag : TextFlags()) {
    row(flag.mName, flag.mAllowed, flag.mDefault.empty() ? "required" : flag.mDefault,
        flag.mHelp);
  }
  for (const auto& flag : NumberFlags()) {
    row(flag.mName, RangeText(flag), std::to_string(flag.mDefault), flag.mHelp);
  }
  return text;
}

} // namespace wasabispar
