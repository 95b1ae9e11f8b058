/// @file
/// @brief Tests of the settings.
#include "wasabispar/app/settings.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace wasabispar;

namespace {

const std::vector<std::string> kRequired{ "--vm",       "vm-1",       "--data-centre",
                                          "dc-1",       "--region",   "harju-a",
                                          "--platform", "127.0.0.1:9" };

std::optional<std::string>
NoEnvironment(const std::string&)
{
  return std::nullopt;
}

/// The error as text, or an empty text when the settings are accepted.
std::string
ErrorOf(const std::vector<std::string>& aMore,
        const EnvironmentFn& aEnvironment = NoEnvironment)
{
  auto arguments = kRequired;
  arguments.insert(arguments.end(), aMore.begin(), aMore.end());
  return HandleError(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(ParseSettings(arguments, aEnvironment));
      return std::string();
    },
    [](const Error& aError) { return ToText(aError); });
}

} // namespace

TEST_CASE("a wrong setting is refused with flag, value and allowed range")
{
  // Guards against a daemon that starts with a setting that it silently replaced.
  CHECK(ErrorOf({}) == "");
  CHECK(
    ErrorOf({ "--workers", "0" }) ==
    "settings --workers: value '0' is not allowed; allowed: 1 to 64 threads (not-run)");
  CHECK(ErrorOf({ "--workers", "2x" }).find("--workers") != std::string::npos);
  CHECK(ErrorOf({ "--worker", "2" }).find("unrecognised option '--worker'") !=
        std::string::npos);
  CHECK(ErrorOf({ "--log-level", "loud" }).find("debug, info, warning, error") !=
        std::string::npos);
  CHECK(ErrorOf({ "stray" }) != "");
  CHECK(ErrorOf({ "--caller-port", "9", "--fleet-port", "9" }).find("--fleet-port") !=
        std::string::npos);
}

TEST_CASE("a flag wins over its environment variable")
{
  auto environment = [](const std::string& aName) -> std::optional<std::string> {
    return aName == "WASABISPAR_WORKERS" ? std::optional<std::string>("7") : std::nullopt;
  };
  auto arguments = kRequired;
  const auto workers = [&] {
    return HandleError(
      [&]() -> Result<std::int64_t> {
        BOOST_LEAF_AUTO(request, ParseSettings(arguments, environment));
        return request.mSettings.mWorkers;
      },
      [](const Error&) { return std::int64_t{ -1 }; });
  };
  CHECK(workers() == 7);
  arguments.insert(arguments.end(), { "--workers", "3" });
  CHECK(workers() == 3);
}

TEST_CASE("the settings page holds the table that the program prints")
{
  // Guards against documentation that drifts from the program.
  std::ifstream file(std::string(WASABISPAR_SOURCE_DIR) + "/docs/operators/settings.md");
  std::stringstream page;
  page << file.rdbuf();
  CHECK(page.str().find(SettingsMarkdown()) != std::string::npos);
}
