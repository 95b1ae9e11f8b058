/// @file
/// @brief Stable hashes on XXH3. The same input gives the same value on each VM, so
/// VMs with the same view agree on ownership without messages.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief 64-bit XXH3 of @p aText.
std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed = 0);

/// @brief Rendezvous (highest random weight) score of @p aMember for @p aKey.
std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aMember);

/// @brief The @p aCount members with the highest scores for @p aKey, best first; ties
/// are broken by id. All members when there are fewer than @p aCount.
std::vector<VmId>
RendezvousTop(std::string_view aKey, const std::vector<VmId>& aMembers,
              std::size_t aCount);

/// @brief Fingerprint of a request: its profile and its canonical body.
RequestFingerprint
Fingerprint(const ProfileName& aProfile, std::string_view aBody);

} // namespace wasabispar
