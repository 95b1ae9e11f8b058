/// @file
/// @brief All profiles with their platform revisions.
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

/// @brief A document that failed validation.
struct RejectedDocument
{
  ProfileName mName;
  Revision mRevision;
  /// The error's cause; names the field or the line.
  std::string mCause;
  /// When this VM rejected it.
  TimePoint mAt{};
};

/// @brief What a profile name stands for in one view.
enum class ProfileStatus
{
  Unknown,
  Active,
  /// The document says `retired`, or the key was deleted.
  Retired,
};

/// @brief `unknown`, `active` or `retired`.
std::string_view
ToText(ProfileStatus aStatus);

/// @brief Result of a look-up by name.
struct ProfileLookup
{
  ProfileStatus mStatus = ProfileStatus::Unknown;
  /// Revision in effect; 0 when unknown.
  Revision mRevision;
  /// The valid document in effect; null when unknown or deleted.
  std::shared_ptr<const Profile> mProfile;
};

/// @brief Summary of a catalogue for comparison between VMs. Equal digests mean that
/// the same profiles are in effect.
struct CatalogueDigest
{
  Revision mRevision;
  /// Order-independent hash over the names and the revisions in effect.
  std::uint64_t mHash = 0;

  bool operator==(const CatalogueDigest&) const = default;
};

/// @brief An immutable state of the catalogue. Thread-safe, as it never changes.
class CatalogueView
{
public:
  /// @brief Finds a profile; one hash look-up.
  ProfileLookup Find(const ProfileName& aName) const;
  /// @brief The history is applied up to and including this revision.
  Revision AppliedRevision() const { return mRevision; }
  CatalogueDigest Digest() const { return { mRevision, mHash }; }
  /// @brief All known names, retired ones included, sorted.
  std::vector<ProfileName> Names() const;
  /// @brief Documents that are newer than the one in effect and invalid, by name.
  std::vector<RejectedDocument> Rejected() const;

private:
  friend class Catalogue;
  friend class CatalogueMerge;

  /// The newest valid document or deletion of a key, and a newer invalid one.
  struct Entry
  {
    /// 0 when no valid document or deletion is known.
    Revision mRevision;
    /// Null when deleted or when there is no valid document.
    std::shared_ptr<const Profile> mProfile;
    std::shared_ptr<const std::string> mDocument;
    /// Its revision is always above mRevision.
    std::optional<RejectedDocument> mRejected;
    std::shared_ptr<const std::string> mRejectedDocument;
  };

  static std::uint64_t EntryHash(const ProfileName& aName, const Entry& aEntry);

  Revision mRevision;
  /// All deletions after this revision are known. A delta from an earlier revision
  /// must be a full list, or its receiver would keep a key that was deleted meanwhile.
  Revision mDeletionsFrom;
  std::uint64_t mHash = 0;
  std::unordered_map<ProfileName, std::shared_ptr<const Entry>> mEntries;
};

/// @brief What became of a delta.
enum class ApplyStatus
{
  /// A profile or the revision changed.
  Applied,
  /// It covers the own revision and held nothing new.
  Unchanged,
  /// It ends below the own revision and was ignored.
  Stale,
  /// It starts above the own revision; pull from the own revision.
  NeedsPull,
  /// It contradicts itself and was ignored.
  Malformed,
};

/// @brief Result of Catalogue::ApplyDelta().
struct ApplyResult
{
  ApplyStatus mStatus = ApplyStatus::Unchanged;
  Revision mBefore;
  Revision mAfter;
  /// Names whose profile in effect changed, sorted.
  std::vector<ProfileName> mChanged;
  /// Documents rejected by this delta.
  std::vector<RejectedDocument> mRejected;
};

/// @brief The catalogue of one VM. Thread-safe.
///
/// The state is a complete prefix of the platform's history. For each key the newest
/// valid document or deletion is in effect, so merging deltas is commutative and
/// idempotent and no profile ever goes back to a lower revision.
class Catalogue
{
public:
  Catalogue();

  /// @brief Applies a whole delta or nothing of it. Documents are parsed before the
  /// lock is taken.
  ApplyResult ApplyDelta(const CatalogueDelta& aDelta, TimePoint aNow);

  /// @brief The current state; never null.
  std::shared_ptr<const CatalogueView> View() const;

  /// @brief What a VM that holds the history up to @p aSince lacks: the changes, or a
  /// full list when deletions since then are not all known.
  CatalogueDelta DeltaSince(Revision aSince) const;

  CatalogueDigest Digest() const { return View()->Digest(); }

private:
  /// Guards mView; the view itself is immutable.
  mutable std::mutex mMutex;
  std::shared_ptr<const CatalogueView> mView;
};

/// @brief One field that differs between two views; empty text when the profile does
/// not exist on that side.
struct FieldChange
{
  std::string mField;
  std::string mBefore;
  std::string mAfter;

  bool operator==(const FieldChange&) const = default;
};

/// @brief One profile that differs between two views.
struct ProfileChange
{
  ProfileName mName;
  ProfileStatus mBefore = ProfileStatus::Unknown;
  ProfileStatus mAfter = ProfileStatus::Unknown;
  /// Values as JSON text.
  std::vector<FieldChange> mFields;
};

/// @brief The profiles that differ from @p aBefore to @p aAfter, sorted by name.
std::vector<ProfileChange>
Diff(const CatalogueView& aBefore, const CatalogueView& aAfter);

} // namespace wasabispar
