/// @file
/// @brief Implements the platform's state.
#include "tests/standins/platform_store.hpp"

namespace wasabispar::standins {

std::optional<std::uint64_t>
PlatformStore::Write(const std::string& aKey, std::optional<std::string> aValue,
                     std::optional<std::uint64_t> aExpected)
{
  if (aExpected && *aExpected != KeyRevision(aKey)) {
    return std::nullopt;
  }
  StoredValue write;
  write.mKey = aKey;
  write.mRevision = mWrites.size() + 1;
  write.mDeleted = !aValue;
  write.mValue = aValue.value_or("");
  mWrites.push_back(std::move(write));
  return mWrites.size();
}

std::vector<StoredValue>
PlatformStore::Changes(std::string_view aPrefix, std::uint64_t aAfter,
                       std::uint64_t aAsOf) const
{
  std::map<std::string, const StoredValue*> newest;
  for (const auto& write : mWrites) {
    if (write.mRevision > aAfter && write.mRevision <= aAsOf &&
        write.mKey.starts_with(aPrefix)) {
      newest[write.mKey] = &write;
    }
  }
  std::vector<StoredValue> changes;
  for (const auto& entry : newest) {
    changes.push_back(*entry.second);
  }
  return changes;
}

std::uint64_t
PlatformStore::KeyRevision(const std::string& aKey) const
{
  for (auto write = mWrites.rbegin(); write != mWrites.rend(); ++write) {
    if (write->mKey == aKey) {
      return write->mDeleted ? 0 : write->mRevision;
    }
  }
  return 0;
}

void
PlatformStore::SetList(TimePoint aNow, boost::json::object aList)
{
  mLists.emplace_back(aNow, std::move(aList));
}

boost::json::object
PlatformStore::ListAt(TimePoint aTime) const
{
  for (auto list = mLists.rbegin(); list != mLists.rend(); ++list) {
    if (list->first <= aTime) {
      return list->second;
    }
  }
  return { { "vms", boost::json::array{} }, { "upstreams", boost::json::array{} } };
}

} // namespace wasabispar::standins
