/// @file
/// @brief CtlTable.
#include "wasabispar/app/ctl_table.hpp"

#include <algorithm>

namespace wasabispar {

namespace {

constexpr std::size_t kColumnGap = 2;

} // namespace

CtlTable::CtlTable(std::vector<std::string> aHeads)
{
  mRows.push_back(std::move(aHeads));
}

void
CtlTable::Add(std::vector<std::string> aCells)
{
  aCells.resize(mRows.front().size());
  mRows.push_back(std::move(aCells));
}

std::string
CtlTable::Text() const
{
  std::vector<std::size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : mRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace wasabispar
