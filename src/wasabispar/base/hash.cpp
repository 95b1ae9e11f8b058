/// @file
/// @brief Hashes and rendezvous hashing on XXH3.
#include "wasabispar/base/hash.hpp"

#include <xxhash.h>

#include <algorithm>

namespace wasabispar {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aMember)
{
  return HashText(aMember, HashText(aKey));
}

std::vector<VmId>
RendezvousTop(std::string_view aKey, const std::vector<VmId>& aMembers,
              std::size_t aCount)
{
  struct Ranked
  {
    std::uint64_t mScore;
    const VmId* mMember;
  };
  const auto keyHash = HashText(aKey);
  std::vector<Ranked> ranked;
  ranked.reserve(aMembers.size());
  for (const auto& member : aMembers) {
    ranked.push_back({ HashText(member.Text(), keyHash), &member });
  }
  const auto count = std::min(aCount, ranked.size());
  const auto before = [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.mScore != aRight.mScore ? aLeft.mScore > aRight.mScore
                                         : *aLeft.mMember < *aRight.mMember;
  };
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), before);
  std::vector<VmId> top;
  top.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    top.push_back(*ranked[i].mMember);
  }
  return top;
}

RequestFingerprint
Fingerprint(const ProfileName& aProfile, std::string_view aBody)
{
  return RequestFingerprint(HashText(aBody, HashText(aProfile.Text())));
}

} // namespace wasabispar
