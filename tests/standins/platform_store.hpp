/// @file
/// @brief The state of the platform stand-in: values with revisions and the list of
/// VMs and upstreams with its history.
#pragma once

#include "wasabispar/base/clock.hpp"

#include <boost/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wasabispar::standins {

/// @brief One state of a key.
struct StoredValue
{
  std::string mKey;
  std::uint64_t mRevision = 0;
  std::string mValue;
  bool mDeleted = false;
};

/// @brief All writes in order, so that an older revision can be shown.
class PlatformStore
{
public:
  /// @brief Writes @p aKey, or deletes it when @p aValue is empty. Returns the new
  /// revision; empty when @p aExpected is set and differs from the key's revision (0:
  /// the key is absent).
  std::optional<std::uint64_t> Write(const std::string& aKey,
                                     std::optional<std::string> aValue,
                                     std::optional<std::uint64_t> aExpected);

  /// @brief The newest state, not above @p aAsOf, of each key with @p aPrefix that
  /// changed after @p aAfter. Deleted keys are included.
  std::vector<StoredValue> Changes(std::string_view aPrefix, std::uint64_t aAfter,
                                   std::uint64_t aAsOf) const;
  std::uint64_t KeyRevision(const std::string& aKey) const;
  std::uint64_t NewestRevision() const { return mWrites.size(); }

  void SetList(TimePoint aNow, boost::json::object aList);
  /// @brief The list as it was at @p aTime; an empty one before the first.
  boost::json::object ListAt(TimePoint aTime) const;

private:
  /// Invariant: entry i has revision i + 1.
  std::vector<StoredValue> mWrites;
  std::deque<std::pair<TimePoint, boost::json::object>> mLists;
};

} // namespace wasabispar::standins
