/// @file
/// @brief Parsing and serialization of profiles as JSON documents.
#pragma once

#include "wasabispar/base/error.hpp"
#include "wasabispar/catalogue/profile.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace wasabispar {

/// Longest accepted document in bytes; the platform's limit on a value.
constexpr std::size_t kMaxProfileDocumentBytes = 1024 * 1024;
/// Longest profile, index or caller name in bytes.
constexpr std::size_t kMaxNameBytes = 128;
/// Most entries of `allowed_callers`.
constexpr std::size_t kMaxAllowedCallers = 10000;

/// @brief Parses and validates a document. The result depends on the arguments only, so
/// that all VMs of the same software version accept the same documents.
/// @return The profile, or an Error of Step::Configuration. Its peer is the platform
/// key `profiles/<name>`; its cause starts with the field, or with `line N` when the
/// JSON is malformed. An unknown or duplicate field, a wrong type or a value out of
/// range rejects the whole document.
Result<Profile>
ParseProfile(const ProfileName& aName, std::string_view aJson);

/// @brief Serializes @p aProfile with all fields on one line, such that ParseProfile()
/// returns an equal profile. The name is part of the platform key and not of the
/// document.
std::string
SerializeProfile(const Profile& aProfile);

} // namespace wasabispar
