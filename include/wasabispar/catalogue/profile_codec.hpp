/// @file
/// @brief Profiles as JSON documents.
#pragma once

#include "wasabispar/base/error.hpp"
#include "wasabispar/catalogue/profile.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace wasabispar {

/// Longest document accepted, in bytes; the platform's limit on a value.
constexpr std::size_t kMaxProfileDocumentBytes = 1024 * 1024;
/// Longest profile, index or caller name, in bytes.
constexpr std::size_t kMaxNameBytes = 128;
/// Most entries of `allowed_callers`.
constexpr std::size_t kMaxAllowedCallers = 10000;

/// @brief Parses and checks a document. Pure: the same document gives the same result
/// on each VM.
/// @return The profile, or an Error of Step::Configuration. Its peer is the platform
/// key `profiles/<name>`; its cause starts with the field, or with `line N` when the
/// JSON is malformed. An unknown or duplicate field, a wrong type or a value out of
/// range rejects the whole document.
Result<Profile>
ParseProfile(const ProfileName& aName, std::string_view aJson);

/// @brief The document of @p aProfile with every field, on one line; ParseProfile()
/// gives the same profile back. The name is the platform key and not part of it.
std::string
SerializeProfile(const Profile& aProfile);

} // namespace wasabispar
