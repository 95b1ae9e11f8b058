/// @file
/// @brief Compares the operator pages with the events and metrics of the sources.
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>

namespace {

namespace files = std::filesystem;

const files::path kRoot(WASABISPAR_SOURCE_DIR);

using Names = std::set<std::string>;

/// What the sources or a page say about one event or metric.
struct Described
{
  /// Levels of an event.
  Names mLevels;
  /// Fields of an event or labels of a metric.
  Names mKeys;

  bool operator==(const Described&) const = default;
};

using Table = std::map<std::string, Described>;

std::string
Read(const files::path& aFile)
{
  std::ifstream file(aFile);
  std::stringstream content;
  content << file.rdbuf();
  return content.str();
}

/// All sources but tests, one after the other.
std::string
Sources()
{
  std::string all;
  for (const auto* folder : { "src", "platform" }) {
    for (const auto& entry : files::recursive_directory_iterator(kRoot / folder)) {
      const auto name = entry.path().filename().string();
      if (name.ends_with(".cpp") && !name.ends_with("_test.cpp")) {
        all += Read(entry.path());
      }
    }
  }
  return all;
}

/// The text from the bracket at @p aOpen to its counterpart; brackets in strings do not
/// count.
std::string
CallAt(const std::string& aText, std::size_t aOpen)
{
  int depth = 0;
  bool isString = false;
  for (auto at = aOpen; at < aText.size(); ++at) {
    const char character = aText[at];
    if (character == '"' && aText[at - 1] != '\\') {
      isString = !isString;
    }
    depth += !isString && character == '(' ? 1 : 0;
    depth -= !isString && character == ')' ? 1 : 0;
    if (depth == 0) {
      return aText.substr(aOpen, at - aOpen);
    }
  }
  return "";
}

Names
Matches(const std::string& aText, const std::string& aPattern)
{
  Names names;
  const std::regex pattern(aPattern);
  for (std::sregex_iterator at(aText.begin(), aText.end(), pattern), end; at != end;
       ++at) {
    names.insert((*at)[1]);
  }
  return names;
}

/// Keys of `{ "key", value }` lists.
Names
KeysIn(const std::string& aCall)
{
  return Matches(aCall, R"re(\{\s*"([a-z_]+)",)re");
}

Table
EventsOfSources(const std::string& aSources)
{
  Table events;
  const std::regex start(R"(LogEvent\(\s*LogLevel::(\w+))");
  for (std::sregex_iterator at(aSources.begin(), aSources.end(), start), end; at != end;
       ++at) {
    const auto open = static_cast<std::size_t>(at->position()) + 8;
    const auto call = CallAt(aSources, open);
    for (const auto& name :
         Matches(call.substr(0, call.find('{')), R"re("([a-z-]+)")re")) {
      std::string level = (*at)[1];
      level[0] = static_cast<char>(std::tolower(level[0]));
      events[name].mLevels.insert(level);
      events[name].mKeys.merge(KeysIn(call));
    }
  }
  return events;
}

Table
MetricsOfSources(const std::string& aSources)
{
  Table metrics;
  const std::regex name(R"re("(wasabispar_[a-z_]+)")re");
  for (std::sregex_iterator at(aSources.begin(), aSources.end(), name), end; at != end;
       ++at) {
    const auto open = aSources.rfind('(', static_cast<std::size_t>(at->position()));
    metrics[(*at)[1]].mKeys.merge(KeysIn(CallAt(aSources, open)));
  }
  return metrics;
}

/// The table of a page whose rows start with a name in backquotes.
std::vector<std::vector<std::string>>
RowsOf(const std::string& aPage)
{
  std::vector<std::vector<std::string>> rows;
  std::istringstream lines(Read(kRoot / "docs/operators" / aPage));
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with("| `")) {
      continue;
    }
    std::vector<std::string> cells;
    std::istringstream parts(line.substr(1));
    for (std::string cell; std::getline(parts, cell, '|');) {
      cells.push_back(cell);
    }
    rows.push_back(std::move(cells));
  }
  return rows;
}

Names
QuotedIn(const std::string& aCell)
{
  return Matches(aCell, "`([A-Za-z_-]+)`");
}

/// @p aLevels is the column of the levels, 0 for none; @p aKeys that of the keys.
Table
TableOf(const std::string& aPage, std::size_t aLevels, std::size_t aKeys)
{
  Table table;
  for (const auto& row : RowsOf(aPage)) {
    REQUIRE(row.size() > aKeys);
    auto& entry = table[*QuotedIn(row[0]).begin()];
    entry.mKeys = QuotedIn(row[aKeys]);
    if (aLevels > 0) {
      entry.mLevels = Matches(row[aLevels], "([a-z]+)");
    }
  }
  return table;
}

void
CheckEqual(const Table& aSources, const Table& aPage)
{
  for (const auto& entry : aSources) {
    const auto& name = entry.first;
    CAPTURE(name);
    REQUIRE(aPage.contains(name));
    CHECK(aPage.at(name).mLevels == entry.second.mLevels);
    CHECK(aPage.at(name).mKeys == entry.second.mKeys);
  }
  for (const auto& entry : aPage) {
    const auto& name = entry.first;
    CAPTURE(name);
    CHECK(aSources.contains(name));
  }
}

} // namespace

TEST_CASE("the log page has each event of the sources with level and fields")
{
  // Guards against an event at three in the morning that no page explains.
  const auto events = EventsOfSources(Sources());
  CHECK(events.size() >= 19);
  CheckEqual(events, TableOf("logs.md", 1, 2));
}

TEST_CASE("the metrics page has each metric of the sources with its labels")
{
  // Guards against a dashboard on a metric that was renamed.
  const auto metrics = MetricsOfSources(Sources());
  CHECK(metrics.size() >= 30);
  CheckEqual(metrics, TableOf("metrics.md", 0, 2));
}

TEST_CASE("the example alerts use metrics that exist, and the metrics page names them")
{
  // Guards against an alert that never fires, because its metric has another name.
  const auto rules = Read(kRoot / "docs/operators/alerts.yml");
  const auto metrics = MetricsOfSources(Sources());
  for (const auto& used : Matches(rules, "(wasabispar_[a-z_]+)")) {
    CAPTURE(used);
    const auto name = std::regex_replace(used, std::regex("_(bucket|sum|count)$"), "");
    CHECK(metrics.contains(name));
  }
  Names named;
  for (const auto& row : RowsOf("metrics.md")) {
    named.merge(QuotedIn(row[4]));
  }
  CHECK(named == Matches(rules, R"(alert: (\w+))"));
}
