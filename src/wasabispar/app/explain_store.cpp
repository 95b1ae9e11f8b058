/// @file
/// @brief ExplainStore.
#include "wasabispar/app/explain_store.hpp"

namespace wasabispar {

void
ExplainStore::Add(StoredExplain aExplain)
{
  if (mCapacity == 0) {
    return;
  }
  const auto request = aExplain.mRecord.mRequest;
  auto record = std::make_shared<const StoredExplain>(std::move(aExplain));
  // Freed outside the lock.
  std::shared_ptr<const StoredExplain> replaced;
  std::lock_guard lock(mMutex);
  if (!mRecords.emplace(request, std::move(record)).second) {
    return;
  }
  mOrder.push_back(request);
  if (mOrder.size() > mCapacity) {
    const auto oldest = mRecords.find(mOrder.front());
    replaced = std::move(oldest->second);
    mRecords.erase(oldest);
    mOrder.pop_front();
  }
}

std::shared_ptr<const StoredExplain>
ExplainStore::Find(const RequestId& aRequest) const
{
  std::lock_guard lock(mMutex);
  const auto found = mRecords.find(aRequest);
  return found == mRecords.end() ? nullptr : found->second;
}

} // namespace wasabispar
