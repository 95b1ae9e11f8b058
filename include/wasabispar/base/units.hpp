/// @file
/// @brief Strong types for units. Time uses std::chrono instead.
#pragma once

#include <compare>
#include <cstdint>

namespace wasabispar {

/// @brief A ratio in parts per thousand. Not limited to 1000: extra load may exceed
/// 100%.
class Permille
{
public:
  constexpr Permille() = default;
  constexpr explicit Permille(std::uint32_t aValue)
    : mValue(aValue)
  {
  }

  /// @brief The ratio of @p aPart to @p aWhole, rounded down; 1000 if @p aWhole is 0.
  static constexpr Permille Of(std::uint64_t aPart, std::uint64_t aWhole)
  {
    return aWhole == 0 ? Permille(1000)
                       : Permille(static_cast<std::uint32_t>(aPart * 1000 / aWhole));
  }

  constexpr std::uint32_t Value() const { return mValue; }
  /// @brief The ratio as a number; 1.0 for 1000 permille.
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
