/// @file
/// @brief The subcommands that work on profile documents: `check` and `diff`.
#pragma once

#include "wasabispar/app/ctl_report.hpp"
#include "wasabispar/base/error.hpp"
#include "wasabispar/catalogue/catalogue.hpp"

#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief What the check of one file found.
struct DocumentCheck
{
  std::string mFile;
  /// The file's name without directory and extension.
  std::string mProfile;
  /// Starts with the field or the line; empty for a valid document.
  std::string mCause;
};

/// @brief Checks a document as the daemon does.
DocumentCheck
CheckDocument(const std::string& aFile, std::string_view aDocument);

/// @brief One line for each file. Problem: an invalid document.
CtlReport
RenderChecks(const std::vector<DocumentCheck>& aChecks, bool aAsJson);

/// @brief Parses an output of `catalogue`; fails with Step::Configuration, @p aSource as
/// peer.
Result<std::vector<ProfileChange>>
DiffCatalogues(const std::string& aOldSource, std::string_view aOld,
               const std::string& aNewSource, std::string_view aNew);

/// @brief One line for each profile that differs, and one for each of its fields.
CtlReport
RenderDiff(const std::vector<ProfileChange>& aChanges, bool aAsJson);

/// @brief An output of `/v1/catalogue` with one profile a line, so that it can be kept
/// under version control. `diff` reads it.
std::string
RenderCatalogue(const boost::json::object& aReport);

} // namespace wasabispar
