/// @file
/// @brief The catalogue: all profiles with their platform revisions.
#pragma once

#include "wasabispar/base/clock.hpp"
#include "wasabispar/catalogue/catalogue_delta.hpp"
#include "wasabispar/catalogue/profile.hpp"

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace wasabispar {

/// @brief A profile document that failed validation.
struct RejectedDocument
{
  ProfileName mName;
  Revision mRevision;
  /// Cause of the error, which names the field or the line.
  std::string mCause;
  /// When this VM rejected it.
  TimePoint mAt{};
};

/// @brief Status of a profile name in one view.
enum class ProfileStatus
{
  /// This VM has no valid document and no deletion of the key.
  Unknown,
  Active,
  /// The state in the document is `retired`, or the key was deleted.
  Retired,
};

/// @brief `unknown`, `active` or `retired`.
std::string_view
ToText(ProfileStatus aStatus);

/// @brief Result of CatalogueView::Find().
struct ProfileLookup
{
  ProfileStatus mStatus = ProfileStatus::Unknown;
  /// Revision in effect; 0 when unknown.
  Revision mRevision;
  /// The valid document in effect; null when unknown or deleted.
  std::shared_ptr<const Profile> mProfile;
};

/// @brief Digest of a catalogue, exchanged between VMs. If two digests are equal, the
/// same profiles are in effect.
struct CatalogueDigest
{
  /// CatalogueView::AppliedRevision().
  Revision mRevision;
  /// Order-independent hash over the names with their revisions in effect and the
  /// revisions of rejected documents.
  std::uint64_t mHash = 0;

  bool operator==(const CatalogueDigest&) const = default;
};

/// @brief An immutable snapshot of the catalogue. Thread-safe.
class CatalogueView
{
public:
  /// @brief Looks up a profile by its name in constant time.
  ProfileLookup Find(const ProfileName& aName) const;
  /// @brief The revision up to and including which the platform's history is applied.
  Revision AppliedRevision() const { return mRevision; }
  /// @brief The digest of this snapshot.
  CatalogueDigest Digest() const { return { mRevision, mHash }; }
  /// @brief All names that are active or retired, sorted.
  std::vector<ProfileName> Names() const;
  /// @brief Invalid documents that are newer than the document in effect, sorted by name.
  std::vector<RejectedDocument> Rejected() const;

private:
  friend class Catalogue;
  friend class CatalogueMerge;

  /// The newest valid document or deletion of a key, and a newer invalid document if
  /// there is one.
  struct Entry
  {
    /// Revision of the valid document or deletion; 0 if there is none.
    Revision mRevision;
    /// Null if the key is deleted or has no valid document.
    std::shared_ptr<const Profile> mProfile;
    /// The document from which mProfile was parsed; null like mProfile.
    std::shared_ptr<const std::string> mDocument;
    /// The newest invalid document; its revision is greater than mRevision.
    std::optional<RejectedDocument> mRejected;
    /// Text of the document in mRejected; null if mRejected is empty.
    std::shared_ptr<const std::string> mRejectedDocument;
  };

  /// The contribution of one entry to mHash.
  static std::uint64_t EntryHash(const ProfileName& aName, const Entry& aEntry);

  Revision mRevision;
  /// All deletions after this revision are known. A delta from an earlier revision must
  /// be a full list; otherwise its receiver would keep a key that was deleted in between.
  Revision mDeletionsFrom;
  std::uint64_t mHash = 0;
  /// Entries by name, deleted keys included.
  std::unordered_map<ProfileName, std::shared_ptr<const Entry>> mEntries;
};

/// @brief Whether Catalogue::ApplyDelta() applied a delta.
enum class ApplyStatus
{
  /// A profile or the revision changed.
  Applied,
  /// The delta ends at the own revision and contains nothing new.
  Unchanged,
  /// The delta ends below the own revision and was ignored.
  Stale,
  /// The delta starts above the own revision and was ignored; the caller must pull the
  /// changes since the own revision.
  NeedsPull,
  /// The revisions in the delta contradict each other, or the delta is only a part. It
  /// was ignored.
  Malformed,
};

/// @brief Result of Catalogue::ApplyDelta().
struct ApplyResult
{
  ApplyStatus mStatus = ApplyStatus::Unchanged;
  /// The own revision before and after the call.
  Revision mBefore;
  Revision mAfter;
  /// Names whose profile in effect changed, sorted.
  std::vector<ProfileName> mChanged;
  /// Documents of the delta that failed validation and are newer than the previous ones.
  std::vector<RejectedDocument> mRejected;
};

/// @brief The catalogue of one VM. Thread-safe.
///
/// The state is a complete prefix of the platform's history. For each key the newest
/// valid document or deletion is in effect. Therefore merging deltas is commutative and
/// idempotent, and no profile ever reverts to a lower revision.
class Catalogue
{
public:
  Catalogue();

  /// @brief Applies @p aDelta as a whole or not at all; @p aNow is recorded for rejected
  /// documents. Documents are parsed before the lock is taken.
  ApplyResult ApplyDelta(const CatalogueDelta& aDelta, TimePoint aNow);

  /// @brief The current snapshot; never null.
  std::shared_ptr<const CatalogueView> View() const;

  /// @brief The delta from @p aSince to the own revision: the changes after @p aSince, or
  /// a full list if not all deletions after @p aSince are known.
  CatalogueDelta DeltaSince(Revision aSince) const;

  /// @brief The digest of the current snapshot.
  CatalogueDigest Digest() const { return View()->Digest(); }

private:
  /// Guards the pointer mView; the view itself is immutable.
  mutable std::mutex mMutex;
  std::shared_ptr<const CatalogueView> mView;
};

/// @brief A profile field that differs between two views. A value is JSON text; it is
/// empty if the view has no document of the profile.
struct FieldChange
{
  std::string mField;
  std::string mBefore;
  std::string mAfter;

  bool operator==(const FieldChange&) const = default;
};

/// @brief A profile that differs between two views.
struct ProfileChange
{
  ProfileName mName;
  ProfileStatus mBefore = ProfileStatus::Unknown;
  ProfileStatus mAfter = ProfileStatus::Unknown;
  /// The fields that differ.
  std::vector<FieldChange> mFields;
};

/// @brief The profiles that differ between @p aBefore and @p aAfter, sorted by name.
std::vector<ProfileChange>
Diff(const CatalogueView& aBefore, const CatalogueView& aAfter);

} // namespace wasabispar
