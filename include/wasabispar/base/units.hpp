/// @file
/// @brief Strong types for units other than time, which uses std::chrono.
#pragma once

#include <compare>
#include <cstdint>

namespace wasabispar {

/// @brief Parts per thousand. Not limited to 1000: extra load may exceed 100%.
class Permille
{
public:
  constexpr Permille() = default;
  constexpr explicit Permille(std::uint32_t aValue)
    : mValue(aValue)
  {
  }

  /// @brief @p aPart of @p aWhole, rounded down; 1000 when @p aWhole is 0.
  static constexpr Permille Of(std::uint64_t aPart, std::uint64_t aWhole)
  {
    return aWhole == 0 ? Permille(1000)
                       : Permille(static_cast<std::uint32_t>(aPart * 1000 / aWhole));
  }

  constexpr std::uint32_t Value() const { return mValue; }
  constexpr double Fraction() const { return mValue / 1000.0; }

  auto operator<=>(const Permille&) const = default;

private:
  std::uint32_t mValue = 0;
};

/// @brief A size in bytes.
class Bytes
{
public:
  constexpr Bytes() = default;
  constexpr explicit Bytes(std::uint64_t aValue)
    : mValue(aValue)
  {
  }

  constexpr std::uint64_t Value() const { return mValue; }

  auto operator<=>(const Bytes&) const = default;

private:
  std::uint64_t mValue = 0;
};

} // namespace wasabispar
