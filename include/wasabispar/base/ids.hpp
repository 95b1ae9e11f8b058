/// @file
/// @brief Strong types for identifiers. There are no implicit conversions between them
/// or to their representation.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace wasabispar {

/// @brief A textual identifier; each @p Tag makes a distinct type.
template<class Tag>
class StrongString
{
public:
  StrongString() = default;
  explicit StrongString(std::string aText)
    : mText(std::move(aText))
  {
  }

  /// @brief The identifier as text.
  const std::string& Text() const { return mText; }
  bool IsEmpty() const { return mText.empty(); }

  auto operator<=>(const StrongString&) const = default;

private:
  std::string mText;
};

/// @brief An unsigned 64-bit identifier; each @p Tag makes a distinct type.
template<class Tag>
class StrongNumber
{
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return mValue; }
  /// @brief The identifier with the next higher value.
  constexpr StrongNumber Next() const { return StrongNumber(mValue + 1); }

  auto operator<=>(const StrongNumber&) const = default;

private:
  std::uint64_t mValue = 0;
};

using ProfileName = StrongString<struct ProfileNameTag>;
using IndexName = StrongString<struct IndexNameTag>;
using ShardId = StrongString<struct ShardIdTag>;
using UpstreamId = StrongString<struct UpstreamIdTag>;
using VmId = StrongString<struct VmIdTag>;
using DataCentreId = StrongString<struct DataCentreIdTag>;
using RegionId = StrongString<struct RegionIdTag>;
using CallerId = StrongString<struct CallerIdTag>;

/// @brief Identifies one run of a VM's process. A restarted VM has a higher incarnation.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// @brief The revision that the platform assigns to a configuration value.
using Revision = StrongNumber<struct RevisionTag>;
/// @brief The version of an index.
using SnapshotVersion = StrongNumber<struct SnapshotVersionTag>;
/// @brief Hash of the profile and the request body; see Fingerprint() in hash.hpp.
using RequestFingerprint = StrongNumber<struct RequestFingerprintTag>;

/// @brief Identifies a request; stays unique when the VM restarts.
struct RequestId
{
  Incarnation mIncarnation;
  /// Number of the request within the incarnation.
  std::uint64_t mCounter = 0;

  /// @brief The text form `<incarnation>-<counter>`, both in lower-case hexadecimal.
  std::string Text() const;
  /// @brief Parses the text form; empty if @p aText is malformed.
  static std::optional<RequestId> Parse(std::string_view aText);

  auto operator<=>(const RequestId&) const = default;
};

} // namespace wasabispar

template<class Tag>
struct std::hash<wasabispar::StrongString<Tag>>
{
  std::size_t operator()(const wasabispar::StrongString<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.Text());
  }
};

template<class Tag>
struct std::hash<wasabispar::StrongNumber<Tag>>
{
  std::size_t operator()(const wasabispar::StrongNumber<Tag>& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.Value());
  }
};

template<>
struct std::hash<wasabispar::RequestId>
{
  std::size_t operator()(const wasabispar::RequestId& aId) const noexcept
  {
    return std::hash<std::uint64_t>{}(aId.mIncarnation.Value() * 0x9E3779B97F4A7C15ULL ^
                                      aId.mCounter);
  }
};
