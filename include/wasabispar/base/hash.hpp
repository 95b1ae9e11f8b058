/// @file
/// @brief Stable hashes based on XXH3. All VMs compute the same value for the same
/// input, so VMs with the same view agree on ownership without exchanging messages.
#pragma once

#include "wasabispar/base/ids.hpp"

#include <cstdint>
#include <string_view>
#include <vector>

namespace wasabispar {

/// @brief The 64-bit XXH3 hash of @p aText.
std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed = 0);

/// @brief The rendezvous (highest random weight) score of @p aMember for @p aKey.
std::uint64_t
RendezvousScore(std::string_view aKey, std::string_view aMember);

/// @brief Returns the @p aCount members with the highest scores for @p aKey, highest
/// first; equal scores are ordered by id. Returns all members if there are fewer.
std::vector<VmId>
RendezvousTop(std::string_view aKey, const std::vector<VmId>& aMembers,
              std::size_t aCount);

/// @brief Hashes the profile and the canonical body of a request.
RequestFingerprint
Fingerprint(const ProfileName& aProfile, std::string_view aBody);

} // namespace wasabispar
