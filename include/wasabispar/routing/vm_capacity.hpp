/// @file
/// @brief What a deployment states of the capacity of its VMs.
#pragma once

#include <cstdint>
#include <optional>

namespace wasabispar {

/// @brief The link and the processor of this VM, as far as the settings state them.
struct VmCapacity
{
  /// Bandwidth of the link in bytes per second; greater than 0.
  std::optional<std::uint64_t> mLinkBytesPerSecond;
  /// Fraction of a core; greater than 0.
  std::optional<double> mCpuShare;

  /// @brief Whether the deployment states that its VMs are limited.
  bool IsStated() const { return mLinkBytesPerSecond || mCpuShare; }
};

} // namespace wasabispar
