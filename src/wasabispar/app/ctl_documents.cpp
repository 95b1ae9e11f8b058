/// @file
/// @brief `check` and `diff` on ParseProfile() and Diff().
#include "wasabispar/app/ctl_documents.hpp"

#include "wasabispar/app/ctl_json.hpp"
#include "wasabispar/catalogue/profile_codec.hpp"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <filesystem>

namespace wasabispar {

namespace json = boost::json;

namespace {

/// Whether @p aName can be a key of the configuration service.
bool
IsProfileName(const std::string& aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes &&
         std::all_of(aName.begin(), aName.end(), [](char aChar) {
           return std::isalnum(static_cast<unsigned char>(aChar)) || aChar == '.' ||
                  aChar == '_' || aChar == '-';
         });
}

Result<std::shared_ptr<const CatalogueView>>
ViewOf(const std::string& aSource, std::string_view aText)
{
  const auto fail = [&](std::string aCause) {
    return Fail({ Step::Configuration, aSource, Outcome::NotRun, std::move(aCause) });
  };
  const auto report = ParseReport(aText);
  if (!report || !report->contains("profiles") || !report->contains("revision")) {
    return fail("not an output of `wasabisparctl catalogue`");
  }
  CatalogueDelta delta;
  delta.mTo = Revision(CountIn(*report, "revision"));
  delta.mFullList = true;
  for (const auto& entry : ObjectsIn(*report, "profiles")) {
    const auto revision = Revision(CountIn(entry, "revision"));
    if (revision == Revision(0)) {
      // Only a rejected document of this name is known; no profile is in effect.
      continue;
    }
    const auto* document = entry.if_contains("document");
    const bool isDeleted = !document || document->is_null();
    delta.mItems.push_back({ ProfileName(TextIn(entry, "profile")), revision, isDeleted,
                             isDeleted ? std::string() : json::serialize(*document) });
  }
  Catalogue catalogue;
  const auto result = catalogue.ApplyDelta(delta, TimePoint{});
  if (result.mStatus == ApplyStatus::Malformed) {
    return fail("a profile has a revision above that of the catalogue");
  }
  if (!result.mRejected.empty()) {
    const auto& rejected = result.mRejected.front();
    return fail("profile " + rejected.mName.Text() + ": " + rejected.mCause);
  }
  return catalogue.View();
}

json::array
ChangesJson(const std::vector<ProfileChange>& aChanges)
{
  json::array changes;
  for (const auto& change : aChanges) {
    json::array fields;
    for (const auto& field : change.mFields) {
      fields.push_back(json::object{
        { "field", field.mField }, { "old", field.mBefore }, { "new", field.mAfter } });
    }
    changes.push_back(json::object{ { "profile", change.mName.Text() },
                                    { "old", ToText(change.mBefore) },
                                    { "new", ToText(change.mAfter) },
                                    { "fields", std::move(fields) } });
  }
  return changes;
}

std::string
ChangeText(const ProfileChange& aChange)
{
  std::string text = "profile " + aChange.mName.Text();
  if (aChange.mBefore != aChange.mAfter) {
    text += ": " + std::string(ToText(aChange.mBefore)) + " -> " +
            std::string(ToText(aChange.mAfter));
  }
  text += "\n";
  for (const auto& field : aChange.mFields) {
    text += "  " + field.mField + ": " + (field.mBefore.empty() ? "-" : field.mBefore) +
            " -> " + (field.mAfter.empty() ? "-" : field.mAfter) + "\n";
  }
  return text;
}

} // namespace

DocumentCheck
CheckDocument(const std::string& aFile, std::string_view aDocument)
{
  DocumentCheck check{ aFile, std::filesystem::path(aFile).stem().string(), {} };
  if (!IsProfileName(check.mProfile)) {
    check.mCause = "file name: the stem is the profile name and must have 1 to 128 "
                   "characters of A-Z a-z 0-9 . _ -";
    return check;
  }
  check.mCause = HandleError(
    [&]() -> Result<std::string> {
      BOOST_LEAF_CHECK(ParseProfile(ProfileName(check.mProfile), aDocument));
      return std::string();
    },
    [](const Error& aError) { return aError.mCause; });
  return check;
}

CtlReport
RenderChecks(const std::vector<DocumentCheck>& aChecks, bool aAsJson)
{
  CtlReport report;
  json::array entries;
  for (const auto& check : aChecks) {
    const bool isValid = check.mCause.empty();
    report.mHasProblem = report.mHasProblem || !isValid;
    if (aAsJson) {
      entries.push_back(json::object{ { "file", check.mFile },
                                      { "profile", check.mProfile },
                                      { "valid", isValid },
                                      { "cause", check.mCause } });
    } else {
      report.mText += check.mFile + ": " +
                      (isValid ? "valid, profile " + check.mProfile : check.mCause) +
                      "\n";
    }
  }
  if (aAsJson) {
    report.mText = json::serialize(entries) + "\n";
  }
  return report;
}

Result<std::vector<ProfileChange>>
DiffCatalogues(const std::string& aOldSource, std::string_view aOld,
               const std::string& aNewSource, std::string_view aNew)
{
  BOOST_LEAF_AUTO(before, ViewOf(aOldSource, aOld));
  BOOST_LEAF_AUTO(after, ViewOf(aNewSource, aNew));
  return Diff(*before, *after);
}

CtlReport
RenderDiff(const std::vector<ProfileChange>& aChanges, bool aAsJson)
{
  if (aAsJson) {
    return { json::serialize(ChangesJson(aChanges)) + "\n", false };
  }
  CtlReport report{ aChanges.empty() ? "no profile differs\n" : "", false };
  for (const auto& change : aChanges) {
    report.mText += ChangeText(change);
  }
  return report;
}

std::string
RenderCatalogue(const json::object& aReport)
{
  std::string text = "{\"vm\":" + json::serialize(json::string(TextIn(aReport, "vm"))) +
                     ",\"revision\":" + TextIn(aReport, "revision") + ",\"profiles\":[";
  std::string separator = "\n";
  for (const auto& profile : ObjectsIn(aReport, "profiles")) {
    text += separator + json::serialize(profile);
    separator = ",\n";
  }
  return text + "\n]}\n";
}

} // namespace wasabispar
