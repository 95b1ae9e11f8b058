/// @file
/// @brief Merging of deltas into the catalogue, and differences between views.
#include "wasabispar/catalogue/catalogue.hpp"

#include "wasabispar/base/hash.hpp"
#include "wasabispar/catalogue/profile_codec.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <unordered_set>

namespace wasabispar {
namespace {

/// A delta item after validation of its document.
struct ValidatedItem
{
  const CatalogueItem* mItem = nullptr;
  /// Null if the item is a deletion or its document is invalid.
  std::shared_ptr<const Profile> mProfile;
  /// Cause of the validation error; empty for a deletion or a valid document.
  std::string mCause;
};

ValidatedItem
ValidateItem(const CatalogueItem& aItem)
{
  ValidatedItem validated{ &aItem, nullptr, {} };
  if (aItem.mDeleted) {
    return validated;
  }
  HandleError(
    [&]() -> Result<void> {
      BOOST_LEAF_AUTO(profile, ParseProfile(aItem.mName, aItem.mDocument));
      validated.mProfile = std::make_shared<const Profile>(std::move(profile));
      return {};
    },
    [&](const Error& aError) { validated.mCause = aError.mCause; });
  return validated;
}

std::vector<ValidatedItem>
ValidateItems(const std::vector<CatalogueItem>& aItems)
{
  std::vector<ValidatedItem> validated;
  validated.reserve(aItems.size());
  for (const auto& item : aItems) {
    validated.push_back(ValidateItem(item));
  }
  // Sorted by ascending revision, so that a valid document is in effect although a newer
  // document of the key is invalid.
  std::stable_sort(validated.begin(), validated.end(),
                   [](const ValidatedItem& aLeft, const ValidatedItem& aRight) {
                     return aLeft.mItem->mRevision < aRight.mItem->mRevision;
                   });
  return validated;
}

bool
IsConsistent(const CatalogueDelta& aDelta)
{
  return aDelta.mParts == 1 && aDelta.mFrom <= aDelta.mTo &&
         aDelta.mDeletionsFrom <= aDelta.mTo &&
         std::all_of(
           aDelta.mItems.begin(), aDelta.mItems.end(), [&](const CatalogueItem& aItem) {
             return Revision(0) < aItem.mRevision && aItem.mRevision <= aDelta.mTo;
           });
}

/// The reason not to apply @p aDelta at the own revision @p aOwn; empty if it can be
/// applied.
std::optional<ApplyStatus>
ReasonNotToApply(const CatalogueDelta& aDelta, Revision aOwn)
{
  if (!IsConsistent(aDelta)) {
    return ApplyStatus::Malformed;
  }
  // A delta that ends below the own revision contains nothing new. It may contain keys
  // that were deleted later and are unknown here; applying it would restore them.
  if (aDelta.mTo < aOwn) {
    return ApplyStatus::Stale;
  }
  if (!aDelta.mFullList && aDelta.mFrom > aOwn) {
    return ApplyStatus::NeedsPull;
  }
  return std::nullopt;
}

/// The fields of the profile as JSON; empty if there is no profile.
boost::json::object
FieldsOf(const ProfileLookup& aLookup)
{
  return aLookup.mProfile
           ? boost::json::parse(SerializeProfile(*aLookup.mProfile)).as_object()
           : boost::json::object{};
}

std::string
TextOf(const boost::json::object& aFields, std::string_view aField)
{
  const auto* value = aFields.if_contains(aField);
  return value == nullptr ? std::string() : boost::json::serialize(*value);
}

std::vector<FieldChange>
DiffFields(const ProfileLookup& aBefore, const ProfileLookup& aAfter)
{
  const auto before = FieldsOf(aBefore);
  const auto after = FieldsOf(aAfter);
  std::vector<FieldChange> changes;
  // Both objects have the same fields unless one of them is empty.
  for (const auto& field : before.empty() ? after : before) {
    const std::string name(field.key());
    FieldChange change{ name, TextOf(before, name), TextOf(after, name) };
    if (change.mBefore != change.mAfter) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

} // namespace

std::string_view
ToText(ProfileStatus aStatus)
{
  switch (aStatus) {
    case ProfileStatus::Unknown:
      return "unknown";
    case ProfileStatus::Active:
      return "active";
    case ProfileStatus::Retired:
      return "retired";
  }
  return "unknown";
}

ProfileLookup
CatalogueView::Find(const ProfileName& aName) const
{
  const auto found = mEntries.find(aName);
  if (found == mEntries.end() || found->second->mRevision == Revision(0)) {
    return {};
  }
  const auto& entry = *found->second;
  const bool active = entry.mProfile && entry.mProfile->mState == ProfileState::Active;
  return { active ? ProfileStatus::Active : ProfileStatus::Retired, entry.mRevision,
           entry.mProfile };
}

std::vector<ProfileName>
CatalogueView::Names() const
{
  std::vector<ProfileName> names;
  for (const auto& [name, entry] : mEntries) {
    if (entry->mRevision > Revision(0)) {
      names.push_back(name);
    }
  }
  std::sort(names.begin(), names.end());
  return names;
}

std::vector<RejectedDocument>
CatalogueView::Rejected() const
{
  std::vector<RejectedDocument> rejected;
  for (const auto& [name, entry] : mEntries) {
    if (entry->mRejected) {
      rejected.push_back(*entry->mRejected);
    }
  }
  std::sort(rejected.begin(), rejected.end(),
            [](const RejectedDocument& aLeft, const RejectedDocument& aRight) {
              return aLeft.mName < aRight.mName;
            });
  return rejected;
}

std::uint64_t
CatalogueView::EntryHash(const ProfileName& aName, const Entry& aEntry)
{
  // The revision of a deletion is not hashed: the same deletion has different revisions
  // depending on whether a watch reported it or a full list did not contain the key.
  const auto effective = aEntry.mProfile ? aEntry.mRevision.Value() : 0;
  const auto deleted = !aEntry.mProfile && aEntry.mRevision > Revision(0) ? 1 : 0;
  const auto rejected = aEntry.mRejected ? aEntry.mRejected->mRevision.Value() : 0;
  const std::uint64_t numbers[] = { effective, static_cast<std::uint64_t>(deleted),
                                    rejected };
  const std::string_view bytes(reinterpret_cast<const char*>(numbers), sizeof(numbers));
  return HashText(aName.Text(), HashText(bytes));
}

/// Makes the next view from the current view and a delta.
class CatalogueMerge
{
public:
  CatalogueMerge(const CatalogueView& aCurrent, const CatalogueDelta& aDelta,
                 TimePoint aNow)
    : mCurrent(aCurrent)
    , mDelta(aDelta)
    , mNow(aNow)
    , mNext(std::make_shared<CatalogueView>(aCurrent))
    , mHasChanges(aDelta.mTo > aCurrent.mRevision)
  {
    mResult.mBefore = aCurrent.mRevision;
    mResult.mAfter = aCurrent.mRevision;
  }

  void Add(const std::vector<ValidatedItem>& aItems)
  {
    for (const auto& item : aItems) {
      Add(item);
    }
  }

  /// Deletes the keys that the full list does not contain: they were deleted at or before
  /// the revision of the list.
  void DeleteUnlisted()
  {
    std::unordered_set<ProfileName> listed;
    for (const auto& item : mDelta.mItems) {
      // A full list of a peer also contains deleted keys. Such a deletion may be older
      // than the document held here; the key was then created after that deletion and
      // deleted again up to the revision of the list.
      if (!item.mDeleted) {
        listed.insert(item.mName);
      }
    }
    for (const auto& [name, entry] : mCurrent.mEntries) {
      const bool exists = entry->mProfile || entry->mRejected;
      if (exists && listed.count(name) == 0) {
        const CatalogueItem deletion{ name, mDelta.mTo, true, {} };
        Add(ValidatedItem{ &deletion, nullptr, {} });
      }
    }
    // Deletions of keys that were created and deleted between the two revisions are not
    // known.
    if (mDelta.mTo > mCurrent.mRevision && mDelta.mDeletionsFrom > mCurrent.mRevision) {
      mNext->mDeletionsFrom = mDelta.mDeletionsFrom;
    }
  }

  /// Returns the next view, or null if nothing changed.
  std::shared_ptr<const CatalogueView> Finish(ApplyResult& aResult)
  {
    if (mHasChanges) {
      mNext->mRevision = mDelta.mTo;
      mResult.mAfter = mDelta.mTo;
      mResult.mStatus = ApplyStatus::Applied;
      auto& changed = mResult.mChanged;
      std::sort(changed.begin(), changed.end());
      changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    }
    aResult = std::move(mResult);
    return mHasChanges ? std::move(mNext) : nullptr;
  }

private:
  using Entry = CatalogueView::Entry;

  void Add(const ValidatedItem& aItem)
  {
    const auto& name = aItem.mItem->mName;
    auto& slot = mNext->mEntries[name];
    const auto current = slot ? slot : std::make_shared<const Entry>();
    if (!ChangesEntry(aItem, *current)) {
      if (!slot) {
        mNext->mEntries.erase(name);
      }
      return;
    }
    const auto entry = aItem.mCause.empty() ? WithEffectiveDocument(aItem, *current)
                                            : WithRejectedDocument(aItem, *current);
    mHasChanges = true;
    if (slot) {
      mNext->mHash -= CatalogueView::EntryHash(name, *current);
    }
    mNext->mHash += CatalogueView::EntryHash(name, *entry);
    slot = entry;
  }

  static bool ChangesEntry(const ValidatedItem& aItem, const Entry& aCurrent)
  {
    const auto revision = aItem.mItem->mRevision;
    const bool rejectedBefore = !aItem.mCause.empty() && aCurrent.mRejected &&
                                revision <= aCurrent.mRejected->mRevision;
    return revision > aCurrent.mRevision && !rejectedBefore;
  }

  std::shared_ptr<const Entry> WithEffectiveDocument(const ValidatedItem& aItem,
                                                     const Entry& aCurrent)
  {
    auto entry = std::make_shared<Entry>(aCurrent);
    entry->mRevision = aItem.mItem->mRevision;
    entry->mProfile = aItem.mProfile;
    entry->mDocument = aItem.mItem->mDeleted
                         ? nullptr
                         : std::make_shared<const std::string>(aItem.mItem->mDocument);
    if (entry->mRejected && entry->mRejected->mRevision <= entry->mRevision) {
      entry->mRejected.reset();
      entry->mRejectedDocument.reset();
    }
    mResult.mChanged.push_back(aItem.mItem->mName);
    return entry;
  }

  std::shared_ptr<const Entry> WithRejectedDocument(const ValidatedItem& aItem,
                                                    const Entry& aCurrent)
  {
    auto entry = std::make_shared<Entry>(aCurrent);
    const auto& item = *aItem.mItem;
    entry->mRejected = RejectedDocument{ item.mName, item.mRevision, aItem.mCause, mNow };
    entry->mRejectedDocument = std::make_shared<const std::string>(item.mDocument);
    mResult.mRejected.push_back(*entry->mRejected);
    return entry;
  }

  const CatalogueView& mCurrent;
  const CatalogueDelta& mDelta;
  TimePoint mNow;
  std::shared_ptr<CatalogueView> mNext;
  ApplyResult mResult;
  bool mHasChanges;
};

Catalogue::Catalogue()
  : mView(std::make_shared<const CatalogueView>())
{
}

std::shared_ptr<const CatalogueView>
Catalogue::View() const
{
  const std::lock_guard lock(mMutex);
  return mView;
}

ApplyResult
Catalogue::ApplyDelta(const CatalogueDelta& aDelta, TimePoint aNow)
{
  const auto before = View()->mRevision;
  if (const auto reason = ReasonNotToApply(aDelta, before)) {
    return { *reason, before, before, {}, {} };
  }
  const auto validated = ValidateItems(aDelta.mItems);

  const std::lock_guard lock(mMutex);
  const auto own = mView->mRevision;
  // Another thread may have applied a newer delta after the first check.
  if (const auto reason = ReasonNotToApply(aDelta, own)) {
    return { *reason, own, own, {}, {} };
  }
  ApplyResult result;
  CatalogueMerge merge(*mView, aDelta, aNow);
  merge.Add(validated);
  if (aDelta.mFullList) {
    merge.DeleteUnlisted();
  }
  if (auto next = merge.Finish(result)) {
    mView = std::move(next);
  }
  return result;
}

CatalogueDelta
Catalogue::DeltaSince(Revision aSince) const
{
  const auto view = View();
  CatalogueDelta delta;
  delta.mTo = view->mRevision;
  delta.mFullList = aSince < view->mDeletionsFrom;
  delta.mFrom = delta.mFullList ? Revision(0) : std::min(aSince, delta.mTo);
  delta.mDeletionsFrom = delta.mFullList ? view->mDeletionsFrom : Revision(0);
  for (const auto& [name, entry] : view->mEntries) {
    if (entry->mRevision > delta.mFrom) {
      delta.mItems.push_back({ name, entry->mRevision, !entry->mProfile,
                               entry->mDocument ? *entry->mDocument : std::string() });
    }
    if (entry->mRejected && entry->mRejected->mRevision > delta.mFrom) {
      delta.mItems.push_back(
        { name, entry->mRejected->mRevision, false, *entry->mRejectedDocument });
    }
  }
  return delta;
}

std::vector<ProfileChange>
Diff(const CatalogueView& aBefore, const CatalogueView& aAfter)
{
  const auto before = aBefore.Names();
  const auto after = aAfter.Names();
  std::vector<ProfileName> names;
  std::set_union(before.begin(), before.end(), after.begin(), after.end(),
                 std::back_inserter(names));
  std::vector<ProfileChange> changes;
  for (const auto& name : names) {
    const auto left = aBefore.Find(name);
    const auto right = aAfter.Find(name);
    auto fields = DiffFields(left, right);
    if (left.mStatus != right.mStatus || !fields.empty()) {
      changes.push_back({ name, left.mStatus, right.mStatus, std::move(fields) });
    }
  }
  return changes;
}

} // namespace wasabispar
