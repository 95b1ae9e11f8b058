/// @file
/// @brief Random numbers from the standard library's Mersenne Twister.
#include "wasabispar/base/random.hpp"

#include <random>

namespace wasabispar {

RandomFn
SeededRandom(std::uint64_t aSeed)
{
  return [engine = std::mt19937_64(aSeed)](std::uint64_t aBound) mutable {
    // The remainder keeps results equal across standard libraries; its bias is below
    // 2^-32 for the bounds used here.
    return engine() % aBound;
  };
}

std::uint64_t
EntropySeed()
{
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) | device();
}

} // namespace wasabispar
