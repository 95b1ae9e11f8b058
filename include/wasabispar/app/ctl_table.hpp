/// @file
/// @brief A table of text in aligned columns.
#pragma once

#include <string>
#include <vector>

namespace wasabispar {

/// @brief Collects rows and aligns their columns.
class CtlTable
{
public:
  explicit CtlTable(std::vector<std::string> aHeads);

  /// @brief Adds a row; missing cells stay empty.
  void Add(std::vector<std::string> aCells);
  /// @brief One line for each row, the heads first; the last column is not padded.
  std::string Text() const;

private:
  /// The heads and the rows; all have as many cells as there are heads.
  std::vector<std::vector<std::string>> mRows;
};

} // namespace wasabispar
